/**
 * Runs the entry daemon as a process.
 */
import * as fs from "node:fs";
import * as logSinks from "../logging/logSink.js";
import * as settingsTypes from "../settings/Types.js";
import * as daemons from "./daemon.js";
import * as unsafeSwitches from "./unsafeSwitches.js";

const standardOutputFd = 1;
const exitDelayMs = 100;

const writeToStandardOutput = (text: string): void => {
    try {
        fs.writeSync(standardOutputFd, text);
    } catch {
        // A slow or closed reader must not stop the daemon; the lines are lost.
    }
};

/**
 * Runs an entry daemon until SIGTERM or SIGINT.
 *
 * @param settings - validated settings
 * @returns a promise that resolves when the daemon has shut down gracefully
 */
export const runEntry = async (settings: settingsTypes.EntrySettings): Promise<void> => {
    const logSink = logSinks.createLogSink({
        level: settings.logLevel,
        format: settings.logFormat,
        write: writeToStandardOutput,
    });
    const unsafe = unsafeSwitches.readUnsafeSwitches(process.env, logSink.logger);
    const daemon = daemons.createEntryDaemon(settings, logSink, unsafe);
    const stopSignal = new Promise<void>(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
    try {
        await daemon.start();
    } catch (error) {
        // A port that was opened would keep the process running; the delay lets the caller report the error first.
        setTimeout(() => process.exit(), exitDelayMs);
        throw error;
    }
    await stopSignal;
    await daemon.stop();
    logSink.dispose();
    // Ends the process if a leftover connection or timer would keep it running.
    setTimeout(() => process.exit(), exitDelayMs).unref();
};

/**
 * The entry daemon as a process.
 */
import * as fs from "node:fs";
import * as logSinks from "../logging/logSink.js";
import * as settingsTypes from "../settings/Types.js";
import * as daemons from "./daemon.js";
import * as unsafeSwitches from "./unsafeSwitches.js";

const standardOutput = 1;
const exitDelayMs = 100;

const writeAll = (text: string): void => {
    try {
        fs.writeSync(standardOutput, text);
    } catch {
        // A reader that is slow or gone must not stop the daemon; its lines are lost.
    }
};

/**
 * Runs an entry daemon until SIGTERM or SIGINT.
 *
 * @param settings - checked settings
 * @returns when the daemon has left gracefully
 */
export const runEntry = async (settings: settingsTypes.EntrySettings): Promise<void> => {
    const logs = logSinks.createLogSink({ level: settings.logLevel, format: settings.logFormat, write: writeAll });
    const unsafe = unsafeSwitches.readUnsafeSwitches(process.env, logs.logger);
    const daemon = daemons.createEntryDaemon(settings, logs, unsafe);
    const stopped = new Promise<void>(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
    try {
        await daemon.start();
    } catch (error) {
        // The port that could be opened would keep the process running; the caller reports the error first.
        setTimeout(() => process.exit(), exitDelayMs);
        throw error;
    }
    await stopped;
    await daemon.stop();
    logs.dispose();
    // Ends the process if a connection or a timer that was left over would keep it running.
    setTimeout(() => process.exit(), exitDelayMs).unref();
};

/**
 * Starts and stops the processes of a test. Each is stopped individually by its id.
 */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";
import * as url from "node:url";
import * as types from "./Types.js";

const maxLines = 5000;

/** Folder of the compiled program, `out`. */
export const outFolder = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), "../..");

const running = new Set<childProcess.ChildProcess>();

process.once("exit", () => {
    for (const child of running) {
        child.kill("SIGKILL");
    }
});

interface Waiter {
    readonly isWanted: (line: string) => boolean;
    readonly resolve: (line: string) => void;
    readonly reject: (error: Error) => void;
}

/**
 * Starts a Node.js program.
 *
 * @param name - name of the process in error messages
 * @param program - path of the program relative to `out`
 * @param args - command line arguments
 * @param env - environment variables in addition to those of this process
 * @returns the process
 */
export const startProcess = (
    name: string,
    program: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
): types.ManagedProcess => {
    const child = childProcess.spawn(process.execPath, [path.join(outFolder, program), ...args], {
        stdio: ["ignore", "pipe", "pipe"],
        env: { ...process.env, ...env },
    });
    running.add(child);
    let lines: string[] = [];
    const waiters = new Set<Waiter>();

    const addLine = (line: string): void => {
        lines.push(line);
        if (lines.length > 2 * maxLines) {
            lines = lines.slice(-maxLines);
        }
        for (const waiter of waiters) {
            if (waiter.isWanted(line)) {
                waiter.resolve(line);
            }
        }
    };
    readline.createInterface({ input: child.stdout }).on("line", addLine);
    readline.createInterface({ input: child.stderr }).on("line", addLine);

    const createProcessError = (what: string): Error =>
        new Error(`${name} ${what}; last output lines:\n${lines.slice(-20).join("\n")}`);

    const exited = new Promise<number | NodeJS.Signals>(resolve => {
        child.once("error", () => resolve(-1));
        child.once("exit", (code, signal) => {
            running.delete(child);
            resolve(code ?? signal ?? -1);
            waiters.forEach(waiter => waiter.reject(createProcessError(`exited with ${code ?? signal}`)));
        });
    });

    const waitForLine = (isWanted: (line: string) => boolean, timeoutMs: number): Promise<string> => {
        const found = lines.find(isWanted);
        if (found !== undefined) {
            return Promise.resolve(found);
        }
        return new Promise<string>((resolve, reject) => {
            const timer = setTimeout(
                () => waiter.reject(createProcessError(`did not print the expected line within ${timeoutMs} ms`)),
                timeoutMs,
            );
            const stop = (): void => {
                clearTimeout(timer);
                waiters.delete(waiter);
            };
            const waiter: Waiter = {
                isWanted,
                resolve: line => {
                    stop();
                    resolve(line);
                },
                reject: error => {
                    stop();
                    reject(error);
                },
            };
            waiters.add(waiter);
        });
    };

    return {
        name,
        pid: child.pid ?? -1,
        child,
        listLines: () => lines,
        waitForLine,
        sendSignal: signal => void child.kill(signal),
        waitForExit: () => exited,
    };
};

/**
 * Returns whether a process has exited or was terminated by a signal.
 *
 * @param managedProcess - the process
 * @returns true if the process no longer runs
 */
export const hasEnded = (managedProcess: types.ManagedProcess): boolean =>
    managedProcess.child.exitCode !== null || managedProcess.child.signalCode !== null;

/**
 * Stops a process and waits until it has ended.
 *
 * @param managedProcess - the process
 * @param signal - SIGTERM for a graceful shutdown, SIGKILL to force it
 */
export const stopProcess = async (
    managedProcess: types.ManagedProcess,
    signal: NodeJS.Signals = "SIGKILL",
): Promise<void> => {
    // A process stopped by SIGSTOP does not handle SIGTERM until it continues.
    managedProcess.sendSignal("SIGCONT");
    managedProcess.sendSignal(signal);
    await managedProcess.waitForExit();
};

/**
 * Waits for the addresses that a stand-in prints once it is ready.
 *
 * @param managedProcess - the process
 * @param timeoutMs - maximum wait in milliseconds
 * @returns address by name
 */
export const waitForReady = async (
    managedProcess: types.ManagedProcess,
    timeoutMs: number,
): Promise<Readonly<Record<string, string>>> => {
    const line = await managedProcess.waitForLine(text => text.startsWith('{"kind":"ready"'), timeoutMs);
    return (JSON.parse(line) as { addresses: Record<string, string> }).addresses;
};

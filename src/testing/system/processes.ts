/**
 * Processes that a test starts. They are ended one by one, by their id.
 */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";
import * as url from "node:url";
import * as types from "./Types.js";

const keptLines = 5000;

/** The folder of the compiled program, `out`. */
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
 * @param name - name for messages
 * @param program - path of the program below `out`
 * @param args - its arguments
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
        if (lines.length > 2 * keptLines) {
            lines = lines.slice(-keptLines);
        }
        for (const waiter of waiters) {
            if (waiter.isWanted(line)) {
                waiter.resolve(line);
            }
        }
    };
    readline.createInterface({ input: child.stdout }).on("line", addLine);
    readline.createInterface({ input: child.stderr }).on("line", addLine);

    const createEndError = (what: string): Error =>
        new Error(`${name} ${what}; its last lines:\n${lines.slice(-20).join("\n")}`);

    const exited = new Promise<number | NodeJS.Signals>(resolve => {
        child.once("error", () => resolve(-1));
        child.once("exit", (code, signal) => {
            running.delete(child);
            resolve(code ?? signal ?? -1);
            waiters.forEach(waiter => waiter.reject(createEndError(`ended with ${code ?? signal}`)));
        });
    });

    const waitForLine = (isWanted: (line: string) => boolean, timeoutMs: number): Promise<string> => {
        const found = lines.find(isWanted);
        if (found !== undefined) {
            return Promise.resolve(found);
        }
        return new Promise<string>((resolve, reject) => {
            const timer = setTimeout(
                () => waiter.reject(createEndError(`did not print the line within ${timeoutMs} ms`)),
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
 * Tells whether a process has ended, by itself or by a signal.
 *
 * @param target - the process
 * @returns true if it no longer runs
 */
export const hasEnded = (target: types.ManagedProcess): boolean =>
    target.child.exitCode !== null || target.child.signalCode !== null;

/**
 * Ends a process and waits until it has ended.
 *
 * @param target - the process
 * @param signal - SIGTERM asks, SIGKILL forces
 */
export const stopProcess = async (target: types.ManagedProcess, signal: NodeJS.Signals = "SIGKILL"): Promise<void> => {
    // A stopped process does not handle SIGTERM before it continues.
    target.sendSignal("SIGCONT");
    target.sendSignal(signal);
    await target.waitForExit();
};

/**
 * Reads the addresses that a stand-in prints when it is ready.
 *
 * @param target - the process
 * @param timeoutMs - how long to wait
 * @returns address by name
 */
export const waitForReady = async (
    target: types.ManagedProcess,
    timeoutMs: number,
): Promise<Readonly<Record<string, string>>> => {
    const line = await target.waitForLine(text => text.startsWith('{"kind":"ready"'), timeoutMs);
    return (JSON.parse(line) as { addresses: Record<string, string> }).addresses;
};

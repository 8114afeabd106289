/**
 * Starts load generators and measures processes.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "../testing/system/processes.js";
import * as systemTypes from "../testing/system/Types.js";
import * as types from "./Types.js";

/** Time beyond the longest deadline in which a generator still ends by itself. */
const endTimeoutMs = 120_000;

/**
 * Runs a load generator in a process of its own.
 *
 * @param job - its work
 * @param durationMs - how long the work takes
 * @returns what it measured
 */
export const runLoadProcess = async (job: types.LoadJob, durationMs: number): Promise<types.Metrics> => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "tarragonpath-load-"));
    const file = path.join(folder, "job.json");
    await fs.writeFile(file, JSON.stringify(job));
    const started = processes.startProcess("load", "bench/loadMain.js", ["--file", file]);
    try {
        const line = await started.waitForLine(text => text.startsWith('{"kind":"metrics"'), durationMs + endTimeoutMs);
        return (JSON.parse(line) as { metrics: types.Metrics }).metrics;
    } finally {
        await processes.stopProcess(started);
        await fs.rm(folder, { recursive: true, force: true });
    }
};

/** Linux counts processor time in ticks of 10 ms. */
const tickMs = 10;
/** Positions in `/proc/<pid>/stat` after the name of the program. */
const userTicksIndex = 11;
const systemTicksIndex = 12;

/**
 * Reads the processor time that a process has used.
 *
 * @param target - the process
 * @returns milliseconds, or NaN where the system has no `/proc`
 */
export const readCpuMs = async (target: systemTypes.ManagedProcess): Promise<number> => {
    const text = await fs.readFile(`/proc/${target.pid}/stat`, "utf8").catch(() => "");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    return (Number(fields[userTicksIndex] ?? NaN) + Number(fields[systemTicksIndex] ?? NaN)) * tickMs;
};

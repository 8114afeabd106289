/**
 * Starts load generators and reads the processor time of processes.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as processes from "../testing/system/processes.js";
import * as systemTypes from "../testing/system/Types.js";
import * as types from "./Types.js";

/** Time for a generator to exit by itself after the load; longer than the longest call deadline. */
const exitTimeoutMs = 120_000;

/**
 * Runs a load generator in a separate process.
 *
 * @param job - the load to generate
 * @param durationMs - duration of the load
 * @returns the measured metrics
 */
export const runLoadProcess = async (job: types.LoadJob, durationMs: number): Promise<types.Metrics> => {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "tarragonpath-load-"));
    const file = path.join(folder, "job.json");
    await fs.writeFile(file, JSON.stringify(job));
    const generator = processes.startProcess("load", "bench/loadMain.js", ["--file", file]);
    try {
        const line = await generator.waitForLine(
            text => text.startsWith('{"kind":"metrics"'),
            durationMs + exitTimeoutMs,
        );
        return (JSON.parse(line) as { metrics: types.Metrics }).metrics;
    } finally {
        await processes.stopProcess(generator);
        await fs.rm(folder, { recursive: true, force: true });
    }
};

/** Linux reports processor time in clock ticks of 10 ms. */
const tickMs = 10;
/** Field positions in `/proc/<pid>/stat`, counted after the program name. */
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

/**
 * Load of plain GET requests, with little cost of its own.
 */
import * as undici from "undici";
import * as random from "../common/random.js";
import * as httpServer from "../testing/http/httpServer.js";
import * as arrivals from "../testing/load/arrivals.js";
import * as latencies from "../testing/load/latencies.js";
import * as types from "./Types.js";

const openLoopConnections = 128;

interface RawClient {
    readonly send: () => Promise<boolean>;
    readonly close: () => Promise<void>;
}

const createRawClient = (url: string, connections: number): RawClient => {
    const { origin, pathname } = new URL(url);
    const pool = new undici.Pool(origin, { connections });
    return {
        send: async () => {
            const response = await pool.request({ path: pathname, method: "GET" });
            await response.body.dump();
            return response.statusCode === 200;
        },
        close: () => pool.destroy(),
    };
};

const runOpenPart = async (
    client: RawClient,
    job: Extract<types.LoadJob, { kind: "open" }>,
    part: { readonly durationMs: number; readonly seed: number },
): Promise<types.Metrics> => {
    const latency = latencies.createLatencies();
    const lag = latencies.createLatencies();
    let failed = 0;
    const { ratePerSecond } = job;
    const generator = random.createRandom(part.seed);
    const options = { ratePerSecond, durationMs: part.durationMs, random: generator, isPolling: true };
    await arrivals.runArrivals(options, async intendedAtMs => {
        lag.record(httpServer.readMachineClockMs() - intendedAtMs);
        const isGood = await client.send().catch(() => false);
        latency.record(httpServer.readMachineClockMs() - intendedAtMs);
        failed += isGood ? 0 : 1;
    });
    const { count, p50Ms, p99Ms, p999Ms, maxMs } = latency.toSummary();
    return { calls: count, failed, p50Ms, p99Ms, p999Ms, maxMs, sendLagP99Ms: lag.toSummary().p99Ms };
};

/**
 * Runs open-loop load, first for the warm-up, which is not counted.
 *
 * @param job - URL, rate and durations
 * @returns latencies, and the lag of the generator itself
 */
export const runOpenLoad = async (job: Extract<types.LoadJob, { kind: "open" }>): Promise<types.Metrics> => {
    const client = createRawClient(job.url, openLoopConnections);
    await runOpenPart(client, job, { durationMs: job.warmUpMs, seed: job.seed + 1 });
    const metrics = await runOpenPart(client, job, job);
    await client.close();
    return metrics;
};

/**
 * Runs closed-loop load: each connection sends its next call when the last is answered.
 *
 * @param job - URL, connections and duration
 * @returns calls per second
 */
export const runClosedLoad = async (job: Extract<types.LoadJob, { kind: "closed" }>): Promise<types.Metrics> => {
    const client = createRawClient(job.url, job.connections);
    const startedAtMs = httpServer.readMachineClockMs();
    let calls = 0;
    let failed = 0;
    const runConnection = async (): Promise<void> => {
        while (httpServer.readMachineClockMs() < startedAtMs + job.durationMs) {
            const isGood = await client.send().catch(() => false);
            calls += isGood ? 1 : 0;
            failed += isGood ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: job.connections }, runConnection));
    const durationMs = httpServer.readMachineClockMs() - startedAtMs;
    await client.close();
    return { callsPerSecond: (calls * 1000) / durationMs, failed };
};

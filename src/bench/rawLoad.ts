/**
 * Load generator for plain GET requests with little overhead of its own.
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

const runOpenPhase = async (
    client: RawClient,
    job: Extract<types.LoadJob, { kind: "open" }>,
    phase: { readonly durationMs: number; readonly seed: number },
): Promise<types.Metrics> => {
    const latency = latencies.createLatencies();
    const sendLag = latencies.createLatencies();
    let failed = 0;
    const { ratePerSecond } = job;
    const generator = random.createRandom(phase.seed);
    const options = { ratePerSecond, durationMs: phase.durationMs, random: generator, isPolling: true };
    await arrivals.runArrivals(options, async intendedAtMs => {
        sendLag.record(httpServer.readMachineClockMs() - intendedAtMs);
        const isOk = await client.send().catch(() => false);
        latency.record(httpServer.readMachineClockMs() - intendedAtMs);
        failed += isOk ? 0 : 1;
    });
    const { count, p50Ms, p99Ms, p999Ms, maxMs } = latency.toSummary();
    return { calls: count, failed, p50Ms, p99Ms, p999Ms, maxMs, sendLagP99Ms: sendLag.toSummary().p99Ms };
};

/**
 * Runs open-loop load after a warm-up that is not measured.
 *
 * @param job - URL, rate and durations
 * @returns latencies, and the send delay of the generator itself
 */
export const runOpenLoad = async (job: Extract<types.LoadJob, { kind: "open" }>): Promise<types.Metrics> => {
    const client = createRawClient(job.url, openLoopConnections);
    await runOpenPhase(client, job, { durationMs: job.warmUpMs, seed: job.seed + 1 });
    const metrics = await runOpenPhase(client, job, job);
    await client.close();
    return metrics;
};

/**
 * Runs closed-loop load: each connection sends its next call once it has received the previous response.
 *
 * @param job - URL, connections and duration
 * @returns calls per second and failed calls
 */
export const runClosedLoad = async (job: Extract<types.LoadJob, { kind: "closed" }>): Promise<types.Metrics> => {
    const client = createRawClient(job.url, job.connections);
    const startedAtMs = httpServer.readMachineClockMs();
    let calls = 0;
    let failed = 0;
    const runConnection = async (): Promise<void> => {
        while (httpServer.readMachineClockMs() < startedAtMs + job.durationMs) {
            const isOk = await client.send().catch(() => false);
            calls += isOk ? 1 : 0;
            failed += isOk ? 0 : 1;
        }
    };
    await Promise.all(Array.from({ length: job.connections }, runConnection));
    const durationMs = httpServer.readMachineClockMs() - startedAtMs;
    await client.close();
    return { callsPerSecond: (calls * 1000) / durationMs, failed };
};

/**
 * Load generator for complete calls, with lookup, keys and retries as documented for callers.
 */
import * as fs from "node:fs/promises";
import * as random from "../common/random.js";
import * as caller from "../testing/caller/caller.js";
import * as callers from "../testing/caller/Types.js";
import * as history from "../testing/history/Types.js";
import * as httpServer from "../testing/http/httpServer.js";
import * as arrivals from "../testing/load/arrivals.js";
import * as latencies from "../testing/load/latencies.js";
import * as types from "./Types.js";

type CallJob = Extract<types.LoadJob, { kind: "calls" }>;

const maxTries = 4;
const connections = 256;
const uploadChunkBytes = 65_536;

const createKey = (load: types.CallLoad, callNumber: number): callers.CallKey =>
    load.key === "foreign" ? { kind: "foreign", key: `${load.service}-${callNumber}` } : { kind: load.key };

const createRequest = (load: types.CallLoad, callNumber: number): callers.CallRequest => ({
    service: load.service,
    method: load.method,
    path: load.path.replace("{n}", String(callNumber)),
    ...(load.bodyBytes === 0 ? {} : { body: Buffer.alloc(load.bodyBytes, `${callNumber} `) }),
    ...(load.bodyBytes > uploadChunkBytes ? { chunkBytes: uploadChunkBytes } : {}),
    deadlineMs: load.deadlineMs,
    key: createKey(load, callNumber),
    isIdempotent: load.isIdempotent,
});

const runServiceLoad = async (
    load: types.CallLoad,
    clients: readonly callers.Caller[],
    job: CallJob,
    seed: number,
): Promise<types.Metrics> => {
    const latency = latencies.createLatencies();
    const counts: Record<string, number> = { ran: 0, notRun: 0, mayHaveRun: 0, faultyAnswers: 0 };
    const warmUpEndsAtMs = httpServer.readMachineClockMs() + job.warmUpMs;
    let callNumber = 0;
    const addCount = (name: string): void => void (counts[name] = (counts[name] ?? 0) + 1);
    const { ratePerSecond } = load;
    const { durationMs } = job;
    const options = { ratePerSecond, durationMs, random: random.createRandom(seed), isPolling: false };
    await arrivals.runArrivals(options, async intendedAtMs => {
        callNumber++;
        const client = clients[callNumber % clients.length] as callers.Caller;
        const result = await client.call(createRequest(load, callNumber));
        if (intendedAtMs >= warmUpEndsAtMs) {
            latency.record(httpServer.readMachineClockMs() - intendedAtMs);
        }
        addCount(result.outcome === "ran" ? "ran" : result.outcome === "not-run" ? "notRun" : "mayHaveRun");
        if (result.responseCheck !== undefined && !(result.responseCheck.isWhole && result.responseCheck.isOwn)) {
            addCount("faultyAnswers");
        }
        if (result.error !== undefined) {
            addCount(`error.${result.error}`);
        }
    });
    const { p50Ms, p99Ms, p999Ms, maxMs } = latency.toSummary();
    const allMetrics = { calls: callNumber, ...counts, p50Ms, p99Ms, p999Ms, maxMs };
    return Object.fromEntries(Object.entries(allMetrics).map(([name, value]) => [`${load.service}.${name}`, value]));
};

/**
 * Runs all loads of a job concurrently, with one caller in each zone.
 *
 * @param job - loads, addresses and duration
 * @returns outcomes and latencies by service
 */
export const runCallLoad = async (job: CallJob): Promise<types.Metrics> => {
    const events: history.CallerEvent[] = [];
    const record = (event: history.CallerEvent): void => void events.push(event);
    const clients = Object.entries(job.addresses).map(([zone, entries], index) =>
        caller.createCaller({ entries, zone, seed: job.seed + index, maxTries, connections, record }),
    );
    const allMetrics = await Promise.all(
        job.loads.map((load, index) => runServiceLoad(load, clients, job, job.seed + 100 * (index + 1))),
    );
    await Promise.all(clients.map(client => client.close()));
    await fs.writeFile(job.historyFile, JSON.stringify(events));
    return Object.fromEntries(allMetrics.flatMap(metrics => Object.entries(metrics)));
};

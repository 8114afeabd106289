/**
 * Load of whole calls: lookup, keys and retries by the documented rules.
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

const maxSendings = 4;
const connections = 256;
const pieceBytes = 65_536;

const createKey = (load: types.CallLoad, number: number): callers.CallKey =>
    load.key === "foreign" ? { kind: "foreign", key: `${load.service}-${number}` } : { kind: load.key };

const createRequest = (load: types.CallLoad, number: number): callers.CallRequest => ({
    service: load.service,
    method: load.method,
    path: load.path.replace("{n}", String(number)),
    ...(load.bodyBytes === 0 ? {} : { body: Buffer.alloc(load.bodyBytes, `${number} `) }),
    ...(load.bodyBytes > pieceBytes ? { chunkBytes: pieceBytes } : {}),
    deadlineMs: load.deadlineMs,
    key: createKey(load, number),
    isIdempotent: load.isIdempotent,
});

const runCallLoadOf = async (
    load: types.CallLoad,
    clients: readonly callers.Caller[],
    job: CallJob,
    seed: number,
): Promise<types.Metrics> => {
    const latency = latencies.createLatencies();
    const counts: Record<string, number> = { ran: 0, notRun: 0, mayHaveRun: 0, faultyAnswers: 0 };
    const countedFromMs = httpServer.readMachineClockMs() + job.warmUpMs;
    let number = 0;
    const addOne = (name: string): void => void (counts[name] = (counts[name] ?? 0) + 1);
    const { ratePerSecond } = load;
    const { durationMs } = job;
    const options = { ratePerSecond, durationMs, random: random.createRandom(seed), isPolling: false };
    await arrivals.runArrivals(options, async intendedAtMs => {
        number++;
        const client = clients[number % clients.length] as callers.Caller;
        const result = await client.call(createRequest(load, number));
        if (intendedAtMs >= countedFromMs) {
            latency.record(httpServer.readMachineClockMs() - intendedAtMs);
        }
        addOne(result.outcome === "ran" ? "ran" : result.outcome === "not-run" ? "notRun" : "mayHaveRun");
        if (result.responseCheck !== undefined && !(result.responseCheck.isWhole && result.responseCheck.isOwn)) {
            addOne("faultyAnswers");
        }
        if (result.error !== undefined) {
            addOne(`error.${result.error}`);
        }
    });
    const { p50Ms, p99Ms, p999Ms, maxMs } = latency.toSummary();
    const all = { calls: number, ...counts, p50Ms, p99Ms, p999Ms, maxMs };
    return Object.fromEntries(Object.entries(all).map(([name, value]) => [`${load.service}.${name}`, value]));
};

/**
 * Runs all loads of a job at the same time, with one caller in each zone.
 *
 * @param job - loads, addresses and duration
 * @returns outcomes and latencies by service
 */
export const runCallLoad = async (job: CallJob): Promise<types.Metrics> => {
    const events: history.CallerEvent[] = [];
    const record = (event: history.CallerEvent): void => void events.push(event);
    const clients = Object.entries(job.addresses).map(([zone, entries], index) =>
        caller.createCaller({ entries, zone, seed: job.seed + index, maxTries: maxSendings, connections, record }),
    );
    const all = await Promise.all(
        job.loads.map((load, index) => runCallLoadOf(load, clients, job, job.seed + 100 * (index + 1))),
    );
    await Promise.all(clients.map(client => client.close()));
    await fs.writeFile(job.historyFile, JSON.stringify(events));
    return Object.fromEntries(all.flatMap(metrics => Object.entries(metrics)));
};

/**
 * Background calls of a scenario.
 */
import * as caller from "../caller/caller.js";
import * as callers from "../caller/Types.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as systemTypes from "../system/Types.js";
import * as types from "./Types.js";

const defaultPauseMs = 10;
const defaultMaxTries = 6;
const lookupPauseMs = 100;
const connections = 100;
const runPollMs = 20;
const runTimeoutMs = 60_000;

/** Options shared by all traffic of a run. */
export interface TrafficSource {
    readonly zones: readonly string[];
    readonly listEntries: () => readonly systemTypes.EntryVm[];
    readonly record: (event: history.CallerEvent) => void;
    readonly seed: number;
}

/**
 * Starts workers that send calls until they are stopped.
 *
 * @param source - zones, entry VMs and recorder of the calls
 * @param options - the calls
 * @returns the traffic
 */
export const startTraffic = (source: TrafficSource, options: types.TrafficOptions): types.Traffic => {
    const results: callers.CallResult[] = [];
    const listEntries = options.listEntries ?? source.listEntries;
    let isStopped = false;
    let number = 0;

    const createClient = (worker: number): callers.Caller =>
        caller.createCaller({
            entries: listEntries().map(entry => entry.listen),
            zone: source.zones[worker % source.zones.length] ?? "",
            seed: source.seed * 100 + worker,
            maxTries: options.maxTries ?? defaultMaxTries,
            connections,
            record: source.record,
        });

    const runWorker = async (worker: number): Promise<void> => {
        const client = createClient(worker);
        while (!isStopped) {
            try {
                results.push(await client.call(options.createRequest(++number)));
                await httpServer.waitMs(options.pauseMs ?? defaultPauseMs);
            } catch {
                // No entry VM responds to lookups at the moment.
                await httpServer.waitMs(lookupPauseMs);
            }
        }
        await client.close();
    };

    const workers = Array.from({ length: options.workers }, (_, worker) => runWorker(worker));
    const countRuns = (): number => results.filter(result => result.outcome === "ran").length;
    return {
        stop: async () => {
            isStopped = true;
            await Promise.all(workers);
            return results;
        },
        waitForRuns: async count => {
            const wanted = countRuns() + count;
            const untilMs = httpServer.readMachineClockMs() + runTimeoutMs;
            while (countRuns() < wanted) {
                if (httpServer.readMachineClockMs() > untilMs) {
                    throw new Error(`only ${count - wanted + countRuns()} of ${count} calls ran in ${runTimeoutMs} ms`);
                }
                await httpServer.waitMs(runPollMs);
            }
        },
    };
};

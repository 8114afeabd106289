/**
 * Traffic of the demo: profile lookups, bookings with idempotency keys, and photograph uploads.
 */
import * as crypto from "node:crypto";
import * as random from "../../common/random.js";
import * as caller from "../caller/caller.js";
import * as callers from "../caller/Types.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as arrivals from "../load/arrivals.js";
import * as latencies from "../load/latencies.js";

export interface Traffic {
    readonly service: string;
    readonly ratePerSecond: number;
    readonly createRequest: (number: number) => callers.CallRequest;
}

export interface TrafficResult {
    readonly service: string;
    /** Number of calls by outcome, together with the error if there is one. */
    readonly outcomes: ReadonlyMap<string, number>;
    readonly latency: latencies.LatencySummary;
    /** Number of responses that were truncated or belonged to another call. */
    readonly faultyResponses: number;
}

export interface TrafficOptions {
    readonly zones: readonly string[];
    /** Returns the addresses of the entry VMs to which a caller in the zone sends lookups. */
    readonly listAddresses: (zone: string) => readonly string[];
    readonly seed: number;
    readonly durationMs: number;
    readonly record: (event: history.CallerEvent) => void;
}

const mebibyte = 1024 * 1024;
const photograph = crypto.createHash("sha512").update("photograph").digest();
const maxTries = 4;
const connections = 64;

/** Traffic of the Fraserbank deployment. */
export const fraserbankTraffic: readonly Traffic[] = [
    {
        service: "profiles",
        ratePerSecond: 120,
        createRequest: number => ({
            service: "profiles",
            method: "GET",
            path: `/profiles/${number}?answerBytes=500`,
            deadlineMs: 2000,
            key: { kind: "none" },
            isIdempotent: true,
        }),
    },
    {
        service: "bookings",
        ratePerSecond: 60,
        createRequest: number => ({
            service: "bookings",
            method: "POST",
            path: "/bookings",
            body: Buffer.from(JSON.stringify({ customer: number, seat: `${number % 40}B` })),
            deadlineMs: 5000,
            key: { kind: "issued" },
            isIdempotent: false,
        }),
    },
    {
        service: "inspection",
        ratePerSecond: 4,
        createRequest: number => ({
            service: "inspection",
            method: "PUT",
            path: `/photographs/${number}`,
            body: Buffer.alloc((2 + (number % 3)) * mebibyte, photograph),
            chunkBytes: 65_536,
            deadlineMs: 30_000,
            key: { kind: "none" },
            isIdempotent: true,
        }),
    },
];

/**
 * Runs one kind of traffic with a caller in each zone.
 *
 * @param traffic - rate and requests
 * @param options - zones, entry VMs, seed, duration and recorder
 * @returns outcomes and latencies
 */
export const runTraffic = async (traffic: Traffic, options: TrafficOptions): Promise<TrafficResult> => {
    const clients = options.zones.map((zone, index) =>
        caller.createCaller({
            entries: options.listAddresses(zone),
            zone,
            seed: options.seed + index,
            maxTries,
            connections,
            record: options.record,
        }),
    );
    const outcomes = new Map<string, number>();
    const latency = latencies.createLatencies();
    let faultyResponses = 0;
    let number = 0;

    const send = async (intendedAtMs: number): Promise<void> => {
        number++;
        const client = clients[number % clients.length] as callers.Caller;
        const result = await client.call(traffic.createRequest(number));
        latency.record(httpServer.readMachineClockMs() - intendedAtMs);
        const outcome = `${result.outcome ?? "no response"}${result.error === undefined ? "" : ` (${result.error})`}`;
        outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
        const { responseCheck } = result;
        faultyResponses += responseCheck !== undefined && !(responseCheck.isWhole && responseCheck.isOwn) ? 1 : 0;
    };

    const { durationMs, seed } = options;
    const generator = random.createRandom(seed);
    const { ratePerSecond } = traffic;
    await arrivals.runArrivals({ ratePerSecond, durationMs, random: generator, isPolling: false }, send);
    await Promise.all(clients.map(client => client.close()));
    return { service: traffic.service, outcomes, latency: latency.toSummary(), faultyResponses };
};

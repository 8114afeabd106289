/**
 * Traffic for end-to-end tests, recorded for the history checker.
 */
import * as caller from "../caller/caller.js";
import * as callers from "../caller/Types.js";
import * as checker from "../history/checker.js";
import * as history from "../history/Types.js";
import * as system from "../system/system.js";
import * as systemTypes from "../system/Types.js";

export interface Traffic {
    /** Runs bookings and notes in turn, several at a time, and returns their results. */
    readonly run: (calls: number) => Promise<callers.CallResult[]>;
    readonly send: (request: Partial<callers.CallRequest>) => Promise<callers.CallResult>;
    /** Checks everything recorded since the start. */
    readonly listViolations: (removals?: readonly history.ZoneRemoval[]) => Promise<readonly string[]>;
    readonly close: () => Promise<void>;
}

const concurrentCalls = 8;

// Each entry VM sends one probe when it becomes owner of a target. At startup and when owners change, several entry VMs
// own the same target, so they share the burst.
const allowances: history.Allowances = checker.defaultAllowances;

/** A service with four targets in two zones, whose bookings are non-idempotent. */
export const bookingsPlan: systemTypes.DeploymentPlan = {
    name: "e2e",
    region: "region",
    zones: ["zone-a", "zone-b"],
    linkDelayMs: 1,
    entries: 4,
    services: [
        {
            service: "bookings",
            targets: 4,
            slots: 4,
            coldSlots: 1,
            connections: 20,
            serviceTime: { kind: "exponential", meanMs: 5 },
            deadlineMs: 5000,
            maxBodyBytes: 1_000_000,
            idempotent: ["PUT /notes/*"],
            nonIdempotent: [],
        },
    ],
};

/** A non-idempotent call with an issued key. */
export const bookingRequest: callers.CallRequest = {
    service: "bookings",
    method: "POST",
    path: "/bookings",
    body: Buffer.from("a seat"),
    deadlineMs: 8000,
    key: { kind: "issued" },
    isIdempotent: false,
};

const noteRequest: Partial<callers.CallRequest> = {
    method: "PUT",
    path: "/notes/1?answerBytes=20000",
    key: { kind: "none" },
    isIdempotent: true,
};

/**
 * Starts a system, publishes its configuration and waits until all daemons are ready.
 *
 * @param seed - seed of the targets
 * @param options - overrides of the defaults
 * @returns the running system
 */
export const startServingSystem = async (
    seed: number,
    options: Partial<systemTypes.SystemOptions> = {},
): Promise<system.System> => {
    const running = await system.startSystem({ plan: bookingsPlan, seed, ...options });
    const published = await running.publish();
    if (published.exitCode !== 0) {
        throw new Error(`publish exited with ${published.exitCode}: ${published.lines.join("\n")}`);
    }
    await Promise.all(running.entries.map(entry => running.waitForHealth(entry)));
    await running.waitForAgreement();
    return running;
};

/**
 * Creates traffic with a caller in each zone.
 *
 * @param running - the system
 * @param seed - seed of the callers
 * @param maxTries - maximum number of tries of one call
 * @returns the traffic
 */
export const createTraffic = (running: system.System, seed: number, maxTries = 6): Traffic => {
    const events: history.CallerEvent[] = [];
    const clients = bookingsPlan.zones.map((zone, index) =>
        caller.createCaller({
            entries: running.entries.map(entry => entry.listen),
            zone,
            seed: seed + index,
            maxTries,
            connections: 16,
            record: event => void events.push(event),
        }),
    );
    let sent = 0;

    const send = (request: Partial<callers.CallRequest>): Promise<callers.CallResult> => {
        const client = clients[sent++ % clients.length] as callers.Caller;
        // Identical requests would share a fingerprint, and those in flight during a crash would be refused after it.
        return client.call({ ...bookingRequest, body: Buffer.from(`seat ${sent}`), ...request });
    };

    const run = async (calls: number): Promise<callers.CallResult[]> => {
        const results: callers.CallResult[] = [];
        let startedCalls = 0;
        const runNext = async (): Promise<void> => {
            while (startedCalls < calls) {
                startedCalls++;
                results.push(await send(startedCalls % 2 === 0 ? {} : noteRequest));
            }
        };
        await Promise.all(Array.from({ length: concurrentCalls }, runNext));
        return results;
    };

    return {
        run,
        send,
        listViolations: async (removals = []) => {
            const targets = await running.readTargetEvents();
            const limits = Object.keys(running.targets).map(target => ({ target, coldSlots: 1 }));
            const found = checker.checkHistory({ targets, callers: events, removals, limits }, allowances);
            return found.map(violation => `${violation.rule}: ${violation.message}`);
        },
        close: async () => {
            await Promise.all(clients.map(client => client.close()));
        },
    };
};

/**
 * Counts results by outcome and error.
 *
 * @param results - results of calls
 * @returns counts by outcome and error, such as `not-run queue_full`
 */
export const countOutcomes = (results: readonly callers.CallResult[]): Record<string, number> => {
    const counts: Record<string, number> = {};
    for (const { outcome, error } of results) {
        const text = `${outcome ?? "none"}${error === undefined ? "" : ` ${error}`}`;
        counts[text] = (counts[text] ?? 0) + 1;
    }
    return counts;
};

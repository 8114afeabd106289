/**
 * Where clients are, by the lookups that all VMs have answered: a request does not tell the zone of its client, but a client
 * that sends requests looks up VMs again and again.
 */
import * as shared from "../Types.js";
import * as activeVmPlan from "./activeVmPlan.js";

/** Clients repeat a lookup after 3 s or more; the zones' demand moves within tens of seconds. */
const decayMs = 8_000;
/** With fewer lookups, shares would follow chance. */
const minLookups = 30;
/** Bounds the zones that are counted; a deployment has three or so. */
const maxZones = 16;
/** Longer names of zones, which any client can send, do not count. */
const maxNameLength = 64;
/** A zone with a smaller count is forgotten, so that names that clients make up give way. */
const minCount = 0.1;
/** Shares are in steps of this size, so that they do not change all the time. */
const shareStep = 0.05;

/** Lookups by zone. */
export type LookupCounts = readonly (readonly [zone: shared.ZoneName, count: number])[];

export interface ClientZones {
    record(zone: shared.ZoneName, count: number): void;
    /** Shares of the clients by zone; undefined if too few lookups are known. */
    computeShares(): activeVmPlan.ClientShares | undefined;
}

export interface LookupCounter {
    /** Counts a lookup, unless it does not tell the zone. */
    record(zone: shared.ZoneName | undefined): void;
    /** Returns the lookups since the last call. */
    take(): LookupCounts;
}

/**
 * Creates a counter of the lookups that a VM answers.
 *
 * @returns the counter
 */
export const createLookupCounter = (): LookupCounter => {
    let counts = new Map<shared.ZoneName, number>();
    return {
        record: zone => {
            if (zone === undefined || zone.length > maxNameLength) {
                return;
            }
            if (counts.has(zone) || counts.size < maxZones) {
                counts.set(zone, (counts.get(zone) ?? 0) + 1);
            }
        },
        take: () => {
            const taken = [...counts];
            counts = new Map();
            return taken;
        },
    };
};

/**
 * Creates the shares of zones without lookups.
 *
 * @param clock - the clock
 * @returns the shares
 */
export const createClientZones = (clock: shared.Clock): ClientZones => {
    const counts = new Map<shared.ZoneName, number>();
    let updatedAtMs = clock.now();

    const advance = (): void => {
        const nowMs = clock.now();
        const factor = Math.exp((updatedAtMs - nowMs) / decayMs);
        updatedAtMs = nowMs;
        for (const [zone, count] of counts) {
            if (count * factor < minCount) {
                counts.delete(zone);
            } else {
                counts.set(zone, count * factor);
            }
        }
    };

    return {
        record: (zone, count) => {
            advance();
            if (Number.isFinite(count) && count > 0 && (counts.has(zone) || counts.size < maxZones)) {
                counts.set(zone, (counts.get(zone) ?? 0) + count);
            }
        },
        computeShares: () => {
            advance();
            const total = [...counts.values()].reduce((sum, count) => sum + count, 0);
            if (total < minLookups) {
                return undefined;
            }
            const steps = [...counts].map(([zone, count]) => [zone, Math.round(count / total / shareStep)] as const);
            const allSteps = steps.reduce((sum, [, count]) => sum + count, 0);
            return new Map(steps.flatMap(([zone, count]) => (count > 0 ? [[zone, count / allSteps] as const] : [])));
        },
    };
};

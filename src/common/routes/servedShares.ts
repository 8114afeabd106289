/**
 * Shares of the recent requests that were served, of each group and of all together.
 */
import * as shared from "../Types.js";

/** Time constant of the counts; outages and bursts last a few seconds. */
const decayMs = 5_000;
/** A group with fewer recent requests says nothing about its share. */
const minRequests = 5;
/** A group whose decayed count is below this is dropped when another one appears. */
const forgottenRequests = 0.01;
/** Nobody may be served less than a quarter as often as all; action is taken a little before. */
const minRelativeShare = 0.35;

interface Counts {
    offered: number;
    served: number;
    updatedAtMs: number;
}

export interface ServedShares {
    /** Records the end of a wait, or a request that did not have to wait. The number of groups must be bounded. */
    record(group: string, isServed: boolean): void;
    /** Whether the group is close to being served less than a quarter as often as all. */
    isNeglected(group: string): boolean;
}

/**
 * Creates shares without any requests.
 *
 * @param clock - the clock
 * @returns the shares
 */
export const createServedShares = (clock: shared.Clock): ServedShares => {
    const groups = new Map<string, Counts>();
    const all: Counts = { offered: 0, served: 0, updatedAtMs: clock.now() };

    const advance = (counts: Counts): Counts => {
        const nowMs = clock.now();
        const factor = Math.exp((counts.updatedAtMs - nowMs) / decayMs);
        counts.offered *= factor;
        counts.served *= factor;
        counts.updatedAtMs = nowMs;
        return counts;
    };

    const addGroup = (group: string): Counts => {
        for (const [name, counts] of groups) {
            if (advance(counts).offered < forgottenRequests) {
                groups.delete(name);
            }
        }
        const counts = { offered: 0, served: 0, updatedAtMs: clock.now() };
        groups.set(group, counts);
        return counts;
    };

    return {
        record: (group, isServed) => {
            const counts = groups.get(group) ?? addGroup(group);
            for (const each of [counts, all]) {
                advance(each).offered++;
                each.served += isServed ? 1 : 0;
            }
        },
        isNeglected: group => {
            const counts = groups.get(group);
            if (counts === undefined || advance(counts).offered < minRequests) {
                return false;
            }
            return counts.served / counts.offered < (minRelativeShare * advance(all).served) / all.offered;
        },
    };
};

/**
 * Counts crashes of targets by the request that was in flight.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

export interface CrashRegistryOptions {
    readonly scheduler: shared.Clock;
    /** Requests are refused from this count on. */
    readonly limit: number;
    readonly maxEntries: number;
    /** An entry expires this long after its count last grew. */
    readonly retentionMs: number;
}

interface Entry {
    readonly count: number;
    readonly changedAtMs: number;
}

/**
 * A crash breaks all connections of a target at about the same time, so those that break within this time count as one
 * crash. Otherwise equal requests in flight together would each count it, and a harmless request would reach the limit.
 */
const sameCrashMs = 1_000;

/**
 * Creates an empty registry.
 *
 * @param options - its clock and limits
 * @returns the registry
 */
export const createCrashRegistry = (options: CrashRegistryOptions): types.CrashRegistry => {
    const { scheduler, limit, maxEntries, retentionMs } = options;
    // Ordered by last change, oldest first.
    const entries = new Map<string, Entry>();

    /** Time of the last crash by target and fingerprint. */
    const recentCrashes = new Map<string, number>();

    const removeOldCrashes = (nowMs: number): void => {
        for (const [crashKey, atMs] of recentCrashes) {
            if (nowMs - atMs >= sameCrashMs) {
                recentCrashes.delete(crashKey);
            }
        }
    };

    const removeExpired = (): void => {
        const nowMs = scheduler.now();
        for (const [fingerprint, entry] of entries) {
            if (nowMs - entry.changedAtMs < retentionMs) {
                return;
            }
            entries.delete(fingerprint);
        }
    };

    const setCount = (fingerprint: string, count: number): void => {
        entries.delete(fingerprint);
        entries.set(fingerprint, { count, changedAtMs: scheduler.now() });
        const [oldest] = entries.keys();
        if (entries.size > maxEntries && oldest !== undefined) {
            entries.delete(oldest);
        }
    };

    const getCount = (fingerprint: string): number => {
        removeExpired();
        return entries.get(fingerprint)?.count ?? 0;
    };

    return {
        recordCrash: (fingerprint, target) => {
            const count = getCount(fingerprint);
            const crashKey = `${target} ${fingerprint}`;
            const lastCrashMs = recentCrashes.get(crashKey);
            const nowMs = scheduler.now();
            removeOldCrashes(nowMs);
            if (lastCrashMs !== undefined && nowMs - lastCrashMs < sameCrashMs) {
                return count;
            }
            recentCrashes.set(crashKey, nowMs);
            setCount(fingerprint, count + 1);
            return count + 1;
        },
        recordSuccess: fingerprint => {
            if (getCount(fingerprint) < limit) {
                entries.delete(fingerprint);
            }
        },
        mergeCount: (fingerprint, count) => {
            // Only a greater count renews an entry, so that peers cannot keep it alive for each other. Two
            // entry VMs that count one crash each therefore agree on 1: the maximum is idempotent, a sum is not.
            if (count > getCount(fingerprint)) {
                setCount(fingerprint, count);
            }
        },
        isBlocked: fingerprint => getCount(fingerprint) >= limit,
        list: () => {
            removeExpired();
            return [...entries].map(([fingerprint, entry]) => ({ fingerprint, count: entry.count }));
        },
        isEmpty: () => {
            removeExpired();
            return entries.size === 0;
        },
    };
};

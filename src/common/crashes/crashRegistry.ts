/**
 * Counts of requests that broke the connection to their target.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

export interface CrashRegistryOptions {
    readonly scheduler: shared.Clock;
    /** Requests with this count are refused. */
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
 * Creates an empty registry.
 *
 * @param options - its clock and bounds
 * @returns the registry
 */
export const createCrashRegistry = (options: CrashRegistryOptions): types.CrashRegistry => {
    const { scheduler, limit, maxEntries, retentionMs } = options;
    // In the order of the last change, oldest first.
    const entries = new Map<string, Entry>();

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
        recordCrash: fingerprint => {
            const count = getCount(fingerprint) + 1;
            setCount(fingerprint, count);
            return count;
        },
        mergeCount: (fingerprint, count) => {
            // Only growth renews an entry, so that peers cannot keep it alive for each other. Two counts of one crash
            // each, seen by different entry VMs, merge to one: the maximum is idempotent, a sum is not.
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

/**
 * Incremental distribution of crash counts: each peer receives the counts that have changed since its last request.
 */
import * as types from "../../common/Types.js";

export interface CrashCount {
    readonly fingerprint: string;
    readonly count: number;
}

export interface CrashFeed {
    /**
     * Lists the counts that have changed since an earlier response.
     *
     * @param cursor - the cursor of that response, if there was one
     * @returns the changes, and the cursor for the next request
     */
    listChanges(cursor: string | undefined): {
        readonly changes: readonly (readonly [string, number])[];
        readonly cursor: string;
    };
}

/** Limits the counts in one response to about 8 KB. */
const maxChanges = 100;

/**
 * Creates a feed of this incarnation's counts.
 *
 * @param incarnation - part of the cursor, since sequence numbers of an earlier incarnation are not comparable
 * @param listCrashes - returns the current counts
 * @returns the feed
 */
export const createCrashFeed = (
    incarnation: types.IncarnationId,
    listCrashes: () => readonly CrashCount[],
): CrashFeed => {
    /** Ordered by last change. */
    const entries = new Map<string, { readonly count: number; readonly sequence: number }>();
    let sequence = 0;

    const refresh = (): void => {
        const current = new Map(listCrashes().map(crash => [crash.fingerprint, crash.count]));
        for (const fingerprint of entries.keys()) {
            if (!current.has(fingerprint)) {
                entries.delete(fingerprint);
            }
        }
        for (const [fingerprint, count] of current) {
            if (entries.get(fingerprint)?.count !== count) {
                entries.delete(fingerprint);
                entries.set(fingerprint, { count, sequence: ++sequence });
            }
        }
    };

    const parseCursor = (cursor: string | undefined): number => {
        const prefix = `${incarnation}:`;
        return cursor?.startsWith(prefix) === true ? Number(cursor.slice(prefix.length)) || 0 : 0;
    };

    return {
        listChanges: cursor => {
            refresh();
            const since = parseCursor(cursor);
            const changed = [...entries].filter(([, entry]) => entry.sequence > since).slice(0, maxChanges);
            const last = changed.at(-1)?.[1].sequence ?? since;
            return {
                changes: changed.map(([fingerprint, entry]) => [fingerprint, entry.count]),
                cursor: `${incarnation}:${last}`,
            };
        },
    };
};

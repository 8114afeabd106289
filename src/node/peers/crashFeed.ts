/**
 * Spread of crash counts: each peer gets the counts that have changed since it last asked.
 */
import * as types from "../../common/Types.js";

export interface CrashCount {
    readonly fingerprint: string;
    readonly count: number;
}

export interface CrashFeed {
    /**
     * Lists the counts that have changed since an earlier answer.
     *
     * @param cursor - the cursor of that answer, if there was one
     * @returns the changes, and the cursor to ask with next
     */
    listChanges(cursor: string | undefined): {
        readonly changes: readonly (readonly [string, number])[];
        readonly cursor: string;
    };
}

/** Bounds one answer to about 8 KB. */
const maxChanges = 100;

/**
 * Creates a feed of this incarnation's counts.
 *
 * @param incarnation - distinguishes cursors of an earlier incarnation, which had other numbers
 * @param listCrashes - the counts now
 * @returns the feed
 */
export const createCrashFeed = (
    incarnation: types.IncarnationId,
    listCrashes: () => readonly CrashCount[],
): CrashFeed => {
    /** In the order of the last change. */
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

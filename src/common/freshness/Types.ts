/**
 * Types for the configuration in use and how long it may be used.
 */
import * as types from "../Types.js";

/** Revision in use by an entry VM and its last confirmation. Times are local and monotonic. */
export interface FreshnessState {
    readonly revision: types.Revision;
    /** Latest time at which the revision in use was known to be current; undefined before the first confirmation. */
    readonly confirmedAtMs: number | undefined;
}

/** Whether an entry VM may dispatch calls now and, if not, why. */
export type FreshnessVerdict =
    | { readonly kind: "fresh"; readonly untilMs: number }
    | { readonly kind: "unsynced" }
    | { readonly kind: "stale"; readonly sinceMs: number };

/** At `atMs`, `revision` was at least as new as every accepted revision. */
export interface Confirmation {
    readonly revision: types.Revision;
    readonly atMs: number;
}

/** Revision that an entry VM had in use at `seenAtMs`. */
export interface VmDigest {
    readonly vm: types.VmId;
    readonly revision: types.Revision;
    readonly synced: boolean;
    readonly seenAtMs: number;
}

/** State of one incarnation regarding the revisions that it may use. */
export interface RevisionState {
    readonly startedAtMs: number;
    readonly inUse: FreshnessState;
    /** Confirmations of revisions that have not been adopted yet, in descending order of time and revision. */
    readonly pending: readonly Confirmation[];
}

/**
 * Which configuration is in use and until when it may be used.
 */
import * as types from "../Types.js";

/** Configuration in use as one entry VM knows it. Times are local and monotonic. */
export interface FreshnessState {
    readonly revision: types.Revision;
    /** The configuration in use was current at this time; undefined before the first confirmation. */
    readonly confirmedAtMs: number | undefined;
}

/** Why an entry VM may or may not dispatch calls now. */
export type FreshnessVerdict =
    | { readonly kind: "fresh"; readonly untilMs: number }
    | { readonly kind: "unsynced" }
    | { readonly kind: "stale"; readonly sinceMs: number };

/** At `atMs`, `revision` was at least as new as every accepted revision. */
export interface Confirmation {
    readonly revision: types.Revision;
    readonly atMs: number;
}

/** What one entry VM was known to have in use at `seenAtMs`. */
export interface VmDigest {
    readonly vm: types.VmId;
    readonly revision: types.Revision;
    readonly synced: boolean;
    readonly seenAtMs: number;
}

/** All that one incarnation knows of the revision that it may use. */
export interface RevisionState {
    readonly startedAtMs: number;
    readonly inUse: FreshnessState;
    /** Confirmations of revisions that have not been adopted yet, by falling time and revision. */
    readonly pending: readonly Confirmation[];
}

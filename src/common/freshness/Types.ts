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

/**
 * The cold lease of one target, as one incarnation sees it. All times are local and monotonic.
 */
import * as types from "../Types.js";

/** Content of the row `cold/<target>`. */
export interface LeaseRow {
    /** The holder; undefined after a release. */
    readonly holder: types.IncarnationId | undefined;
    /** Random; tells a writer whether a write with a lost answer was its own. */
    readonly token: string;
}

/** A row as it was read. Version 0 stands for an absent row. */
export interface ReadRow {
    readonly version: number;
    readonly row: LeaseRow | undefined;
}

/** The last row that was read, and since when it has been the same. */
export interface SeenRow extends ReadRow {
    readonly sinceMs: number;
}

export type LeaseWriteKind = "take" | "renew" | "release";

export interface LeaseWrite {
    readonly kind: LeaseWriteKind;
    /** Version that the row must have. */
    readonly version: number;
    readonly row: LeaseRow;
    /** Time before the write was sent; the lease is counted from it. */
    readonly sentAtMs: number;
}

export interface LeaseState {
    /** The lease is wanted until then, unless it is asked for again. */
    readonly wantedUntilMs: number;
    readonly seen: SeenRow | undefined;
    /** When `seen` was last confirmed by a read. */
    readonly readAtMs: number;
    /** End of the lease; undefined if it was never held or was given up. */
    readonly endMs: number | undefined;
    /** Token of the write that the lease rests on. */
    readonly token: string | undefined;
    /** Send time of that write. */
    readonly writtenAtMs: number;
    /** True after the holder gave the lease up, until the row says so. */
    readonly isReleasing: boolean;
    readonly write: LeaseWrite | undefined;
    /** Whether the answer of `write` was lost, so that the row has to be read. */
    readonly isUnknown: boolean;
    /** No read or write before this time. */
    readonly retryAtMs: number;
}

export type LeaseEvent =
    | { readonly kind: "wanted"; readonly untilMs: number }
    /** No call that needs the lease is in flight, and none will be sent. */
    | { readonly kind: "givenUp" }
    | { readonly kind: "read"; readonly read: ReadRow }
    | { readonly kind: "readFailed" }
    | { readonly kind: "writeSent"; readonly write: LeaseWrite }
    | { readonly kind: "committed" }
    /** The row had another version. */
    | { readonly kind: "conflicted" }
    /** The write surely had no effect. */
    | { readonly kind: "unavailable" }
    | { readonly kind: "unknown" };

/** What the holder or contender does next. */
export type LeaseStep =
    | { readonly kind: "wait"; readonly untilMs: number }
    | { readonly kind: "read" }
    | { readonly kind: "write"; readonly write: LeaseWriteKind; readonly version: number }
    /** The lease is neither held nor wanted; the state can be dropped. */
    | { readonly kind: "done" };

export interface LeaseSettings {
    readonly leaseMs: number;
    /** Added by a contender to the lease, for clocks that run at different rates and for calls being cancelled. */
    readonly marginMs: number;
    readonly renewEveryMs: number;
    /** Pause after an outage, and between two looks at the row of another holder. */
    readonly pollMs: number;
}

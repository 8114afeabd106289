/**
 * Types of the cold lease of one target, as seen by one incarnation. All times are local and monotonic.
 */
import * as types from "../Types.js";

/** Content of the row `cold/<target>`. */
export interface LeaseRow {
    /** The incarnation that holds the lease; undefined after a release. */
    readonly holder: types.IncarnationId | undefined;
    /** Random token of the write; shows a writer whether its write was applied when the response was lost. */
    readonly token: string;
}

/** Result of reading a row. Version 0 denotes an absent row. */
export interface ReadRow {
    readonly version: number;
    readonly row: LeaseRow | undefined;
}

/** The row as last read, with the time since which it has been unchanged. */
export interface ObservedRow extends ReadRow {
    readonly sinceMs: number;
}

export type LeaseWriteKind = "take" | "renew" | "release";

export interface LeaseWrite {
    readonly kind: LeaseWriteKind;
    /** Version that the row must have for the write to apply. */
    readonly version: number;
    readonly row: LeaseRow;
    /** Time taken before the write was sent; the lease duration counts from it. */
    readonly sentAtMs: number;
}

export interface LeaseState {
    /** The lease is wanted until this time; further requests extend it. */
    readonly wantedUntilMs: number;
    readonly observed: ObservedRow | undefined;
    /** Time of the last read of the row; -Infinity if it has to be read before the next write. */
    readonly lastReadAtMs: number;
    /** Expiry of the lease; undefined if it was never held or was released. */
    readonly leaseEndMs: number | undefined;
    /** Token of the write that granted or last renewed the lease. */
    readonly token: string | undefined;
    /** Send time of that write. */
    readonly writtenAtMs: number;
    /** True from the holder's release of the lease until the row is updated. */
    readonly isReleasing: boolean;
    readonly pendingWrite: LeaseWrite | undefined;
    /** True if the response to `pendingWrite` was lost, so the row has to be read. */
    readonly isWriteUnknown: boolean;
    /** No read or write is sent before this time. */
    readonly retryAtMs: number;
}

export type LeaseEvent =
    | { readonly kind: "wanted"; readonly untilMs: number }
    /** The holder releases the lease: no call that needs it is in flight, and none will be sent. */
    | { readonly kind: "released" }
    | { readonly kind: "read"; readonly read: ReadRow }
    | { readonly kind: "readFailed" }
    | { readonly kind: "writeSent"; readonly write: LeaseWrite }
    | { readonly kind: "committed" }
    /** The row had another version, so the write was not applied. */
    | { readonly kind: "conflicted" }
    /** The write was certainly not applied. */
    | { readonly kind: "unavailable" }
    /** The response to the write was lost. */
    | { readonly kind: "unknown" };

/** Next step of the holder or a contender. */
export type LeaseStep =
    | { readonly kind: "wait"; readonly untilMs: number }
    | { readonly kind: "read" }
    | { readonly kind: "write"; readonly write: LeaseWriteKind; readonly version: number }
    /** The lease is neither held nor wanted; the state can be dropped. */
    | { readonly kind: "done" };

export interface LeaseSettings {
    readonly leaseMs: number;
    /** Added to the lease by a contender, to allow for clock drift and for calls that are being cancelled. */
    readonly marginMs: number;
    readonly renewEveryMs: number;
    /** Delay after a failed request, and between two reads of a row that another incarnation holds. */
    readonly pollMs: number;
}

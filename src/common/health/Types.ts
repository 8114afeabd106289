/**
 * Health of a target as tracked by an entry VM, and the events that change it.
 */
import * as routing from "../routing/Types.js";
import * as types from "../Types.js";

export interface TargetHealth {
    readonly state: routing.TargetState;
    readonly boot: types.BootId | undefined;
    /** When `boot` was first reported. */
    readonly bootLearnedAtMs: number | undefined;
    /** When the boot id last changed; undefined if it never has. */
    readonly bootChangedAtMs: number | undefined;
    /** When the target last became cold or draining or may have restarted; earlier warm reports are ignored. */
    readonly downgradedAtMs: number | undefined;
    /** Failures since the last response. */
    readonly failures: number;
    /** Time of the first of these failures. */
    readonly failingSinceMs: number | undefined;
    /** For an ejected target: whether it counts as cold after the ejection. */
    readonly returnsCold: boolean;
    readonly ejections: number;
    readonly ejectedAtMs: number | undefined;
    /** When the target last recovered from slowness or an ejection; its limit grows from then on. */
    readonly recoveredAtMs: number | undefined;
}

export type HealthEvent =
    /** `requestedAtMs`: when the request that this report responds to was sent; undefined if that is not known. */
    | { readonly kind: "reported"; readonly report: routing.TargetReport; readonly requestedAtMs: number | undefined }
    | { readonly kind: "answered" }
    /** A probe got a response. This does not end an ejection, because calls may still fail. */
    | { readonly kind: "probed" }
    /** `mayHaveRestarted`: the connection broke or could not be opened, as happens when the target's process exits. */
    | { readonly kind: "failed"; readonly mayEject: boolean; readonly mayHaveRestarted: boolean }
    /** The target closed an idle connection. */
    | { readonly kind: "disconnected" }
    /** Smoothed latency divided by the median of the cell. */
    | { readonly kind: "compared"; readonly ratio: number }
    /** The limit of a warming target has reached its number of slots. */
    | { readonly kind: "warmedUp" };

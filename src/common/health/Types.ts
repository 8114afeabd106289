/**
 * What the owner of a target knows about its health.
 */
import * as routing from "../routing/Types.js";
import * as types from "../Types.js";

export interface TargetHealth {
    readonly state: routing.TargetState;
    readonly boot: types.BootId | undefined;
    /** When `boot` was learned. */
    readonly bootLearnedAtMs: number | undefined;
    /** When a boot id replaced another one; undefined if that never happened. */
    readonly bootChangedAtMs: number | undefined;
    /** Arrival of the newest report that said cold or draining. */
    readonly downgradedAtMs: number | undefined;
    /** Failures since the last answer. */
    readonly failures: number;
    /** Time of the first of these failures. */
    readonly failingSinceMs: number | undefined;
    /** For an ejected target: whether it is cold when it returns. */
    readonly returnsCold: boolean;
    readonly ejections: number;
    readonly ejectedAtMs: number | undefined;
    /** When the target stopped being slow; its limit grows from then on. */
    readonly recoveredAtMs: number | undefined;
}

export type HealthEvent =
    /** `askedAtMs` is when the request was sent that this report answers; undefined if the order is not known. */
    | { readonly kind: "reported"; readonly report: routing.TargetReport; readonly requestedAtMs: number | undefined }
    | { readonly kind: "answered" }
    /** A probe was answered; that ends no ejection, because calls may still fail. */
    | { readonly kind: "probed" }
    /** `mayHaveRestarted`: the connection broke or could not be opened, as it does when the target's process ends. */
    | { readonly kind: "failed"; readonly mayEject: boolean; readonly mayHaveRestarted: boolean }
    /** An idle connection was closed by the target. */
    | { readonly kind: "disconnected" }
    /** Smoothed latency divided by the median of the cell. */
    | { readonly kind: "compared"; readonly ratio: number }
    /** The limit of a warming target has reached its slots. */
    | { readonly kind: "warmedUp" };

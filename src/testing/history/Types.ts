/**
 * Histories of a run, recorded by targets and callers.
 */
import * as errors from "../../common/errors/Types.js";

/** `started` is recorded when a call takes a slot at the target, before the body has arrived. */
export type TargetEventKind =
    "started" | "received" | "finished" | "refused" | "cancelled" | "probed" | "collapsed" | "crashed" | "turnedCold";

export interface TargetEvent {
    readonly kind: TargetEventKind;
    /** Time of the clock shared by all processes on the machine. */
    readonly atMs: number;
    readonly target: string;
    readonly zone: string;
    readonly boot: string;
    /** True if the target was in cold start at that time. */
    readonly cold: boolean;
    /** Number of calls that hold a slot after the event. */
    readonly running: number;
    /** Number of the call at this target; the same in all events of the call. */
    readonly run?: number;
    readonly key?: string;
    readonly attempt?: string;
    readonly requestId?: string;
    readonly method?: string;
    readonly path?: string;
    readonly bodyBytes?: number;
    readonly bodyDigest?: string;
}

/** Result of checking a response body at the caller. */
export interface ResponseCheck {
    /** True if all declared bytes arrived and match their digest. */
    readonly isWhole: boolean;
    /** True if the response belongs to a request of the same call, with the body that was sent. */
    readonly isOwn: boolean;
}

interface CallerEventBase {
    readonly atMs: number;
    /** Identifies the call; the same in all its tries. */
    readonly call: string;
    /** `X-Request-Id` of this try. */
    readonly requestId: string;
    readonly service: string;
    readonly entry: string;
    readonly isIdempotent: boolean;
    readonly key?: string;
}

export interface SentEvent extends CallerEventBase {
    readonly kind: "sent";
}

export interface ResponseEvent extends CallerEventBase {
    readonly kind: "answered";
    /** Undefined if the caller got no response. */
    readonly outcome: errors.Outcome | undefined;
    readonly error?: string;
    readonly status?: number;
    /** Why there is no response. */
    readonly cause?: string;
    /** Result of checking the response body. */
    readonly answer?: ResponseCheck;
}

export type CallerEvent = SentEvent | ResponseEvent;

/** A period in which a zone was out of service. It begins when the change is accepted. */
export interface ZoneRemoval {
    readonly zone: string;
    readonly acceptedAtMs: number;
    /** Time at which the change that returns the zone to service was submitted. */
    readonly returnedAtMs?: number;
}

export interface TargetLimits {
    readonly target: string;
    readonly coldSlots: number;
}

export interface History {
    readonly targets: readonly TargetEvent[];
    readonly callers: readonly CallerEvent[];
    readonly removals: readonly ZoneRemoval[];
    readonly limits: readonly TargetLimits[];
}

export interface Allowances {
    /** Time after a removal is accepted in which calls may still start in the zone. */
    readonly removalMs: number;
    /** Time after a target turns cold without warning in which more calls than its cold slots may start. */
    readonly coldDetectionMs: number;
    readonly probesPerSecond: number;
    readonly probeBurst: number;
}

export interface Violation {
    readonly rule: "at-most-once" | "not-run" | "own-answer" | "removed-zone" | "cold-slots" | "probe-budget";
    readonly message: string;
}

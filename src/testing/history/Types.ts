/**
 * Histories of a run, recorded by targets and callers.
 */
import * as errors from "../../common/errors/Types.js";

/** `started` is recorded when a target takes a slot, which is before the body is there. */
export type TargetEventKind =
    "started" | "received" | "finished" | "refused" | "cancelled" | "probed" | "collapsed" | "crashed" | "turnedCold";

export interface TargetEvent {
    readonly kind: TargetEventKind;
    /** Time of the clock that all processes of the machine share. */
    readonly atMs: number;
    readonly target: string;
    readonly zone: string;
    readonly boot: string;
    /** True if the target was in cold start at that time. */
    readonly cold: boolean;
    /** Calls that hold a slot, after the event. */
    readonly running: number;
    /** Number of the call at this target, equal in all events of the call. */
    readonly run?: number;
    readonly key?: string;
    readonly attempt?: string;
    readonly requestId?: string;
    readonly method?: string;
    readonly path?: string;
    readonly bodyBytes?: number;
    readonly bodyDigest?: string;
}

/** What a caller found in the body of an answer. */
export interface AnswerCheck {
    /** All declared bytes arrived and match their digest. */
    readonly isWhole: boolean;
    /** The answer is for a request of the same call, with the body that was sent. */
    readonly isOwn: boolean;
}

interface CallerEventBase {
    readonly atMs: number;
    /** One call, over all its sendings. */
    readonly call: string;
    /** `X-Request-Id` of this sending. */
    readonly requestId: string;
    readonly service: string;
    readonly entry: string;
    readonly isIdempotent: boolean;
    readonly key?: string;
}

export interface SentEvent extends CallerEventBase {
    readonly kind: "sent";
}

export interface AnsweredEvent extends CallerEventBase {
    readonly kind: "answered";
    /** Undefined if the caller got no answer. */
    readonly outcome: errors.Outcome | undefined;
    readonly error?: string;
    readonly status?: number;
    /** Why there is no answer. */
    readonly cause?: string;
    readonly answer?: AnswerCheck;
}

export type CallerEvent = SentEvent | AnsweredEvent;

/** A time in which a zone was out of service, from the acceptance of the change to that of its return. */
export interface ZoneRemoval {
    readonly zone: string;
    readonly acceptedAtMs: number;
    /** Time at which the change that ends the removal was submitted. */
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
    /** Time after the acceptance of a removal in which starts are still allowed. */
    readonly removalMs: number;
    /** Time after a target turned cold without warning in which more than its cold slots may start. */
    readonly coldNoticeMs: number;
    readonly probesPerSecond: number;
    readonly probeBurst: number;
}

export interface Violation {
    readonly rule: "at-most-once" | "not-run" | "own-answer" | "removed-zone" | "cold-slots" | "probe-budget";
    readonly message: string;
}

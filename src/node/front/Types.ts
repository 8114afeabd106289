/**
 * Calls on their way through the entry daemon.
 */
import type * as http from "node:http";
import * as claims from "../../common/claims/Types.js";
import * as config from "../../common/config/Types.js";
import * as errors from "../../common/errors/Types.js";
import * as types from "../../common/Types.js";
import type * as unsafeSwitches from "../entry/unsafeSwitches.js";
import * as forward from "../forward/Types.js";

/** Where a call came from. */
export type Hop =
    | { readonly kind: "caller" }
    /** Another entry VM forwarded it to the arbiter of its key. */
    | { readonly kind: "arbiter" }
    /** Another entry VM forwarded it to the owner of a cell, after its arbiter had decided to run it if it has one. */
    | { readonly kind: "route"; readonly arbitrated: boolean };

/** The head of a request, parsed and checked. */
export interface CallHead {
    readonly id: types.CallId;
    readonly hop: Hop;
    readonly service: types.ServiceName;
    readonly method: string;
    /** Path and query as the target receives them. */
    readonly path: string;
    readonly key: string | undefined;
    /** Undefined if the caller named none. */
    readonly deadlineMs: number | undefined;
    /** Headers for the target, without those that end at a hop. */
    readonly headers: Record<string, string | string[]>;
    /** Undefined for a chunked body. */
    readonly contentLength: number | undefined;
}

/** A call that is ready to be sent. */
export interface Call {
    readonly head: CallHead;
    readonly service: config.ServiceSection;
    readonly isIdempotent: boolean;
    readonly body: forward.RequestBody;
    readonly deadlineAtMs: number;
}

/** The way back to the caller. After the caller has left, or an answer was given, calls have no effect. */
export interface AnswerPort {
    /** True until an answer has begun or the caller has left. */
    isOpen(): boolean;
    /** Begins an answer whose body is streamed. */
    begin(status: number, headers: http.OutgoingHttpHeaders): forward.BodySink;
    /** Ends a begun answer. */
    end(): void;
    /** Resets the caller's connection, because a begun answer cannot be completed. */
    cutOff(): void;
    /** Answers with an error of the closed list. */
    refuse(kind: errors.ErrorKind, message: string): void;
    /** Answers with a kept answer. */
    replay(answer: claims.KeptResponse): void;
    /** Fires once when the caller left before the answer ended. */
    readonly onDidLeave: types.Event<void>;
}

/** History of recent calls, for `explain`. */
export interface TraceStore {
    record(call: types.CallId, text: string): void;
    find(call: types.CallId): readonly { readonly atMs: number; readonly text: string }[] | undefined;
}

/** How one attempt to have a call served has ended. */
export type StepResult =
    | { readonly kind: "finished"; readonly result: claims.ClaimResult }
    /** The call did not run in this attempt. */
    | { readonly kind: "notRun"; readonly error: errors.ErrorKind }
    /** The call may have run in this attempt. */
    | { readonly kind: "unknown"; readonly error: errors.ErrorKind };

/** Counts of requests that crashed the target that ran them. */
export interface CrashCounts {
    isEmpty(): boolean;
    isBlocked(fingerprint: string): boolean;
    /** Resolves when the peers know of the crash, or after a short time limit. */
    recordCrash(fingerprint: string, target: types.TargetId): Promise<void>;
    /** A request with this fingerprint was answered, so an earlier break was not its doing. */
    recordAnswer(fingerprint: string): void;
}

/** What the steps of a call need of the daemon. */
export interface StepOptions {
    readonly scheduler: types.Scheduler;
    readonly logger: types.Logger;
    readonly sender: forward.Sender;
    readonly crashes: CrashCounts;
    readonly traces: TraceStore;
    /** Whether the configuration in use may still be used; checked at the write of the first byte. */
    isFresh(): boolean;
    computeFingerprint(call: Call): string;
    /** Time after which an attempt of an idempotent call is given up as silent. */
    getSilentAfterMs(service: types.ServiceName): number;
    recordLatency(service: types.ServiceName, latencyMs: number): void;
    readonly unsafe: unsafeSwitches.UnsafeSwitches;
}

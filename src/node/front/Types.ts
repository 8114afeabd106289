/**
 * Types for handling calls in the entry daemon.
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
    /** Another entry VM forwarded it to the owner of a cell. `arbitrated`: the arbiter of its key decided to run it. */
    | { readonly kind: "route"; readonly arbitrated: boolean };

/** Parsed and validated head of a request. */
export interface CallHead {
    readonly id: types.CallId;
    readonly hop: Hop;
    readonly service: types.ServiceName;
    readonly method: string;
    /** Path and query as the target receives them. */
    readonly path: string;
    readonly key: string | undefined;
    /** Undefined if the caller did not set a deadline. */
    readonly deadlineMs: number | undefined;
    /** Headers for the target, without hop-by-hop and protocol headers. */
    readonly headers: Record<string, string | string[]>;
    /** Undefined for a chunked body. */
    readonly contentLength: number | undefined;
}

/** A call that is ready to be forwarded. */
export interface Call {
    readonly head: CallHead;
    readonly service: config.ServiceSection;
    readonly isIdempotent: boolean;
    readonly body: forward.RequestBody;
    readonly deadlineAtMs: number;
}

/** Writes the response to the caller. Does nothing once the caller has disconnected or a response was sent. */
export interface ResponseWriter {
    /** True until a response has begun or the caller has disconnected. */
    isOpen(): boolean;
    /** Sends the head of a response whose body is streamed. */
    begin(status: number, headers: http.OutgoingHttpHeaders): forward.BodySink;
    /** Ends a streamed response. */
    finish(): void;
    /** Resets the caller's connection because a response that has begun cannot be completed. */
    abort(): void;
    /** Sends an error response of one of the defined kinds. */
    refuse(kind: errors.ErrorKind, message: string): void;
    /** Sends the kept response of an earlier call with the same key. */
    replay(keptResponse: claims.KeptResponse): void;
    /** Fires once if the caller disconnects before the response ends. */
    readonly onDidDisconnect: types.Event<void>;
}

/** Traces of recent calls, for the command `explain`. */
export interface TraceStore {
    record(call: types.CallId, text: string): void;
    find(call: types.CallId): readonly { readonly atMs: number; readonly text: string }[] | undefined;
}

/** Outcome of one attempt to run a call on a target or to forward it to a peer. */
export type AttemptResult =
    | { readonly kind: "finished"; readonly result: claims.ClaimResult }
    /** The call did not run in this attempt. */
    | { readonly kind: "notRun"; readonly error: errors.ErrorKind }
    /** The call may have run in this attempt. */
    | { readonly kind: "unknown"; readonly error: errors.ErrorKind };

/** Counts target crashes by the fingerprint of the request that was running. */
export interface CrashCounts {
    isEmpty(): boolean;
    isBlocked(fingerprint: string): boolean;
    /** Resolves when the crash has been reported to the peers, or after a short timeout. */
    recordCrash(fingerprint: string, target: types.TargetId): Promise<void>;
    /** A target has served a request with this fingerprint, so it did not cause an earlier broken connection. */
    recordSuccess(fingerprint: string): void;
}

/** Dependencies of the target and peer forwarders. */
export interface ForwarderOptions {
    readonly scheduler: types.Scheduler;
    readonly logger: types.Logger;
    readonly sender: Pick<forward.Sender, "send">;
    readonly crashes: CrashCounts;
    readonly traces: TraceStore;
    /** Whether the configuration was confirmed recently enough; checked when the first byte is written. */
    isFresh(): boolean;
    computeFingerprint(call: Call): string;
    /** Time after which an attempt of an idempotent call without a response head is aborted. */
    getResponseTimeoutMs(service: types.ServiceName): number;
    recordLatency(service: types.ServiceName, latencyMs: number): void;
    readonly unsafe: unsafeSwitches.UnsafeSwitches;
}

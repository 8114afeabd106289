/**
 * Types for sending requests to targets and other entry VMs.
 */
import type * as http from "node:http";
import type * as stream from "node:stream";
import * as types from "../../common/Types.js";

/** Request body of a call: the first part is in memory, the rest is still to be read from the caller. */
export interface RequestBody {
    readonly prefix: Buffer;
    /** Undefined if the prefix is the whole body. */
    readonly rest: stream.Readable | undefined;
    /** Declared length in bytes; undefined for a chunked body that was not read to its end. */
    readonly length: number | undefined;
    /** Why the rest could not be read to its end, once that is known. */
    getFault(): BodyFault | undefined;
}

/**
 * `truncated`: the caller disconnected before the end of the body. `tooLarge`: the body exceeds the service's limit.
 */
export type BodyFault = "truncated" | "tooLarge";

/** Determines how long an idle connection may be reused. */
export type ConnectionClass = "idempotent" | "nonIdempotent" | "peer" | "probe";

export interface AttemptRequest {
    readonly address: types.Address;
    readonly connectionClass: ConnectionClass;
    /** Maximum number of open connections to the address. */
    readonly connections: number;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: RequestBody;
    /** If the response contains an attempt id, it must be this one. */
    readonly attempt: types.AttemptId;
    /** Called in the event loop turn that writes the first byte; false cancels the attempt before it is sent. */
    mayWrite(): boolean;
}

export type AttemptHead =
    | { readonly kind: "response"; readonly status: number; readonly headers: http.IncomingHttpHeaders }
    /** No byte was written. */
    | { readonly kind: "notSent"; readonly cause: string }
    /** `mayWrite` returned false. */
    | { readonly kind: "withheld" }
    /** The connection broke, or the attempt was aborted, after the first byte may have been written. */
    | { readonly kind: "broken"; readonly cause: string; readonly aborted: boolean }
    /** The response belongs to another attempt. */
    | { readonly kind: "mismatched"; readonly attempt: string };

/** Receives the body of a response. */
export interface BodySink {
    /** Writes a chunk; false tells the source to pause until the callback of `onDrain` is called. */
    write(chunk: Buffer): boolean;
    /** Calls `resume` once when more chunks can be written. */
    onDrain(resume: () => void): void;
}

export type BodyEnd = { readonly kind: "complete" } | { readonly kind: "truncated"; readonly cause: string };

/** A request in progress. */
export interface Attempt {
    /** Resolves with the response head, or the reason why there is none. */
    readonly head: Promise<AttemptHead>;
    /** Streams the response body into a sink; must be called once after a head of kind `response`. */
    readBody(sink: BodySink): Promise<BodyEnd>;
    /** Aborts the attempt and closes its connection. */
    abort(reason: string): void;
}

export interface Sender {
    send(request: AttemptRequest): Attempt;
    /** Fires when the remote side closes or resets a connection, as it does when its process ends. */
    readonly onDidDisconnect: types.Event<types.Address>;
    close(): Promise<void>;
}

/**
 * Sending one request to a target or to another entry VM.
 */
import type * as http from "node:http";
import type * as stream from "node:stream";
import * as types from "../../common/Types.js";

/** The body of a call: its first part in memory, the rest still to be read from the caller. */
export interface RequestBody {
    readonly prefix: Buffer;
    /** Undefined if the prefix is the whole body. */
    readonly rest: stream.Readable | undefined;
    /** Declared length in bytes; undefined for a chunked body that was not read to its end. */
    readonly length: number | undefined;
    /** Why the rest could not be read to its end, once that is known. */
    getFault(): BodyFault | undefined;
}

/** `truncated`: the caller left in mid-body. `tooLarge`: the body is larger than the service allows. */
export type BodyFault = "truncated" | "tooLarge";

/** A connection class decides how long an idle connection may be reused. */
export type ConnectionClass = "idempotent" | "nonIdempotent" | "peer" | "probe";

export interface AttemptRequest {
    readonly address: types.Address;
    readonly connectionClass: ConnectionClass;
    /** Open connections to the address at most. */
    readonly connections: number;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: RequestBody;
    /** Id that the answer must echo if it echoes any. */
    readonly attempt: types.AttemptId;
    /** Called in the same turn as the write of the first byte; false cancels the attempt before it is sent. */
    mayWrite(): boolean;
}

export type AttemptHead =
    | { readonly kind: "response"; readonly status: number; readonly headers: http.IncomingHttpHeaders }
    /** No byte was written. */
    | { readonly kind: "notSent"; readonly cause: string }
    /** `mayWrite` refused. */
    | { readonly kind: "withheld" }
    /** The connection broke, or the attempt was aborted, after the first byte may have been written. */
    | { readonly kind: "broken"; readonly cause: string; readonly aborted: boolean }
    /** The answer belongs to another attempt. */
    | { readonly kind: "mismatched"; readonly attempt: string };

/** Receives the body of an answer. */
export interface BodySink {
    /** Takes a chunk; false asks the source to pause until `onDrain` calls back. */
    write(chunk: Buffer): boolean;
    /** Calls back once when there is room again. */
    onDrain(resume: () => void): void;
}

export type BodyEnd = { readonly kind: "complete" } | { readonly kind: "truncated"; readonly cause: string };

/** One request under way. */
export interface Attempt {
    /** Resolves with the head of the answer or the reason why there is none. */
    readonly head: Promise<AttemptHead>;
    /** Streams the body into a sink; must be called once after a head of kind `response`. */
    readBody(sink: BodySink): Promise<BodyEnd>;
    /** Ends the attempt and closes its connection. */
    abort(reason: string): void;
}

export interface Sender {
    send(request: AttemptRequest): Attempt;
    /** Fires when the other side closed or reset a connection, as it does when its process ends. */
    readonly onDidDisconnect: types.Event<types.Address>;
    close(): Promise<void>;
}

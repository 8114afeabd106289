/**
 * Streams a response to the caller and keeps a copy of it if the call has an idempotency key.
 */
import type * as http from "node:http";
import * as claims from "../../common/claims/Types.js";
import * as forward from "../forward/Types.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

/** Larger response bodies are not kept for resends. */
const maxKeptResponseBytes = 64 * 1024;

/**
 * Forwards chunks and keeps a copy of them. Pausing the source limits the bytes buffered for a caller that stops
 * reading.
 */
interface CopyingSink extends forward.BodySink {
    getCopy(): Uint8Array | undefined;
}

const createCopyingSink = (innerSink: forward.BodySink, keepsCopy: boolean): CopyingSink => {
    const chunks: Buffer[] = [];
    let size = 0;
    return {
        write: chunk => {
            size += chunk.length;
            if (keepsCopy && size <= maxKeptResponseBytes) {
                chunks.push(chunk);
            }
            return innerSink.write(chunk);
        },
        onDrain: resume => innerSink.onDrain(resume),
        getCopy: () => (keepsCopy && size <= maxKeptResponseBytes ? Buffer.concat(chunks) : undefined),
    };
};

/** Result of relaying a response. */
export interface RelayResult {
    readonly end: forward.BodyEnd;
    readonly kept: claims.KeptResponse;
}

const toHeaderPairs = (picked: Record<string, string | string[]>): [string, string][] =>
    Object.entries(picked).map(([name, value]) => [name, Array.isArray(value) ? value.join(", ") : value]);

/**
 * Relays a response until its body ends.
 *
 * @param writer - writes the response to the caller
 * @param attempt - the attempt that received the response
 * @param head - head of the response
 * @param head.status - HTTP status
 * @param head.headers - headers as received
 * @param addedHeaders - headers added by this entry VM
 * @param isFromPeer - whether the response comes from another entry VM
 * @param keepsCopy - whether to keep the body for resends
 * @param endsTruncated - true only in tests: a truncated body is ended normally to show what the reset prevents
 * @returns how the body ended, and the kept copy
 */
export const relayResponse = async (
    writer: types.ResponseWriter,
    attempt: forward.Attempt,
    head: { readonly status: number; readonly headers: http.IncomingHttpHeaders },
    addedHeaders: Record<string, string>,
    isFromPeer: boolean,
    keepsCopy: boolean,
    endsTruncated = false,
): Promise<RelayResult> => {
    const picked = headers.pickResponseHeaders(head.headers, isFromPeer);
    const isListening = writer.isOpen();
    const sink = createCopyingSink(writer.begin(head.status, { ...picked, ...addedHeaders }), keepsCopy);
    const end = await attempt.readBody(sink);
    if (isListening) {
        if (end.kind === "complete" || endsTruncated) {
            writer.finish();
        } else {
            writer.abort();
        }
    }
    // The kept body is complete; its length is set again when it is replayed.
    const pairs = toHeaderPairs(picked).filter(([name]) => name !== "content-length");
    return { end, kept: { status: head.status, headers: pairs, body: sink.getCopy() } };
};

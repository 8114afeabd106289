/**
 * Streams an answer to the caller and, for a call with an idempotency key, keeps a copy.
 */
import type * as http from "node:http";
import * as claims from "../../common/claims/Types.js";
import * as forward from "../forward/Types.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

/** Larger answers are not kept for resends. */
const maxKeptAnswerBytes = 64 * 1024;

/** Bytes that may wait in memory for a caller that no longer reads are limited by the pause of the source. */
interface KeepingSink extends forward.BodySink {
    getKept(): Uint8Array | undefined;
}

const createKeepingSink = (target: forward.BodySink, isKeeping: boolean): KeepingSink => {
    const chunks: Buffer[] = [];
    let size = 0;
    return {
        write: chunk => {
            size += chunk.length;
            if (isKeeping && size <= maxKeptAnswerBytes) {
                chunks.push(chunk);
            }
            return target.write(chunk);
        },
        onDrain: resume => target.onDrain(resume),
        getKept: () => (isKeeping && size <= maxKeptAnswerBytes ? Buffer.concat(chunks) : undefined),
    };
};

/** How an answer was relayed. */
export interface RelayResult {
    readonly end: forward.BodyEnd;
    readonly kept: claims.KeptResponse;
}

const toHeaderPairs = (picked: Record<string, string | string[]>): [string, string][] =>
    Object.entries(picked).map(([name, value]) => [name, Array.isArray(value) ? value.join(", ") : value]);

/**
 * Relays an answer until its end.
 *
 * @param port - the way to the caller
 * @param attempt - the attempt that is answered
 * @param head - head of the answer
 * @param head.status - HTTP status
 * @param head.headers - headers as received
 * @param extra - headers that this entry VM adds
 * @param isFromPeer - whether another entry VM answers
 * @param isKeeping - whether the body is kept for resends
 * @param endsTruncated - true only in tests that show what the reset prevents
 * @returns how the body ended and what was kept
 */
export const relayAnswer = async (
    port: types.AnswerPort,
    attempt: forward.Attempt,
    head: { readonly status: number; readonly headers: http.IncomingHttpHeaders },
    extra: Record<string, string>,
    isFromPeer: boolean,
    isKeeping: boolean,
    endsTruncated = false,
): Promise<RelayResult> => {
    const picked = headers.pickAnswerHeaders(head.headers, isFromPeer);
    const isListening = port.isOpen();
    const sink = createKeepingSink(port.begin(head.status, { ...picked, ...extra }), isKeeping);
    const end = await attempt.readBody(sink);
    if (isListening) {
        if (end.kind === "complete" || endsTruncated) {
            port.end();
        } else {
            port.cutOff();
        }
    }
    // The kept body is complete, so its length is set anew when it is replayed.
    const pairs = toHeaderPairs(picked).filter(([name]) => name !== "content-length");
    return { end, kept: { status: head.status, headers: pairs, body: sink.getKept() } };
};

/**
 * Bodies of answers, from which a caller can tell that an answer is whole and its own.
 *
 * A body is one line of JSON followed by filler bytes.
 */
import * as crypto from "node:crypto";
import * as history from "../history/Types.js";

export interface AnswerHead {
    readonly requestId: string;
    /** Idempotency key, empty if there is none. */
    readonly key: string;
    readonly target: string;
    readonly bodyDigest: string;
    readonly fillerBytes: number;
    readonly fillerDigest: string;
}

/**
 * Computes a digest.
 *
 * @param bytes - the content
 * @returns SHA-256 in hexadecimal
 */
export const computeDigest = (bytes: Uint8Array | string): string =>
    crypto.createHash("sha256").update(bytes).digest("hex");

/**
 * Formats the body of an answer.
 *
 * @param request - the request that is answered
 * @param request.requestId - its `X-Request-Id`
 * @param request.key - its `Idempotency-Key`, if any
 * @param target - who answers
 * @param bodyDigest - digest of the request's body
 * @param fillerBytes - bytes after the first line
 * @returns the body
 */
export const formatAnswer = (
    request: { readonly requestId?: string; readonly key?: string },
    target: string,
    bodyDigest: string,
    fillerBytes: number,
): Buffer => {
    const { requestId = "", key = "" } = request;
    const filler = Buffer.alloc(fillerBytes, `${requestId} `);
    const head: AnswerHead = { requestId, key, target, bodyDigest, fillerBytes, fillerDigest: computeDigest(filler) };
    return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), filler]);
};

const parseHead = (line: string): AnswerHead | undefined => {
    try {
        return JSON.parse(line) as AnswerHead;
    } catch {
        return undefined;
    }
};

/**
 * Checks the body of an answer.
 *
 * @param body - what arrived
 * @param isOwnRequest - tells whether an answer is for the call; with a key, also an answer to another sending of it
 * @param bodyDigest - digest of the body that was sent
 * @returns whether it is whole and the call's own
 */
export const checkAnswer = (
    body: Buffer,
    isOwnRequest: (head: AnswerHead) => boolean,
    bodyDigest: string,
): history.ResponseCheck => {
    const end = body.indexOf(10);
    const head = end < 0 ? undefined : parseHead(body.toString("utf8", 0, end));
    if (head === undefined) {
        return { isWhole: false, isOwn: false };
    }
    const filler = body.subarray(end + 1);
    return {
        isWhole: filler.length === head.fillerBytes && computeDigest(filler) === head.fillerDigest,
        isOwn: isOwnRequest(head) && head.bodyDigest === bodyDigest,
    };
};

/**
 * Response bodies with which a caller can check that a response is complete and belongs to its request.
 *
 * A body is one line of JSON followed by filler bytes.
 */
import * as crypto from "node:crypto";
import * as history from "../history/Types.js";

export interface ResponseHead {
    readonly requestId: string;
    /** Idempotency key, or empty if there is none. */
    readonly key: string;
    readonly target: string;
    readonly bodyDigest: string;
    readonly fillerBytes: number;
    readonly fillerDigest: string;
}

/**
 * Computes a digest.
 *
 * @param bytes - content to hash
 * @returns SHA-256 in hexadecimal
 */
export const computeDigest = (bytes: Uint8Array | string): string =>
    crypto.createHash("sha256").update(bytes).digest("hex");

/**
 * Formats the body of a response.
 *
 * @param request - the request
 * @param request.requestId - its `X-Request-Id`
 * @param request.key - its `Idempotency-Key`, if any
 * @param target - id of the responding target
 * @param bodyDigest - digest of the request body
 * @param fillerBytes - number of bytes after the first line
 * @returns the body
 */
export const formatResponse = (
    request: { readonly requestId?: string; readonly key?: string },
    target: string,
    bodyDigest: string,
    fillerBytes: number,
): Buffer => {
    const { requestId = "", key = "" } = request;
    const filler = Buffer.alloc(fillerBytes, `${requestId} `);
    const head: ResponseHead = { requestId, key, target, bodyDigest, fillerBytes, fillerDigest: computeDigest(filler) };
    return Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), filler]);
};

const parseHead = (line: string): ResponseHead | undefined => {
    try {
        return JSON.parse(line) as ResponseHead;
    } catch {
        return undefined;
    }
};

/**
 * Checks the body of a response.
 *
 * @param body - the received body
 * @param isOwnRequest - returns whether a response is for the call; with a key, it may be for another attempt of the
 *   call
 * @param bodyDigest - digest of the request body that was sent
 * @returns whether the response is complete and belongs to the call
 */
export const checkResponse = (
    body: Buffer,
    isOwnRequest: (head: ResponseHead) => boolean,
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

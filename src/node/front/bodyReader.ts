/**
 * Buffers the start of a request body, so that a small body can be resent to another target.
 */
import type * as http from "node:http";
import * as stream from "node:stream";
import * as errors from "../../common/errors/errors.js";
import * as forward from "../forward/Types.js";

/** Bodies up to this size are buffered and can be resent. Larger ones are streamed and sent once. */
export const maxReplayableBytes = 64 * 1024;

/**
 * Creates a body that is completely in memory.
 *
 * @param content - content of the body
 * @returns the body
 */
export const createBufferedBody = (content: Buffer): forward.RequestBody => ({
    prefix: content,
    rest: undefined,
    length: content.length,
    getFault: () => undefined,
});

const emptyBody = createBufferedBody(Buffer.alloc(0));

interface BodyLimits {
    readonly contentLength: number | undefined;
    /** Largest body that the service accepts, in bytes. */
    readonly maxBytes: number;
}

/** Creates a body of which only the first part is in memory. */
const createStreamedBody = (request: http.IncomingMessage, prefix: Buffer, limits: BodyLimits): forward.RequestBody => {
    let size = prefix.length;
    let fault: forward.BodyFault | undefined;

    // With a pipe, unlike an iterator, the request can still be read to its end after the sender has stopped reading.
    const rest = new stream.Transform({
        transform: (chunk: Buffer, _encoding, done) => {
            size += chunk.length;
            if (size > limits.maxBytes) {
                fault = "tooLarge";
                done(new Error(`the body has more than ${limits.maxBytes} bytes`));
                return;
            }
            done(null, chunk);
        },
    });
    request.once("close", () => {
        if (!request.complete) {
            fault ??= "truncated";
            rest.destroy(new Error("the caller disconnected before the end of the body"));
        }
    });
    request.pipe(rest);
    // The sender reports errors of the body; an earlier error without a listener would end the process.
    rest.on("error", () => undefined);
    return { prefix, rest, length: limits.contentLength, getFault: () => fault };
};

/**
 * Reads a body until its end or until more than {@link maxReplayableBytes} are in memory.
 *
 * @param request - the request; left paused if more is to be read
 * @param limits - declared length, undefined if chunked, and the largest length allowed
 * @param signal - aborts the wait for a caller that sends too slowly
 * @returns the body
 * @throws a call error of kind `bad_request` if the caller disconnects before that; nothing has been sent to a target
 */
export const readBody = (
    request: http.IncomingMessage,
    limits: BodyLimits,
    signal: AbortSignal,
): Promise<forward.RequestBody> => {
    const { contentLength } = limits;
    if (contentLength === 0) {
        return Promise.resolve(emptyBody);
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;

        const removeListeners = (): void => {
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("close", onClose);
            signal.removeEventListener("abort", onAbort);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > maxReplayableBytes) {
                request.pause();
                removeListeners();
                resolve(createStreamedBody(request, Buffer.concat(chunks), limits));
            }
        };
        const onEnd = (): void => {
            removeListeners();
            resolve(createBufferedBody(Buffer.concat(chunks)));
        };
        const onClose = (): void => {
            removeListeners();
            reject(
                errors.createCallError("bad_request", `the body ended after ${size} bytes of ${contentLength ?? "?"}`),
            );
        };
        const onAbort = (): void => {
            removeListeners();
            reject(
                errors.createCallError(
                    "deadline_exceeded_not_run",
                    `the deadline passed after ${size} bytes of the body`,
                ),
            );
        };
        request.on("data", onData);
        request.on("end", onEnd);
        request.on("close", onClose);
        signal.addEventListener("abort", onAbort);
    });
};

/**
 * Checks whether a body can be sent more than once.
 *
 * @param body - the body
 * @returns true if the whole body is in memory
 */
export const isReplayable = (body: forward.RequestBody): boolean => body.rest === undefined;

/**
 * Reads and discards the rest of a request body. Unread, it would block the next request on the connection.
 *
 * @param request - the request, which no longer has other listeners
 */
export const dropUnreadBody = (request: http.IncomingMessage): void => {
    request.unpipe();
    request.resume();
};

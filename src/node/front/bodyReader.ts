/**
 * Reads the first part of a body into memory, so that a small body can be sent to another target.
 */
import type * as http from "node:http";
import * as stream from "node:stream";
import * as errors from "../../common/errors/errors.js";
import * as forward from "../forward/Types.js";

/** Bodies up to this size can be sent again. Larger ones are streamed and sent once. */
export const replayableBytes = 64 * 1024;

/**
 * Makes a body that is wholly in memory.
 *
 * @param content - the body
 * @returns the body
 */
export const createWholeBody = (content: Buffer): forward.RequestBody => ({
    prefix: content,
    rest: undefined,
    length: content.length,
    getFault: () => undefined,
});

const emptyBody = createWholeBody(Buffer.alloc(0));

interface BodyLimits {
    readonly contentLength: number | undefined;
    /** Largest body that the service takes, in bytes. */
    readonly maxBytes: number;
}

/** Makes a body of which only the first part is in memory. */
const createStreamedBody = (request: http.IncomingMessage, prefix: Buffer, limits: BodyLimits): forward.RequestBody => {
    let size = prefix.length;
    let fault: forward.BodyFault | undefined;

    // A pipe, unlike an iterator of the request, lets the request be read to its end after the sender has given up.
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
            rest.destroy(new Error("the caller left in the middle of the body"));
        }
    });
    request.pipe(rest);
    // The sender reports a failed body; without a listener it would end the process if it fails before that.
    rest.on("error", () => undefined);
    return { prefix, rest, length: limits.contentLength, getFault: () => fault };
};

/**
 * Reads a body until its end or until {@link replayableBytes} are in memory.
 *
 * @param request - the request; left paused if there is more to read
 * @param limits - declared length, undefined if chunked, and the largest length allowed
 * @param signal - ends the wait for a sender that is too slow
 * @returns the body
 * @throws a call error of kind `bad_request` if the caller leaves before that; nothing has been sent yet
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

        const stop = (): void => {
            request.off("data", onData);
            request.off("end", onEnd);
            request.off("close", onClose);
            signal.removeEventListener("abort", onAbort);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > replayableBytes) {
                request.pause();
                stop();
                resolve(createStreamedBody(request, Buffer.concat(chunks), limits));
            }
        };
        const onEnd = (): void => {
            stop();
            resolve(createWholeBody(Buffer.concat(chunks)));
        };
        const onClose = (): void => {
            stop();
            reject(
                errors.createCallError("bad_request", `the body ended after ${size} bytes of ${contentLength ?? "?"}`),
            );
        };
        const onAbort = (): void => {
            stop();
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
 * Tells whether a body can be sent more than once.
 *
 * @param body - the body
 * @returns true if the whole body is in memory
 */
export const isReplayable = (body: forward.RequestBody): boolean => body.rest === undefined;

/**
 * Reads and drops what is left of a body. Unread, it would block the next request on the same connection.
 *
 * @param request - the request, to which nothing listens any more
 */
export const dropRest = (request: http.IncomingMessage): void => {
    request.unpipe();
    request.resume();
};

/**
 * Reads the first part of a body into memory, so that a small body can be sent to another target.
 */
import type * as http from "node:http";
import * as errors from "../../common/errors/errors.js";
import * as forward from "../forward/Types.js";

/** Bodies up to this size can be sent again. Larger ones are streamed and sent once. */
export const replayableBytes = 64 * 1024;

const emptyBody: forward.RequestBody = { prefix: Buffer.alloc(0), rest: undefined, length: 0 };

/**
 * Reads a body until its end or until {@link replayableBytes} are in memory.
 *
 * @param request - the request; left paused if there is more to read
 * @param contentLength - declared length, undefined if chunked
 * @param signal - ends the wait for a sender that is too slow
 * @returns the body
 * @throws a call error of kind `bad_request` if the caller leaves before that; nothing has been sent yet
 */
export const readBody = (
    request: http.IncomingMessage,
    contentLength: number | undefined,
    signal: AbortSignal,
): Promise<forward.RequestBody> => {
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
                resolve({ prefix: Buffer.concat(chunks), rest: request, length: contentLength });
            }
        };
        const onEnd = (): void => {
            stop();
            resolve({ prefix: Buffer.concat(chunks), rest: undefined, length: size });
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
 * Tells whether the caller left before the end of a body that was being streamed.
 *
 * @param body - the body
 * @returns true if the rest of the body will not arrive
 */
export const isTruncated = (body: forward.RequestBody): boolean =>
    body.rest !== undefined && body.rest.destroyed && !body.rest.readableEnded;

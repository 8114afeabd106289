/**
 * Sends the bodies of responses to clients.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import type * as types from "./Types.js";

/**
 * Cuts off a response in a way that the client cannot take for its end. A body without a length ends with an ordinary
 * close, so that only a reset shows that it is incomplete. A pipelined response is cut off once those before it have ended, as
 * it has no connection until then.
 */
const cutOff = (response: http.ServerResponse, isDelimited: boolean): void => {
    const close = (socket: net.Socket): void => {
        if (isDelimited) {
            // Responses before it may still be on their way.
            socket.destroySoon();
        } else {
            socket.resetAndDestroy();
        }
    };
    if (response.socket === null) {
        // What was queued is written in the same turn as the event.
        response.once("socket", (socket: net.Socket) => setImmediate(() => close(socket)));
    } else {
        close(response.socket);
    }
};

/**
 * Destroys a body that is not sent, so that the connection to its target does not wait for a reader.
 *
 * @param body - the body
 */
export const destroyBody = (body: types.ResponseBody): void => {
    if (body.kind === "stream") {
        body.stream.destroy();
    }
};

/**
 * Watches a body until it has been received.
 *
 * @param body - the body; undefined if there is none
 * @param handleEnd - called once with whether the body is whole; at once for one that is held whole
 */
export const watchEnd = (body: types.ResponseBody | undefined, handleEnd: (isWhole: boolean) => void): void => {
    if (body?.kind !== "stream") {
        handleEnd(body !== undefined);
        return;
    }
    const { stream } = body;
    if (stream.destroyed) {
        handleEnd(stream.readableEnded);
    } else {
        stream.once("close", () => handleEnd(stream.readableEnded));
    }
};

/**
 * Sends a body that is held whole.
 *
 * @param response - the response, whose head was written
 * @param bytes - the body
 * @param signal - aborted when the client leaves; a response that waits behind another one fires no event then
 * @returns resolves when the body was handed over to the operating system, or the client left
 */
export const sendBytes = (response: http.ServerResponse, bytes: Buffer, signal: AbortSignal): Promise<void> =>
    new Promise(resolve => {
        response.once("finish", resolve);
        response.once("close", resolve);
        signal.addEventListener("abort", () => resolve(), { once: true });
        if (signal.aborted) {
            resolve();
        }
        response.end(bytes);
    });

/**
 * Sends a body at the client's pace. If the body breaks, the client's connection is cut off; if the client leaves, the body
 * is destroyed.
 *
 * @param response - the response, whose head was written
 * @param body - the body
 * @param isDelimited - false if the end of the connection delimits the body
 * @param signal - aborted when the client leaves
 * @returns resolves when the body was handed over or was cut off
 */
export const sendStream = (
    response: http.ServerResponse,
    body: stream.Readable,
    isDelimited: boolean,
    signal: AbortSignal,
): Promise<void> =>
    new Promise(resolve => {
        const handleBreak = (): void => {
            cutOff(response, isDelimited);
            resolve();
        };
        const handleClose = (): void => {
            body.destroy();
            resolve();
        };
        if (signal.aborted) {
            handleClose();
            return;
        }
        if (body.destroyed) {
            handleBreak();
            return;
        }
        body.once("error", handleBreak);
        // A body that is destroyed without an error fires no "error".
        body.once("close", () => {
            if (!body.readableEnded) {
                handleBreak();
            }
        });
        response.once("finish", resolve);
        response.once("close", handleClose);
        signal.addEventListener("abort", handleClose, { once: true });
        body.pipe(response);
    });

/**
 * A body that is passed on while it is received; the consumer's pace is the target's.
 */
import * as stream from "node:stream";
import * as types from "./Types.js";

/**
 * A response is held up to this size, so that the request can be repeated if the connection breaks meanwhile. A larger one
 * is passed on while it is received, and a break is passed on as such.
 */
export const maxHeldBytes = 64 * 1024;

export interface StreamedBody {
    readonly body: Extract<types.ResponseBody, { kind: "stream" }>;
    /** Resolves when no more of the body is received. */
    readonly received: Promise<void>;
    /** Passes on bytes; returns false if the consumer does not keep up. */
    push(bytes: Buffer): boolean;
    /** Ends the body, all of which has been received. */
    end(): void;
    /** Ends the body as broken. */
    fail(reason: string): void;
    resolveReceived(): void;
}

/**
 * Creates a body of which nothing has been received.
 *
 * @param options - its length in bytes, if the target states it, and callbacks
 * @returns the body
 */
export const createStreamedBody = (options: {
    readonly bodyBytes: number | undefined;
    /** Called when the consumer takes more bytes. */
    handleRead(): void;
    /** Called when the consumer needs no more of a body that has not been received whole. */
    handleAbandoned(): void;
}): StreamedBody => {
    let isReceived = false;
    const readable = new stream.Readable({
        read: options.handleRead,
        destroy: (error, done) => {
            if (!isReceived) {
                options.handleAbandoned();
            }
            done(error);
        },
    });
    // The consumer listens later; without a listener an early error would end the process.
    readable.on("error", () => undefined);
    let resolveReceived = (): void => undefined;
    const received = new Promise<void>(resolve => (resolveReceived = resolve));
    return {
        body: { kind: "stream", stream: readable, bodyBytes: options.bodyBytes, isReceived: () => isReceived },
        received,
        push: bytes => readable.push(bytes),
        end: () => {
            isReceived = true;
            readable.push(null);
        },
        fail: reason => void readable.destroy(new Error(reason)),
        resolveReceived,
    };
};

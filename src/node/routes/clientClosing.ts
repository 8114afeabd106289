/**
 * Closes connections of clients so that the last response arrives whole. A socket that is closed answers what still arrives
 * with a reset, which drops all that the client has not received yet. A connection is therefore closed for writing only, read
 * on until the client closes it, too, and then closed (RFC 9112, 9.6).
 */
import type * as net from "node:net";
import * as shared from "../../common/Types.js";
import * as clientReading from "./clientReading.js";

/**
 * Longest time for a response to arrive once the operating system has taken it, and for the client to close: the largest usual
 * send buffer, 4 MB, takes half of it at 7 Mbit/s.
 */
const lingerMs = 10_000;

/** Why a connection is closed although its client has not closed it. */
export type UnclosedReason = "time" | "bytes";

export interface ClientClosing {
    /** Records that a response was handed over to the operating system. */
    recordResponse(): void;
    /** When the last response was handed over, on the local monotonic clock; -Infinity before the first. */
    getLastResponseAtMs(): number;
    /** Whether the connection waits for the client to close it. */
    isLingering(): boolean;
    /** Closes an idle connection: at once, unless a response may still be on its way. */
    closeIdle(): void;
    /** Closes the connection after what was written, and discards what still arrives. */
    finish(): void;
}

/**
 * Takes over the closing of a connection from the HTTP server.
 *
 * @param socket - the connection
 * @param options - reading of the connection, and the bytes that are read while it closes
 * @returns the control of the closing
 */
export const startClientClosing = (
    socket: net.Socket,
    options: {
        readonly scheduler: shared.Scheduler;
        readonly reading: Pick<clientReading.ClientReading, "startDiscarding">;
        getMaxDiscardedBytes(): number;
        /** Called when the connection begins to close; requests without a response get none. */
        handleClosing(): void;
        recordUnclosed(reason: UnclosedReason): void;
    },
): ClientClosing => {
    const { scheduler } = options;
    let lastResponseAtMs = -Infinity;
    let isLingering = false;

    const finish = (): void => {
        if (isLingering || socket.destroyed) {
            return;
        }
        isLingering = true;
        options.handleClosing();
        const cutOff = (reason: UnclosedReason): void => {
            options.recordUnclosed(reason);
            socket.destroy();
        };
        const maxBytes = socket.bytesRead + options.getMaxDiscardedBytes();
        socket.on("data", () => {
            if (socket.bytesRead > maxBytes && !socket.destroyed) {
                cutOff("bytes");
            }
        });
        const timer = scheduler.schedule(lingerMs, () => cutOff("time"));
        socket.once("close", () => timer.dispose());
        socket.end();
        options.reading.startDiscarding();
        // The HTTP server pauses a connection while nobody reads a request's body.
        socket.resume();
    };

    // The HTTP server calls this after the last response.
    socket.destroySoon = finish;

    return {
        recordResponse: () => {
            lastResponseAtMs = scheduler.now();
        },
        getLastResponseAtMs: () => lastResponseAtMs,
        isLingering: () => isLingering,
        closeIdle: () => {
            if (isLingering) {
                return;
            }
            if (scheduler.now() - lastResponseAtMs < lingerMs) {
                finish();
            } else {
                socket.destroy();
            }
        },
        finish,
    };
};

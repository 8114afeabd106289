/**
 * Decides when the connections of clients are read, and how much of it at a time. The HTTP server would parse all bytes of a
 * read in a row, up to 32 reads of 64 KB, and libuv accepts one new connection in each iteration of the event loop. New
 * connections would thus wait behind all others for as long as the costliest bytes take.
 */
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as shared from "../../common/Types.js";
import * as readControl from "./readControl.js";

/** The time is looked at after each slice. One of chunks of one byte takes 1 to 2 ms. */
const minSliceBytes = 4 * 1024;
/** Slices grow up to a whole read while they cost little, as each slice of a large body costs as much as a chunk. */
const maxSliceBytes = readControl.fullReadBytes;
/** The bytes of a connection are parsed for this long in a row, and at least one slice of them. */
const turnMs = 1;
/** A slice that takes longer is followed by one of the smallest size. */
const cheapSliceMs = turnMs / 4;
/** A request that was read waits for this many turns of its connection at most; a client may send more without end. */
const maxAwaitedTurns = 16;

export interface ClientReading {
    /** Whether the connection waits for its turn to be read on. */
    isHeld(): boolean;
    /** Resolves when the connection has had its turn, or has closed. */
    waitForTurn(): Promise<void>;
    /** Reads nothing while the consumer of a body has no room for it. What was read before in one piece is still parsed. */
    setBlocked(isBlocked: boolean): void;
    /** Does not parse what follows. It is still read, in turn, as its end tells that the client has left. */
    startDiscarding(): void;
}

/**
 * Takes over the reading of a connection from the HTTP server, which still parses the bytes. The first bytes of a connection
 * are parsed as soon as they are read; a connection with more to read than fits in a turn waits behind those that wait
 * already.
 *
 * @param socket - a connection that the HTTP server has set up and not read yet
 * @param turns - shared with the other connections
 * @param clock - measures the duration of a turn
 * @returns the control of the reading
 */
export const startClientReading = (
    socket: net.Socket,
    turns: readControl.ReadTurns,
    clock: shared.Clock,
): ClientReading => {
    const parsers = socket.listeners("data") as ((bytes: Buffer) => void)[];
    let mode: "parse" | "discard" | "closed" = "parse";
    let isHeld = false;
    let isBlocked = false;
    /** Whether the HTTP server had paused the connection when it was blocked, and has not resumed it since. */
    let isPausedBelow = false;
    let sliceBytes = minSliceBytes;
    /** Time for which the bytes were parsed in this turn, over all reads that follow each other. */
    let usedMs = 0;
    let waiting: (() => void)[] = [];

    const release = (): void => {
        isHeld = false;
        waiting.forEach(resolve => resolve());
        waiting = [];
    };
    const resume = (): void => {
        release();
        if (mode !== "closed" && !isBlocked && !socket.destroyed) {
            socket.resume();
        }
    };
    const hold = (): void => {
        isHeld = true;
        usedMs = 0;
        socket.pause();
        turns.wait(resume);
    };

    /** Parses slices for the length of a turn; returns the number of bytes that were parsed. */
    const parse = (bytes: Buffer): number => {
        let parsedBytes = 0;
        do {
            const startedAtMs = clock.now();
            const slice = bytes.subarray(parsedBytes, parsedBytes + sliceBytes);
            parsedBytes += slice.length;
            parsers.forEach(parser => parser.call(socket, slice));
            const sliceMs = clock.now() - startedAtMs;
            sliceBytes = sliceMs < cheapSliceMs ? Math.min(maxSliceBytes, 2 * sliceBytes) : minSliceBytes;
            usedMs += sliceMs;
        } while (parsedBytes < bytes.length && mode === "parse" && !isBlocked && !socket.destroyed && usedMs < turnMs);
        return parsedBytes;
    };

    /** Puts bytes back in front of those that are read next. */
    const putBack = (bytes: Buffer): void => {
        // Paused first, as they would be parsed at once otherwise.
        socket.pause();
        socket.unshift(bytes);
    };

    const handleData = (bytes: Buffer): void => {
        if (isHeld || isBlocked) {
            // The HTTP server has resumed the connection.
            putBack(bytes);
            return;
        }
        const parsedBytes = mode === "parse" ? parse(bytes) : bytes.length;
        if (socket.destroyed || mode === "closed") {
            return;
        }
        const rest = mode === "parse" ? bytes.subarray(parsedBytes) : undefined;
        const isPausedByServer = socket.isPaused();
        if (rest !== undefined && rest.length > 0) {
            putBack(rest);
        } else if (bytes.length < readControl.fullReadBytes) {
            usedMs = 0;
            return;
        } else if (mode === "parse" && usedMs < turnMs) {
            return;
        }
        if (!isPausedByServer && !isBlocked) {
            hold();
        }
    };

    const setBlocked = (blocks: boolean): void => {
        if (blocks === isBlocked) {
            return;
        }
        isBlocked = blocks;
        if (blocks) {
            isPausedBelow = !isHeld && socket.isPaused();
            socket.pause();
        } else if (!isHeld && !isPausedBelow) {
            hold();
        }
    };

    parsers.forEach(parser => socket.off("data", parser));
    socket.on("data", handleData);
    // The HTTP server resumes the connection each time a body is read.
    socket.on("resume", () => {
        isPausedBelow = false;
        if (isHeld || isBlocked || mode === "closed") {
            socket.pause();
        }
    });
    socket.once("close", () => {
        mode = "closed";
        release();
    });

    return {
        isHeld: () => isHeld,
        waitForTurn: () => (isHeld ? new Promise(resolve => waiting.push(resolve)) : Promise.resolve()),
        setBlocked,
        startDiscarding: () => {
            if (mode === "parse") {
                mode = "discard";
            }
            setBlocked(false);
        },
    };
};

/**
 * Lets the event loop read data that has already arrived. When the event loop is busy, a client's request and the close
 * of its connection may both be pending in the socket; the request must not be forwarded before the close is seen. The
 * event loop reads a connection again only in its next iteration, hence two of them, after its turn.
 *
 * @param reading - the connection
 */
export const waitForPendingReads = async (reading: ClientReading): Promise<void> => {
    for (let turns = 0; turns < maxAwaitedTurns && reading.isHeld(); turns++) {
        await reading.waitForTurn();
    }
    await timers.setImmediate();
    await timers.setImmediate();
};

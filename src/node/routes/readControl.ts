/**
 * Decides when a connection is read: not while the consumer of its bytes is slower, and in turn with the other connections that
 * have much to read, so that all of them together leave time for the rest of the work.
 */
import type * as net from "node:net";

/** Node.js reads up to this much at a time, and libuv up to 32 times in a row while so much has arrived. */
export const fullReadBytes = 64 * 1024;

/** Connections that wait to be read again. */
export interface ReadTurns {
    /** Calls a function in one of the next iterations of the event loop, one function in each, in the order of the calls. */
    wait(resume: () => void): void;
}

/**
 * Creates the turns that connections share.
 *
 * @returns the turns
 */
export const createReadTurns = (): ReadTurns => {
    const waiting: (() => void)[] = [];
    let isScheduled = false;

    const schedule = (): void => {
        isScheduled = true;
        setImmediate(runTurn);
    };
    const runTurn = (): void => {
        const resume = waiting.shift();
        isScheduled = false;
        if (waiting.length > 0) {
            schedule();
        }
        resume?.();
    };

    return {
        wait: resume => {
            waiting.push(resume);
            if (!isScheduled) {
                schedule();
            }
        },
    };
};

export interface ReadControl {
    /** Reads nothing while the consumer is busy. */
    setConsumerBusy(isBusy: boolean): void;
    /**
     * Called after each read. If more may have arrived, the connection waits for its turn.
     *
     * @param bytes - number of bytes that were read
     */
    handleRead(bytes: number): void;
}

/**
 * Creates the control of a connection that is being read.
 *
 * @param socket - the connection
 * @param turns - shared with the other connections
 * @returns the control
 */
export const createReadControl = (socket: net.Socket, turns: ReadTurns): ReadControl => {
    let isConsumerBusy = false;
    let isYielding = false;

    const update = (): void => {
        if (isConsumerBusy || isYielding) {
            socket.pause();
        } else {
            socket.resume();
        }
    };

    return {
        setConsumerBusy: isBusy => {
            isConsumerBusy = isBusy;
            update();
        },
        handleRead: bytes => {
            if (bytes < fullReadBytes || isYielding) {
                return;
            }
            isYielding = true;
            update();
            turns.wait(() => {
                isYielding = false;
                update();
            });
        },
    };
};

/**
 * Writes log text to a file descriptor without ever blocking the process on a slow reader.
 */
import * as fs from "node:fs";

/** Limit of the buffer; further text is dropped while the reader does not keep up. */
const maxPendingBytes = 1024 * 1024;

export interface AsyncOutput {
    /** Queues complete lines. */
    write(text: string): void;
    /** Resolves when all queued text is written, or after the timeout. */
    drain(timeoutMs: number): Promise<void>;
    /** Counts the bytes dropped so far. */
    countDroppedBytes(): number;
}

type WriteFile = (fd: number, data: Buffer, callback: (error: Error | null, written: number) => void) => void;

/**
 * Creates an output. One write is in progress at a time, so that a stalled reader blocks one thread of the pool.
 *
 * @param fd - the file descriptor
 * @param writeFile - replaced in tests
 * @returns the output
 */
export const createAsyncOutput = (fd: number, writeFile: WriteFile = fs.write): AsyncOutput => {
    let pending: Buffer[] = [];
    let pendingBytes = 0;
    let droppedBytes = 0;
    let isWriting = false;
    let drainResolvers: (() => void)[] = [];

    const writePending = (): void => {
        if (pendingBytes === 0) {
            isWriting = false;
            drainResolvers.forEach(resolve => resolve());
            drainResolvers = [];
            return;
        }
        isWriting = true;
        const data = Buffer.concat(pending);
        pending = [];
        pendingBytes = 0;
        writeFully(data);
    };

    const writeFully = (data: Buffer): void =>
        writeFile(fd, data, (error, written) => {
            if (error !== null) {
                // A failure to write the log cannot be logged; the count shows how much is missing.
                droppedBytes += data.length;
            } else if (written < data.length) {
                writeFully(data.subarray(written));
                return;
            }
            writePending();
        });

    return {
        write: text => {
            const data = Buffer.from(text);
            if (pendingBytes + data.length > maxPendingBytes) {
                droppedBytes += data.length;
                return;
            }
            pending.push(data);
            pendingBytes += data.length;
            if (!isWriting) {
                writePending();
            }
        },
        drain: timeoutMs =>
            new Promise(resolve => {
                if (!isWriting) {
                    resolve();
                    return;
                }
                drainResolvers.push(resolve);
                setTimeout(resolve, timeoutMs).unref();
            }),
        countDroppedBytes: () => droppedBytes,
    };
};

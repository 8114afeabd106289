/**
 * Writes log text to a file descriptor without ever blocking the process on its reader.
 */
import * as fs from "node:fs";

/** Text beyond this size is dropped while the reader does not keep up. */
const maxWaitingBytes = 1024 * 1024;

export interface AsyncOutput {
    /** Queues whole lines. */
    write(text: string): void;
    /** Resolves when all that was queued is written, or after a time at the latest. */
    drain(timeoutMs: number): Promise<void>;
    /** Bytes dropped so far. */
    countDropped(): number;
}

type WriteFile = (fd: number, data: Buffer, callback: (error: Error | null, written: number) => void) => void;

/**
 * Creates an output. One write is in progress at a time, so that a reader that stalls holds one thread of the pool.
 *
 * @param fd - the file descriptor
 * @param writeFile - replaceable for tests
 * @returns the output
 */
export const createAsyncOutput = (fd: number, writeFile: WriteFile = fs.write): AsyncOutput => {
    let waiting: Buffer[] = [];
    let waitingBytes = 0;
    let dropped = 0;
    let isWriting = false;
    let idle: (() => void)[] = [];

    const writeNext = (): void => {
        if (waitingBytes === 0) {
            isWriting = false;
            idle.forEach(resolve => resolve());
            idle = [];
            return;
        }
        isWriting = true;
        const data = Buffer.concat(waiting);
        waiting = [];
        waitingBytes = 0;
        writeRest(data);
    };

    const writeRest = (data: Buffer): void =>
        writeFile(fd, data, (error, written) => {
            if (error !== null) {
                // There is nowhere to report that the log cannot be written; the count tells how much is missing.
                dropped += data.length;
            } else if (written < data.length) {
                writeRest(data.subarray(written));
                return;
            }
            writeNext();
        });

    return {
        write: text => {
            const data = Buffer.from(text);
            if (waitingBytes + data.length > maxWaitingBytes) {
                dropped += data.length;
                return;
            }
            waiting.push(data);
            waitingBytes += data.length;
            if (!isWriting) {
                writeNext();
            }
        },
        drain: timeoutMs =>
            new Promise(resolve => {
                if (!isWriting) {
                    resolve();
                    return;
                }
                idle.push(resolve);
                setTimeout(resolve, timeoutMs).unref();
            }),
        countDropped: () => dropped,
    };
};

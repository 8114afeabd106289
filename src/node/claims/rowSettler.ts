/**
 * Records the ends of claimed attempts in the table service, in the background.
 */
import * as rowClaim from "../../common/claims/rowClaim.js";
import * as claims from "../../common/claims/Types.js";
import * as shared from "../../common/Types.js";
import * as platform from "../platform/Types.js";
import * as rowBatcher from "./rowBatcher.js";

export interface RowSettlerOptions {
    readonly table: platform.TableService;
    readonly batcher: rowBatcher.RowBatcher;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    /** Maximum number of rows in one batch of reads and writes. */
    readonly maxRows: number;
}

export interface RowSettler extends shared.Disposable {
    /** Updates the row of an attempt, or removes it if the request did not run; retries until the write commits. */
    settle(rowKey: string, token: string, end: claims.KeyEnd): void;
    /** Resolves when the first try to settle the row is over; at once if none is pending. */
    waitForFirstTry(rowKey: string): Promise<void>;
}

interface SettleJob {
    readonly rowKey: string;
    readonly token: string;
    readonly end: claims.KeyEnd;
}

interface SettleWrite {
    readonly version: number;
    readonly step: claims.SettleStep;
}

/** Delay before a retry after a failure of the table service. */
const retryDelayMs = 1_000;
// Bounds the memory during an outage (about 400 B per job). A dropped row stays `running`, which means "may have run".
const maxJobs = 10_000;

/**
 * Creates a settler.
 *
 * @param options - the table service, timers and limits
 * @returns the settler; after `dispose` it starts no more reads and writes
 */
export const createRowSettler = (options: RowSettlerOptions): RowSettler => {
    const { table, batcher, scheduler, logger } = options;
    // By token, in insertion order.
    const jobs = new Map<string, SettleJob>();
    // By row key: resolvers of the promises that wait for the first try.
    const firstTries = new Map<string, (() => void)[]>();
    let isRunning = false;
    let isDisposed = false;
    let hasFailed = false;
    let retryTimer: shared.Disposable | undefined;

    const finishFirstTry = (rowKey: string): void => {
        const waiters = firstTries.get(rowKey) ?? [];
        firstTries.delete(rowKey);
        for (const resolve of waiters) {
            resolve();
        }
    };

    const removeJob = (job: SettleJob): void => {
        jobs.delete(job.token);
        finishFirstTry(job.rowKey);
    };

    // Returns the write that the row needs, or undefined if the table service is unavailable.
    const readRow = async (job: SettleJob): Promise<SettleWrite | undefined> => {
        const read = await table.read(job.rowKey).catch(() => ({ kind: "unavailable" }) as const);
        if (read.kind === "unavailable") {
            return undefined;
        }
        const row = read.kind === "found" ? read.row : undefined;
        const content = row === undefined ? undefined : rowClaim.parseClaimRow(row.value);
        return { version: row?.version ?? 0, step: rowClaim.pickSettleStep(job.token, job.end, content) };
    };

    const writeRow = async (job: SettleJob, { version, step }: SettleWrite): Promise<boolean> =>
        step.kind === "finished" || (await batcher.write(job.rowKey, version, step.value)).kind === "committed";

    // Returns false if the job has to be retried, starting with the read.
    const settleJob = async (job: SettleJob, write: SettleWrite | undefined): Promise<boolean> => {
        if (write !== undefined && (await writeRow(job, write))) {
            removeJob(job);
            return true;
        }
        // Moved to the end, so that a row that always fails does not delay the others.
        jobs.delete(job.token);
        jobs.set(job.token, job);
        return false;
    };

    // Reads all rows before the first write, so that the writes share a transaction.
    const runBatch = async (batch: readonly SettleJob[]): Promise<boolean> => {
        const reads = await Promise.all(batch.map(readRow));
        const settled = await Promise.all(batch.map((job, index) => settleJob(job, reads[index])));
        return !settled.includes(false);
    };

    const runJobs = async (): Promise<void> => {
        // Lets all jobs added in this turn of the event loop join the first batch.
        await Promise.resolve();
        while (jobs.size > 0 && !isDisposed) {
            // After a failure, a single row tests whether the table service is available again.
            const batch = [...jobs.values()].slice(0, hasFailed ? 1 : options.maxRows);
            hasFailed = !(await runBatch(batch));
            if (hasFailed) {
                return;
            }
        }
    };

    const scheduleRetry = (): void => {
        logger.warn("claim: table service unavailable, retrying to record the ends of attempts", { rows: jobs.size });
        for (const rowKey of [...firstTries.keys()]) {
            finishFirstTry(rowKey);
        }
        retryTimer = scheduler.schedule(retryDelayMs, () => {
            retryTimer = undefined;
            start();
        });
    };

    const start = (): void => {
        if (isRunning || isDisposed || retryTimer !== undefined) {
            return;
        }
        isRunning = true;
        void runJobs().finally(() => {
            isRunning = false;
            if (isDisposed || jobs.size === 0) {
                return;
            }
            if (hasFailed) {
                scheduleRetry();
            } else {
                start();
            }
        });
    };

    const dropOldestJob = (): void => {
        for (const job of jobs.values()) {
            removeJob(job);
            logger.warn("claim: too many unrecorded ends, dropped the oldest; its row stays claimed", {
                row: job.rowKey,
            });
            return;
        }
    };

    return {
        settle: (rowKey, token, end) => {
            if (jobs.size >= maxJobs) {
                dropOldestJob();
            }
            jobs.set(token, { rowKey, token, end });
            if (!hasFailed && !firstTries.has(rowKey)) {
                firstTries.set(rowKey, []);
            }
            start();
        },
        waitForFirstTry: rowKey =>
            new Promise(resolve => {
                const waiters = firstTries.get(rowKey);
                if (waiters === undefined) {
                    resolve();
                } else {
                    waiters.push(resolve);
                }
            }),
        dispose: () => {
            isDisposed = true;
            retryTimer?.dispose();
            for (const rowKey of [...firstTries.keys()]) {
                finishFirstTry(rowKey);
            }
        },
    };
};

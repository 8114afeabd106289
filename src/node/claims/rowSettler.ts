/**
 * Records in the background how claimed calls have ended.
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
    /** Most rows that are read and written together. */
    readonly maxRows: number;
}

export interface RowSettler extends shared.Disposable {
    /** Updates the row of an attempt, or removes it if the call did not run; repeats until the store has answered. */
    settle(rowKey: string, token: string, end: claims.KeyEnd): void;
    /** Resolves when no first try to settle the row is pending. */
    waitForFirstTry(rowKey: string): Promise<void>;
}

interface Job {
    readonly rowKey: string;
    readonly token: string;
    readonly end: claims.KeyEnd;
}

interface SettleWrite {
    readonly version: number;
    readonly step: claims.SettleStep;
}

/** Pause after a failure of the table service. */
const retryMs = 1_000;
// Bounds the memory during an outage (about 400 B each). A dropped row stays `running`, which means "may have run".
const maxJobs = 10_000;

/**
 * Creates a settler.
 *
 * @param options - the table service, timers and limits
 * @returns the settler; after `dispose` it starts no further reads and writes
 */
export const createRowSettler = (options: RowSettlerOptions): RowSettler => {
    const { table, batcher, scheduler, logger } = options;
    // By token, in the order of arrival.
    const jobs = new Map<string, Job>();
    // By row: resolves the promises of those who wait for the first try.
    const firstTries = new Map<string, (() => void)[]>();
    let isRunning = false;
    let isDisposed = false;
    let hasFailed = false;
    let retry: shared.Disposable | undefined;

    const finishFirstTry = (rowKey: string): void => {
        const waiters = firstTries.get(rowKey) ?? [];
        firstTries.delete(rowKey);
        for (const resolve of waiters) {
            resolve();
        }
    };

    const removeJob = (job: Job): void => {
        jobs.delete(job.token);
        finishFirstTry(job.rowKey);
    };

    // Returns what has to be written, or undefined if the store did not answer.
    const readJob = async (job: Job): Promise<SettleWrite | undefined> => {
        const read = await table.read(job.rowKey).catch(() => ({ kind: "unavailable" }) as const);
        if (read.kind === "unavailable") {
            return undefined;
        }
        const row = read.kind === "found" ? read.row : undefined;
        const content = row === undefined ? undefined : rowClaim.parseClaimRow(row.value);
        return { version: row?.version ?? 0, step: rowClaim.pickSettleStep(job.token, job.end, content) };
    };

    const writeRow = async (job: Job, { version, step }: SettleWrite): Promise<boolean> =>
        step.kind === "finished" || (await batcher.write(job.rowKey, version, step.value)).kind === "committed";

    // Returns false if the job has to be repeated, starting with the read.
    const writeJob = async (job: Job, write: SettleWrite | undefined): Promise<boolean> => {
        if (write !== undefined && (await writeRow(job, write))) {
            removeJob(job);
            return true;
        }
        // Goes to the end, so that one row that always fails does not hold up the others.
        jobs.delete(job.token);
        jobs.set(job.token, job);
        return false;
    };

    // All rows are read before the first is written, so that the writes share a transaction.
    const runBatch = async (batch: readonly Job[]): Promise<boolean> => {
        const reads = await Promise.all(batch.map(readJob));
        const settled = await Promise.all(batch.map((job, index) => writeJob(job, reads[index])));
        return !settled.includes(false);
    };

    const runJobs = async (): Promise<void> => {
        // Lets all jobs of this turn of the event loop join the first batch.
        await Promise.resolve();
        while (jobs.size > 0 && !isDisposed) {
            // After a failure, one row at a time finds out whether the store answers again.
            const batch = [...jobs.values()].slice(0, hasFailed ? 1 : options.maxRows);
            hasFailed = !(await runBatch(batch));
            if (hasFailed) {
                return;
            }
        }
    };

    const scheduleRetry = (): void => {
        logger.warn("claim: ends of calls wait for the table service", { rows: jobs.size });
        for (const rowKey of [...firstTries.keys()]) {
            finishFirstTry(rowKey);
        }
        retry = scheduler.schedule(retryMs, () => {
            retry = undefined;
            start();
        });
    };

    const start = (): void => {
        if (isRunning || isDisposed || retry !== undefined) {
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
            logger.warn("claim: the end of a call was not recorded, its row stays claimed", { row: job.rowKey });
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
            retry?.dispose();
            for (const rowKey of [...firstTries.keys()]) {
                finishFirstTry(rowKey);
            }
        },
    };
};

/**
 * Conditional writes of single rows, committed together in one transaction at a time.
 */
import * as platform from "../platform/Types.js";

/** Result for one row. Except for `committed` and `unknown`, the write surely had no effect. */
export type RowWriteResult =
    | { readonly kind: "committed" }
    | { readonly kind: "conflict"; readonly row: platform.Row | undefined }
    | { readonly kind: "unavailable" }
    | { readonly kind: "unknown" };

export interface RowBatcher {
    /** Writes a row if it has the given version; `value` undefined removes it. */
    write(key: string, version: number, value: unknown): Promise<RowWriteResult>;
}

interface Job {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
    resolve(result: RowWriteResult): void;
}

const resolveAll = (jobs: readonly Job[], result: RowWriteResult): void => {
    for (const job of jobs) {
        job.resolve(result);
    }
};

/**
 * Creates a batcher.
 *
 * @param table - the table service
 * @param maxRows - most rows in one transaction
 * @returns the batcher
 */
export const createRowBatcher = (table: platform.TableService, maxRows: number): RowBatcher => {
    const queue: Job[] = [];
    let isRunning = false;

    // Takes at most one job for each row, because a transaction has one condition for each row.
    const takeBatch = (): Job[] => {
        const batch = new Map<string, Job>();
        const rest: Job[] = [];
        for (const job of queue.splice(0)) {
            if (batch.size < maxRows && !batch.has(job.key)) {
                batch.set(job.key, job);
            } else {
                rest.push(job);
            }
        }
        queue.push(...rest);
        return [...batch.values()];
    };

    const transact = async (jobs: readonly Job[]): Promise<platform.TransactResult> => {
        try {
            return await table.transact(
                jobs.map(({ key, version }) => ({ key, version })),
                jobs.map(({ key, value }) => ({ key, value })),
            );
        } catch (error) {
            return { kind: "unknown", cause: String(error) };
        }
    };

    // A conflict on one row must not fail the others, so they are written again without it.
    const writeBatch = async (batch: readonly Job[]): Promise<void> => {
        let jobs = batch;
        while (jobs.length > 0) {
            const result = await transact(jobs);
            if (result.kind !== "conflict") {
                resolveAll(jobs, { kind: result.kind });
                return;
            }
            jobs = resolveConflicts(jobs, result.rows);
        }
    };

    const run = async (): Promise<void> => {
        isRunning = true;
        // Lets all jobs of this turn of the event loop join the first batch.
        await Promise.resolve();
        while (queue.length > 0) {
            await writeBatch(takeBatch());
        }
        isRunning = false;
    };

    return {
        write: (key, version, value) =>
            new Promise(resolve => {
                queue.push({ key, version, value, resolve });
                if (!isRunning) {
                    void run();
                }
            }),
    };
};

/**
 * Ends the jobs whose condition did not hold.
 *
 * @param jobs - the jobs of a transaction that had no effect
 * @param rows - the rows of broken conditions, as far as they exist
 * @returns the remaining jobs, always fewer than before
 */
const resolveConflicts = (jobs: readonly Job[], rows: readonly platform.Row[]): readonly Job[] => {
    const found = new Map(rows.map(row => [row.key, row]));
    const broken = jobs.filter(job => {
        const row = found.get(job.key);
        return row !== undefined && row.version !== job.version;
    });
    for (const job of broken) {
        job.resolve({ kind: "conflict", row: found.get(job.key) });
    }
    if (broken.length > 0) {
        return jobs.filter(job => !broken.includes(job));
    }
    // No row explains the conflict: a row that a job expected is absent, and absent rows are not reported.
    const updates = jobs.filter(job => job.version > 0);
    resolveAll(updates, { kind: "conflict", row: undefined });
    if (updates.length === 0) {
        resolveAll(jobs, { kind: "unavailable" });
        return [];
    }
    return jobs.filter(job => job.version === 0);
};

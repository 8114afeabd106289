/**
 * Batches conditional writes of single rows into transactions. One transaction runs at a time.
 */
import * as platform from "../platform/Types.js";

/** Result for one row. Unless it is `committed` or `unknown`, the write definitely had no effect. */
export type RowWriteResult =
    | { readonly kind: "committed" }
    | { readonly kind: "conflict"; readonly row: platform.Row | undefined }
    | { readonly kind: "unavailable" }
    | { readonly kind: "unknown" };

export interface RowBatcher {
    /** Writes a row if it has the given version (0: the row is absent). A `value` of undefined removes the row. */
    write(key: string, version: number, value: unknown): Promise<RowWriteResult>;
}

interface PendingWrite {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
    resolve(result: RowWriteResult): void;
}

const resolveAll = (writes: readonly PendingWrite[], result: RowWriteResult): void => {
    for (const write of writes) {
        write.resolve(result);
    }
};

/**
 * Creates a batcher.
 *
 * @param table - the table service
 * @param maxRows - maximum number of rows in one transaction
 * @returns the batcher
 */
export const createRowBatcher = (table: platform.TableService, maxRows: number): RowBatcher => {
    const queue: PendingWrite[] = [];
    let isRunning = false;

    // Takes at most one write per row, because a transaction has one condition per row.
    const takeBatch = (): PendingWrite[] => {
        const batch = new Map<string, PendingWrite>();
        const remaining: PendingWrite[] = [];
        for (const write of queue.splice(0)) {
            if (batch.size < maxRows && !batch.has(write.key)) {
                batch.set(write.key, write);
            } else {
                remaining.push(write);
            }
        }
        queue.push(...remaining);
        return [...batch.values()];
    };

    const transact = async (writes: readonly PendingWrite[]): Promise<platform.TransactResult> => {
        try {
            return await table.transact(
                writes.map(({ key, version }) => ({ key, version })),
                writes.map(({ key, value }) => ({ key, value })),
            );
        } catch (error) {
            return { kind: "unknown", cause: String(error) };
        }
    };

    // A conflict on one row must not fail the others, so the transaction is retried without the conflicting writes.
    const writeBatch = async (batch: readonly PendingWrite[]): Promise<void> => {
        let writes = batch;
        while (writes.length > 0) {
            const result = await transact(writes);
            if (result.kind !== "conflict") {
                resolveAll(writes, { kind: result.kind });
                return;
            }
            writes = resolveConflicts(writes, result.rows);
        }
    };

    const run = async (): Promise<void> => {
        isRunning = true;
        // Lets all writes queued in this turn of the event loop join the first batch.
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
 * Resolves the writes whose condition did not hold.
 *
 * @param writes - the writes of a transaction that had no effect
 * @param rows - the existing rows whose version did not match the condition
 * @returns the remaining writes, always fewer than before
 */
const resolveConflicts = (writes: readonly PendingWrite[], rows: readonly platform.Row[]): readonly PendingWrite[] => {
    const foundRows = new Map(rows.map(row => [row.key, row]));
    const conflicting = writes.filter(write => {
        const row = foundRows.get(write.key);
        return row !== undefined && row.version !== write.version;
    });
    for (const write of conflicting) {
        write.resolve({ kind: "conflict", row: foundRows.get(write.key) });
    }
    if (conflicting.length > 0) {
        return writes.filter(write => !conflicting.includes(write));
    }
    // No reported row explains the conflict, so a row that a write expected is absent: absent rows are not reported.
    const updates = writes.filter(write => write.version > 0);
    resolveAll(updates, { kind: "conflict", row: undefined });
    if (updates.length === 0) {
        resolveAll(writes, { kind: "unavailable" });
        return [];
    }
    return writes.filter(write => write.version === 0);
};

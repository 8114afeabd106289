/**
 * Follows the store's tables and applies what changes to the shared state.
 */
import * as errorText from "../../common/errors/errorText.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/** A call to the store that takes longer has failed: it answers in a few milliseconds, in tens of them when slow. */
const callTimeoutMs = 1_000;
/** The table of targets changes all the time, so that calls are spaced; half of this is added to each change's delay. */
const targetsIntervalMs = 500;
/** Operators' changes are rare, so that a call waits for them; a silent connection is noticed after this time. */
const operatorsWaitMs = 1_500;
const targetsWaitMs = 250;
const firstBackoffMs = 250;
const longestBackoffMs = 1_000;
/** Rows that go within this time of a failed call may only have lapsed. */
const disturbedMs = 3_000;

export interface StoreFollower extends shared.Disposable {
    /** Starts to follow; without effect while it does. */
    start(): void;
    stop(): void;
    /** Age of the oldest table's last successful call; infinite before the first. */
    computeAgeMs(): number;
    /** How long an answer of the store is overdue, at the table that is the most so; infinite before the first. */
    computeOverdueMs(): number;
    isRunning(): boolean;
}

export interface StoreFollowerOptions {
    readonly store: types.StateStore;
    readonly state: sharedState.SharedState;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    handleChanges(changes: readonly routes.StateChange[]): void;
}

interface TableState {
    readonly table: routes.StateTable;
    readonly waitMs: number;
    readonly intervalMs: number;
    cursor: routes.RowVersion | undefined;
    calledAtMs: number;
    succeededAtMs: number;
    failedAtMs: number;
    backoffMs: number;
    /** Number of the run of `start` that the table's loop belongs to. */
    run: number;
}

const createTable = (table: routes.StateTable, waitMs: number, intervalMs: number): TableState => ({
    table,
    waitMs,
    intervalMs,
    cursor: undefined,
    calledAtMs: -Infinity,
    succeededAtMs: -Infinity,
    failedAtMs: -Infinity,
    backoffMs: firstBackoffMs,
    run: 0,
});

/**
 * Creates a follower that is stopped.
 *
 * @param options - the store and the state
 * @returns the follower
 */
export const createStoreFollower = (options: StoreFollowerOptions): StoreFollower => {
    const { store, state, scheduler, logger } = options;
    const tables = [
        createTable("operators", operatorsWaitMs, 0),
        createTable("targets", targetsWaitMs, targetsIntervalMs),
    ];
    let run = 0;
    let isRunning = false;
    const timers = new Map<TableState, shared.Disposable>();

    /** Removals of targets that come with or soon after a disturbance may be lapses. */
    const markLapses = (table: TableState, changes: readonly routes.StateChange[]): readonly routes.StateChange[] =>
        isDisturbed(table)
            ? changes.map(change =>
                  change.kind === "target" && change.registration === undefined ? { ...change, isLapse: true } : change,
              )
            : changes;

    const isDisturbed = (table: TableState): boolean => scheduler.now() - table.failedAtMs < disturbedMs;

    const readSnapshot = async (table: TableState): Promise<readonly routes.StateChange[]> => {
        const snapshot = await store.fetchSnapshot(table.table, callTimeoutMs);
        table.cursor = snapshot.version;
        return state.applySnapshot(snapshot, isDisturbed(table));
    };

    const readChanges = async (table: TableState, after: routes.RowVersion): Promise<readonly routes.StateChange[]> => {
        const result = await store.fetchChanges(table.table, after, table.waitMs, table.waitMs + callTimeoutMs);
        switch (result.kind) {
            case "changes":
                table.cursor = result.version;
                return state.applyChanges(markLapses(table, result.changes));
            case "history-lost":
                logger.warn("state: history lost", { table: table.table, after });
                return readSnapshot(table);
        }
    };

    const handleSuccess = (table: TableState, changes: readonly routes.StateChange[]): number => {
        const nowMs = scheduler.now();
        if (table.failedAtMs > table.succeededAtMs) {
            logger.info("state: store reached", { table: table.table });
        }
        table.succeededAtMs = nowMs;
        table.backoffMs = firstBackoffMs;
        if (changes.length > 0) {
            options.handleChanges(changes);
        }
        return Math.max(0, table.calledAtMs + table.intervalMs - nowMs);
    };

    const handleFailure = (table: TableState, error: unknown): number => {
        if (table.failedAtMs <= table.succeededAtMs) {
            const reason = errorText.toErrorText(error);
            logger.warn("state: store not reached", { table: table.table, reason });
        }
        table.failedAtMs = scheduler.now();
        const delayMs = table.backoffMs;
        table.backoffMs = Math.min(longestBackoffMs, delayMs * 2);
        return delayMs;
    };

    const poll = async (table: TableState, ownRun: number): Promise<void> => {
        table.calledAtMs = scheduler.now();
        let delayMs: number;
        try {
            const { cursor } = table;
            const changes = cursor === undefined ? await readSnapshot(table) : await readChanges(table, cursor);
            if (ownRun !== run) {
                return;
            }
            delayMs = handleSuccess(table, changes);
        } catch (error) {
            if (ownRun !== run) {
                return;
            }
            delayMs = handleFailure(table, error);
        }
        timers.set(
            table,
            scheduler.schedule(delayMs, () => void poll(table, ownRun)),
        );
    };

    /** Without disturbance, one call waits out its time and the next one begins on time. */
    const computeOverdueMs = (table: TableState): number =>
        Math.max(0, scheduler.now() - table.succeededAtMs - table.intervalMs - table.waitMs);

    const stop = (): void => {
        if (isRunning) {
            logger.info("state: leaves the store to the hub");
        }
        isRunning = false;
        run++;
        timers.forEach(timer => timer.dispose());
        timers.clear();
    };

    return {
        start: () => {
            if (isRunning) {
                return;
            }
            isRunning = true;
            run++;
            logger.info("state: follows the store");
            for (const table of tables) {
                // Changes may have been missed while another VM followed the store.
                table.cursor = undefined;
                table.backoffMs = firstBackoffMs;
                void poll(table, run);
            }
        },
        stop,
        computeAgeMs: () => scheduler.now() - Math.min(...tables.map(table => table.succeededAtMs)),
        computeOverdueMs: () => Math.max(...tables.map(computeOverdueMs)),
        isRunning: () => isRunning,
        dispose: stop,
    };
};

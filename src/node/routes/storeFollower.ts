/**
 * Polls the store's tables and applies their changes to the shared state.
 */
import * as errorText from "../../common/errors/errorText.js";
import * as rowVersion from "../../common/routes/rowVersion.js";
import * as stateChanges from "../../common/routes/stateChanges.js";
import * as storeOutage from "../../common/routes/storeOutage.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/** Timeout of a call to the store, which responds in a few milliseconds, or in tens of milliseconds when slow. */
const callTimeoutMs = 1_000;
/** The table of targets changes constantly, so calls are spaced; this delays changes by half of it on average. */
const targetsIntervalMs = 500;
/** Operators' changes are rare, so calls wait for them; a silent connection is detected after this time. */
const operatorsWaitMs = 1_500;
const targetsWaitMs = 250;
const initialBackoffMs = 250;
const maxBackoffMs = 1_000;

export interface StoreFollower extends shared.Disposable {
    /** Starts following the store; no effect if already running. */
    start(): void;
    stop(): void;
    /** Time since the last successful call, for the table where it is the longest; infinite before the first. */
    computeAgeMs(): number;
    /** How long the store's response is overdue, for the table where it is the longest; infinite before the first. */
    computeOverdueMs(): number;
    isRunning(): boolean;
}

export interface StoreFollowerOptions {
    readonly store: types.StateStore;
    readonly state: sharedState.SharedState;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    getBounds(): storeOutage.OutageBounds;
    /** Called with the changes that had an effect, also with those that arrive after a stop. */
    handleUpdate(update: routes.StateUpdate): void;
}

interface TableState {
    readonly table: routes.StateTable;
    readonly waitMs: number;
    readonly intervalMs: number;
    cursor: routes.RowVersion | undefined;
    calledAtMs: number;
    /** Latest time of the response to the last call from an available store. */
    dueAtMs: number;
    succeededAtMs: number;
    failedAtMs: number;
    backoffMs: number;
    /** Number of the `start` call that the table's polling loop belongs to. */
    run: number;
}

const createTableState = (table: routes.StateTable, waitMs: number, intervalMs: number): TableState => ({
    table,
    waitMs,
    intervalMs,
    cursor: undefined,
    calledAtMs: -Infinity,
    dueAtMs: -Infinity,
    succeededAtMs: -Infinity,
    failedAtMs: -Infinity,
    backoffMs: initialBackoffMs,
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
        createTableState("operators", operatorsWaitMs, 0),
        createTableState("targets", targetsWaitMs, targetsIntervalMs),
    ];
    let run = 0;
    let isRunning = false;
    const timers = new Map<TableState, shared.Disposable>();

    /** Of the table of targets, as the store may be unavailable in part. */
    const outage = storeOutage.createStoreOutage({ clock: scheduler, getBounds: options.getBounds });

    /** Records that the store has responded; must precede the handling of the response, which may lack expired rows. */
    const recordResponse = ({ table }: TableState): void => {
        const ended = table === "targets" ? outage.recordSuccess() : undefined;
        if (ended !== undefined) {
            logger.info("state: outage of the store ended", {
                durationMs: Math.round(ended.durationMs),
                lapseMs: Math.round(ended.lapseMs),
            });
        }
    };

    /** Whether the last call failed. */
    const hasFailed = (table: TableState): boolean => table.failedAtMs > table.succeededAtMs;

    /**
     * Reports changes as soon as they have been applied: followers would never get them otherwise, as the snapshot after a
     * restart does not find them new.
     */
    const reportUpdate = (update: routes.StateUpdate): void => {
        if (update.changes.length > 0) {
            options.handleUpdate(update);
        }
    };

    const fetchTableSnapshot = async (table: TableState): Promise<void> => {
        const snapshot = await store.fetchSnapshot(table.table, callTimeoutMs);
        recordResponse(table);
        table.cursor = snapshot.version;
        reportUpdate({ ...snapshot, changes: state.applySnapshot(snapshot, outage.computeLapseMs()) });
    };

    const fetchTableChanges = async (table: TableState, after: routes.RowVersion): Promise<void> => {
        // A call that is lost at the end of an outage must time out soon, so that the changes are not missed for longer.
        const waitMs = hasFailed(table) ? 0 : table.waitMs;
        table.dueAtMs += waitMs;
        const result = await store.fetchChanges(table.table, after, waitMs, waitMs + callTimeoutMs);
        recordResponse(table);
        switch (result.kind) {
            case "changes": {
                const lapseMs = outage.computeLapseMs();
                const update = {
                    table: table.table,
                    version: result.version,
                    changes: result.changes.map(change => stateChanges.toLapse(change, lapseMs)),
                };
                table.cursor = result.version;
                reportUpdate({ ...update, changes: state.applyUpdate(update) });
                break;
            }
            case "history-lost":
                logger.warn("state: history lost", { table: table.table, after: rowVersion.formatVersion(after) });
                await fetchTableSnapshot(table);
                break;
        }
    };

    const handleSuccess = (table: TableState): number => {
        const nowMs = scheduler.now();
        if (hasFailed(table)) {
            logger.info("state: store reachable", { table: table.table });
        }
        table.succeededAtMs = nowMs;
        table.backoffMs = initialBackoffMs;
        return Math.max(0, table.calledAtMs + table.intervalMs - nowMs);
    };

    const handleFailure = (table: TableState, error: unknown): number => {
        if (!hasFailed(table)) {
            const reason = errorText.toErrorText(error);
            logger.warn("state: store unreachable", { table: table.table, reason });
        }
        const nowMs = scheduler.now();
        if (table.table === "targets") {
            outage.recordFailure(Math.min(nowMs, table.dueAtMs));
        }
        table.failedAtMs = nowMs;
        const delayMs = table.backoffMs;
        table.backoffMs = Math.min(maxBackoffMs, delayMs * 2);
        return delayMs;
    };

    const poll = async (table: TableState, ownRun: number): Promise<void> => {
        table.calledAtMs = scheduler.now();
        table.dueAtMs = table.calledAtMs;
        let delayMs: number;
        try {
            const { cursor } = table;
            await (cursor === undefined ? fetchTableSnapshot(table) : fetchTableChanges(table, cursor));
            if (ownRun !== run) {
                return;
            }
            delayMs = handleSuccess(table);
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

    /** While the store is available, a call takes at most its wait time and the next call starts on time. */
    const computeOverdueMs = (table: TableState): number =>
        Math.max(0, scheduler.now() - table.succeededAtMs - table.intervalMs - table.waitMs);

    const stop = (): void => {
        if (isRunning) {
            logger.info("state: stopped following the store");
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
            outage.reset();
            logger.info("state: started following the store");
            for (const table of tables) {
                // Changes may have been missed while another VM followed the store.
                table.cursor = undefined;
                table.backoffMs = initialBackoffMs;
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

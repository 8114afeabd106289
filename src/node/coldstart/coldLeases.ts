/**
 * Takes, renews and releases the cold leases that this incarnation requests, in the table service.
 */
import * as coldLease from "../../common/coldstart/coldLease.js";
import * as lease from "../../common/coldstart/Types.js";
import * as events from "../../common/events.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";
import * as leaseRow from "./leaseRow.js";

/** How long a request for a lease is valid. */
const requestValidityMs = 5_000;
/** Renewals due within this time are written in the same transaction as the first one. */
const renewalWindowMs = 1_000;
const maxRowsPerTransaction = 50;

export interface ColdLeasesOptions {
    readonly incarnation: types.IncarnationId;
    readonly table: platform.TableService;
    readonly scheduler: types.Scheduler;
    /** Returns a random token. */
    readonly createToken: () => string;
    readonly leaseMs: number;
    readonly logger: types.Logger;
}

interface PlannedWrite {
    readonly target: types.TargetId;
    readonly write: lease.LeaseWrite;
}

/**
 * Creates the manager of an incarnation's cold leases.
 *
 * @param options - the incarnation, the table service, timers and the lease duration
 * @returns the leases; after `dispose`, nothing more is written and held leases expire
 */
export const createColdLeases = (options: ColdLeasesOptions): routing.ColdLeases & types.Disposable => {
    const { incarnation, table, scheduler, createToken, logger } = options;
    const settings: lease.LeaseSettings = { ...coldLease.defaultSettings, leaseMs: options.leaseMs };
    const states = new Map<types.TargetId, lease.LeaseState>();
    const pendingReads = new Set<types.TargetId>();
    const takeEmitter = events.createEmitter<types.TargetId>();
    let timer: types.Disposable | undefined;
    let isDisposed = false;

    const isHeld = (state: lease.LeaseState | undefined): boolean =>
        state?.leaseEndMs !== undefined && scheduler.now() < state.leaseEndMs;

    const apply = (target: types.TargetId, event: lease.LeaseEvent): void => {
        const before = states.get(target) ?? coldLease.initialLease;
        const after = coldLease.applyLeaseEvent(before, event, settings, scheduler.now());
        states.set(target, after);
        if (!isHeld(before) && isHeld(after)) {
            logger.info("cold: lease acquired", { target });
            takeEmitter.fire(target);
        }
    };

    const readRow = async (target: types.TargetId): Promise<void> => {
        pendingReads.add(target);
        const result = await table.read(leaseRow.toRowKey(target));
        pendingReads.delete(target);
        switch (result.kind) {
            case "found":
                apply(target, { kind: "read", read: leaseRow.parseRow(result.row) });
                break;
            case "absent":
                apply(target, { kind: "read", read: { version: 0, row: undefined } });
                break;
            case "unavailable":
                logger.warn("cold: table service unavailable", { target, cause: result.cause });
                apply(target, { kind: "readFailed" });
                break;
        }
        update();
    };

    const writeRows = async (batch: readonly PlannedWrite[]): Promise<void> => {
        batch.forEach(({ target, write }) => apply(target, { kind: "writeSent", write }));
        const result = await table.transact(
            batch.map(({ target, write }) => ({ key: leaseRow.toRowKey(target), version: write.version })),
            batch.map(({ target, write }) => ({ key: leaseRow.toRowKey(target), value: write.row })),
        );
        for (const { target, write } of batch) {
            logger.info(`cold: lease ${write.kind}: ${result.kind}`, { target });
            apply(target, { kind: result.kind === "conflict" ? "conflicted" : result.kind });
        }
        update();
    };

    const createWrite = (step: lease.LeaseStep & { kind: "write" }): lease.LeaseWrite => ({
        kind: step.write,
        version: step.version,
        row: { holder: step.write === "release" ? undefined : incarnation, token: createToken() },
        sentAtMs: scheduler.now(),
    });

    /** Computes a lease's next step as of `aheadMs` from now, so that it can be renewed early with another lease. */
    const computeStep = (state: lease.LeaseState, aheadMs: number): lease.LeaseStep =>
        coldLease.computeLeaseStep(state, incarnation, settings, scheduler.now() + aheadMs);

    const isAnyRenewalDue = (): boolean =>
        [...states.values()].some(state => {
            const step = isHeld(state) ? computeStep(state, 0) : undefined;
            return step !== undefined && step.kind !== "wait" && step.kind !== "done";
        });

    let isUpdatePending = false;

    const runSteps = (): number => {
        const renewals: PlannedWrite[] = [];
        let nextUpdateAtMs = Infinity;
        const aheadMs = isAnyRenewalDue() ? renewalWindowMs : 0;
        for (const [target, state] of [...states]) {
            if (pendingReads.has(target)) {
                continue;
            }
            const endMs = state.leaseEndMs ?? 0;
            const mayRenewEarly = isHeld(state) && endMs - scheduler.now() > renewalWindowMs;
            const step = computeStep(state, mayRenewEarly ? aheadMs : 0);
            switch (step.kind) {
                case "wait":
                    nextUpdateAtMs = Math.min(nextUpdateAtMs, step.untilMs);
                    break;
                case "read":
                    void readRow(target);
                    break;
                case "write":
                    if (step.write === "renew") {
                        renewals.push({ target, write: createWrite(step) });
                    } else {
                        // In a transaction of its own, because a conflict on one row would fail the others.
                        void writeRows([{ target, write: createWrite(step) }]);
                    }
                    break;
                case "done":
                    states.delete(target);
                    break;
            }
        }
        // Renewals wait for pending reads of other held leases, so that all share a transaction.
        const isReadingHeldLease = [...pendingReads].some(target => isHeld(states.get(target)));
        if (!isReadingHeldLease) {
            for (let from = 0; from < renewals.length; from += maxRowsPerTransaction) {
                void writeRows(renewals.slice(from, from + maxRowsPerTransaction));
            }
        }
        return nextUpdateAtMs;
    };

    const update = (): void => {
        timer?.dispose();
        timer = undefined;
        if (isDisposed) {
            return;
        }
        const nextUpdateAtMs = runSteps();
        if (nextUpdateAtMs < Infinity) {
            timer = scheduler.schedule(Math.max(1, nextUpdateAtMs - scheduler.now()), update);
        }
    };

    /** One update per turn: it goes through all targets, and when a zone returns, all of its targets request leases. */
    const scheduleUpdate = (): void => {
        if (isUpdatePending) {
            return;
        }
        isUpdatePending = true;
        queueMicrotask(() => {
            isUpdatePending = false;
            update();
        });
    };

    return {
        getLeaseEndMs: target => {
            const state = states.get(target);
            return isHeld(state) ? state?.leaseEndMs : undefined;
        },
        request: target => {
            apply(target, { kind: "wanted", untilMs: scheduler.now() + requestValidityMs });
            scheduleUpdate();
        },
        release: target => {
            if (states.has(target)) {
                apply(target, { kind: "released" });
                scheduleUpdate();
            }
        },
        onDidTake: takeEmitter.event,
        dispose: () => {
            isDisposed = true;
            timer?.dispose();
            takeEmitter.dispose();
        },
    };
};

/**
 * Takes, renews and releases the cold leases that this incarnation wants, in the table service.
 */
import * as coldLease from "../../common/coldstart/coldLease.js";
import * as lease from "../../common/coldstart/Types.js";
import * as events from "../../common/events.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";
import * as leaseRow from "./leaseRow.js";

/** A lease is wanted this long after it was asked for. */
const wantedMs = 5_000;
/** Leases whose renewal is due within this time are renewed with the first one, in the same transaction. */
const alignMs = 1_000;
const maxBatch = 50;

export interface ColdLeasesOptions {
    readonly incarnation: types.IncarnationId;
    readonly table: platform.TableService;
    readonly scheduler: types.Scheduler;
    /** Creates a random token. */
    readonly createToken: () => string;
    readonly leaseMs: number;
    readonly logger: types.Logger;
}

interface PlannedWrite {
    readonly target: types.TargetId;
    readonly write: lease.LeaseWrite;
}

/**
 * Creates the cold leases of an incarnation.
 *
 * @param options - what they depend on
 * @returns the leases; after `dispose`, nothing is written any more and held leases run out
 */
export const createColdLeases = (options: ColdLeasesOptions): routing.ColdLeases & types.Disposable => {
    const { incarnation, table, scheduler, createToken, logger } = options;
    const settings: lease.LeaseSettings = { ...coldLease.defaultSettings, leaseMs: options.leaseMs };
    const states = new Map<types.TargetId, lease.LeaseState>();
    const reading = new Set<types.TargetId>();
    const taken = events.createEmitter<types.TargetId>();
    let timer: types.Disposable | undefined;
    let disposed = false;

    const isHeld = (state: lease.LeaseState | undefined): boolean =>
        state?.endMs !== undefined && scheduler.now() < state.endMs;

    const apply = (target: types.TargetId, event: lease.LeaseEvent): void => {
        const before = states.get(target) ?? coldLease.initialLease;
        const after = coldLease.applyLeaseEvent(before, event, settings, scheduler.now());
        states.set(target, after);
        if (!isHeld(before) && isHeld(after)) {
            logger.info("cold: lease taken", { target });
            taken.fire(target);
        }
    };

    const readRow = async (target: types.TargetId): Promise<void> => {
        reading.add(target);
        const result = await table.read(leaseRow.toKey(target));
        reading.delete(target);
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
            batch.map(({ target, write }) => ({ key: leaseRow.toKey(target), version: write.version })),
            batch.map(({ target, write }) => ({ key: leaseRow.toKey(target), value: write.row })),
        );
        for (const { target, write } of batch) {
            logger.info(`cold: ${write.kind} ${result.kind}`, { target });
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

    /** A held lease is looked at a little ahead of time while another one is renewed. */
    const computeStep = (state: lease.LeaseState, aheadMs: number): lease.LeaseStep =>
        coldLease.computeLeaseStep(state, incarnation, settings, scheduler.now() + aheadMs);

    const isRenewalDue = (): boolean =>
        [...states.values()].some(state => {
            const step = isHeld(state) ? computeStep(state, 0) : undefined;
            return step !== undefined && step.kind !== "wait" && step.kind !== "done";
        });

    let isUpdatePending = false;

    const runSteps = (): number => {
        const renewals: PlannedWrite[] = [];
        let wakeAtMs = Infinity;
        const aheadMs = isRenewalDue() ? alignMs : 0;
        for (const [target, state] of [...states]) {
            if (reading.has(target)) {
                continue;
            }
            const endMs = state.endMs ?? 0;
            const mayAlign = isHeld(state) && endMs - scheduler.now() > alignMs;
            const step = computeStep(state, mayAlign ? aheadMs : 0);
            switch (step.kind) {
                case "wait":
                    wakeAtMs = Math.min(wakeAtMs, step.untilMs);
                    break;
                case "read":
                    void readRow(target);
                    break;
                case "write":
                    if (step.write === "renew") {
                        renewals.push({ target, write: createWrite(step) });
                    } else {
                        // Alone, because the conflict of one take would undo the others.
                        void writeRows([{ target, write: createWrite(step) }]);
                    }
                    break;
                case "done":
                    states.delete(target);
                    break;
            }
        }
        // Renewals wait for the reads of other held leases, so that all go in one transaction.
        const isReadingHeld = [...reading].some(target => isHeld(states.get(target)));
        if (!isReadingHeld) {
            for (let from = 0; from < renewals.length; from += maxBatch) {
                void writeRows(renewals.slice(from, from + maxBatch));
            }
        }
        return wakeAtMs;
    };

    const update = (): void => {
        timer?.dispose();
        timer = undefined;
        if (disposed) {
            return;
        }
        const wakeAtMs = runSteps();
        if (wakeAtMs < Infinity) {
            timer = scheduler.schedule(Math.max(1, wakeAtMs - scheduler.now()), update);
        }
    };

    /** Joins the requests of one turn, since each update looks at all targets: a zone returns with all of them cold. */
    const updateSoon = (): void => {
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
            return isHeld(state) ? state?.endMs : undefined;
        },
        request: target => {
            apply(target, { kind: "wanted", untilMs: scheduler.now() + wantedMs });
            updateSoon();
        },
        release: target => {
            if (states.has(target)) {
                apply(target, { kind: "givenUp" });
                updateSoon();
            }
        },
        onDidTake: taken.event,
        dispose: () => {
            disposed = true;
            timer?.dispose();
            taken.dispose();
        },
    };
};

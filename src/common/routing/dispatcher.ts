/**
 * Assigns calls to slots of the targets that this entry VM owns, or to another owner of a cell.
 */
import * as blackboards from "../blackboard/Types.js";
import * as errors from "../errors/Types.js";
import * as events from "../events.js";
import * as targetHealth from "../health/targetHealth.js";
import * as shared from "../Types.js";
import * as callOutcome from "./callOutcome.js";
import * as cellEntry from "./cellEntry.js";
import * as cellOptions from "./cellOptions.js";
import * as cellTables from "./cellTable.js";
import * as coldLeaseLimit from "./coldLeaseLimit.js";
import * as pickTarget from "./pickTarget.js";
import * as spillOver from "./spillOver.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";
import * as views from "./views.js";
import * as waitQueue from "./waitQueue.js";

const roundMs = (durationMs: number): number => Math.round(durationMs * 10) / 10;

/** Interval at which the queue is rechecked, because some limits grow with time. */
const recheckMs = 25;

export interface DispatcherOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly scheduler: shared.Scheduler;
    readonly random: shared.Random;
    readonly coldLeases: types.ColdLeases;
    readonly logger: shared.Logger;
    /** Whether a call may go to another zone while its own zone has an owner; false only in experiments. */
    readonly spillOver?: boolean;
    /** Whether the limit of a slow target is lowered; false only in experiments. */
    readonly limitDrop?: boolean;
}

/**
 * Creates the dispatcher of an entry VM. It follows the configuration and the owners on the blackboard. A slot may be
 * granted in the same event loop turn in which the request's signal is aborted; the caller must then release it as
 * cancelled.
 *
 * @param options - dependencies and settings
 * @returns the dispatcher
 */
export const createDispatcher = (options: DispatcherOptions): types.ProbedDispatcher => {
    const { blackboard, scheduler, random, coldLeases, logger } = options;
    const table = cellTables.createCellTable(blackboard.self, options.limitDrop ?? true);
    const optionList = cellOptions.createOptionList(blackboard, table, options.spillOver ?? true);
    const disposables = events.createDisposableStore();
    let leavingVms: ReadonlySet<shared.VmId> = new Set();
    let disposed = false;

    const createRefusal = (request: types.SlotRequest, error: errors.ErrorKind, message: string): types.SlotGrant => {
        logger.info("route: call refused", { call: request.call, service: request.service, error });
        return { kind: "refused", error, message };
    };

    const updateCell = (cell: cellEntry.CellEntry, nowMs: number): void => {
        cellEntry.updateMedian(cell, nowMs);
        const waitMs = cell.queue.count() > 0 ? cellEntry.computeCapacity(cell).expectedWaitMs : 0;
        for (const entry of cell.ownedTargets) {
            targetEntry.updateLimit(entry, cell.medianLatencyMs, waitMs, nowMs);
            coldLeaseLimit.applyColdLease(entry, coldLeases, cell.meanLatencyMs, nowMs);
        }
    };

    const findFree = (
        cell: cellEntry.CellEntry,
        request: types.SlotRequest,
        nowMs: number,
    ): targetEntry.TargetEntry | undefined => {
        const start = cell.ownedTargets.length > 1 ? random.nextInt(cell.ownedTargets.length) : 0;
        const exclude = request.exclude;
        return pickTarget.pickTarget(cell.ownedTargets, start, nowMs, entry => !exclude.includes(entry.config.id));
    };

    const acquireTarget = (
        cell: cellEntry.CellEntry,
        entry: targetEntry.TargetEntry,
        request: types.SlotRequest,
        sinceMs: number,
    ): types.SlotGrant => {
        const nowMs = scheduler.now();
        const isCold = targetHealth.isCold(entry.health, nowMs);
        const coldEndMs = isCold ? (entry.coldEndMs ?? nowMs) : Infinity;
        targetEntry.addCall(entry, nowMs, isCold);
        logger.info("route: call assigned to an owned target", {
            call: request.call,
            cell: cell.id,
            target: entry.config.id,
            inFlight: entry.inFlight,
            limit: entry.limit,
            waitedMs: roundMs(nowMs - sinceMs),
        });
        let released = false;
        return {
            kind: "local",
            target: entry.config,
            endsAtMs: Math.min(request.deadlineAtMs, coldEndMs),
            release: attemptReport => {
                if (!released) {
                    released = true;
                    finishCall(cell, entry, { startMs: nowMs, isCold, attemptReport });
                }
            },
        };
    };

    const finishCall = (
        cell: cellEntry.CellEntry,
        entry: targetEntry.TargetEntry,
        outcome: callOutcome.CallOutcome,
    ): void => {
        const nowMs = scheduler.now();
        const before = entry.health.state.kind;
        cellEntry.updateMedian(cell, nowMs);
        callOutcome.applyCallOutcome(cell, entry, outcome, nowMs);
        logStateChange(entry, before);
        const current = targetEntry.findCurrentEntry(entry);
        if (!table.isConfigured(current) || !current.owned) {
            coldLeaseLimit.releaseLease(current, coldLeases);
            table.removeRetired(current);
        }
        if (cell.queue.count() > 0) {
            dispatchQueue(cell);
        }
    };

    const logStateChange = (entry: targetEntry.TargetEntry, before: types.TargetState["kind"]): void => {
        const after = entry.health.state.kind;
        if (after !== before) {
            logger.info("target: state changed", { target: entry.config.id, from: before, to: after });
        }
    };

    const dispatchQueue = (cell: cellEntry.CellEntry): void => {
        const nowMs = scheduler.now();
        updateCell(cell, nowMs);
        for (const waiter of cell.queue.list()) {
            const entry = findFree(cell, waiter.request, nowMs);
            if (entry !== undefined) {
                cell.queue.remove(waiter);
                waiter.resolve(acquireTarget(cell, entry, waiter.request, waiter.sinceMs));
            } else if (waiter.request.exclude.length === 0) {
                // No target has a free slot, so the calls behind this one cannot be served either.
                break;
            }
        }
        if (cell.queue.count() > 0 && cellEntry.computeCapacity(cell).expectedWaitMs === Infinity) {
            dispatchQueueAgain(cell);
        }
        scheduleRecheck(cell);
    };

    const scheduleRecheck = (cell: cellEntry.CellEntry): void => {
        if (cell.queue.count() === 0) {
            cell.recheckTimer?.dispose();
            cell.recheckTimer = undefined;
            return;
        }
        cell.recheckTimer ??= scheduler.schedule(recheckMs, () => {
            cell.recheckTimer = undefined;
            dispatchQueue(cell);
        });
    };

    const addWaiter = (cell: cellEntry.CellEntry, request: types.SlotRequest): Promise<types.SlotGrant> => {
        const nowMs = scheduler.now();
        const expiresAtMs = request.deadlineAtMs - cell.medianLatencyMs;
        const createLateRefusal = (): types.SlotGrant =>
            createRefusal(request, "deadline_exceeded_not_run", "the deadline leaves no time for the call");
        if (nowMs >= expiresAtMs) {
            return Promise.resolve(createLateRefusal());
        }
        if (cell.queue.count() >= cell.queueLimit) {
            return Promise.resolve(createRefusal(request, "queue_full", "too many calls wait for this service"));
        }
        return new Promise((resolve, reject) => {
            const waiter: waitQueue.Waiter = { request, sinceMs: nowMs, resolve, reject };
            const onExpire = (): void => {
                resolve(createLateRefusal());
                scheduleRecheck(cell);
            };
            cell.queue.add(waiter, { scheduler, expiresAtMs, onExpire });
            dispatchQueue(cell);
        });
    };

    const acquireByCost = (service: cellTables.ServiceEntry, request: types.SlotRequest): Promise<types.SlotGrant> => {
        const nowMs = scheduler.now();
        service.cells.forEach(cell => updateCell(cell, nowMs));
        const option = spillOver.pickOption(optionList.list(service, request, nowMs));
        if (option === undefined) {
            return Promise.resolve(
                createRefusal(request, "no_target", "no target of the service may receive the call"),
            );
        }
        if (option.kind === "local") {
            return addWaiter(option.cell, request);
        }
        optionList.recordForward(option.cell, option.member);
        logger.info("route: call forwarded to another owner", {
            call: request.call,
            cell: option.cell.id,
            vm: option.member.info.vm,
            costMs: roundMs(option.costMs),
            spill: service.homeCell !== undefined && option.cell !== service.homeCell,
        });
        return Promise.resolve({ kind: "remote", member: option.member, cell: option.cell.id });
    };

    const acquireSlot = (request: types.SlotRequest): Promise<types.SlotGrant> => {
        if (disposed) {
            return Promise.resolve(createRefusal(request, "leaving", "the entry VM is stopping"));
        }
        const service = table.findService(request.service);
        if (service === undefined) {
            const hasConfiguration = blackboard.configuration.get() !== undefined;
            const error = hasConfiguration ? "unknown_service" : "stale_configuration";
            return Promise.resolve(createRefusal(request, error, "the configuration has no such service"));
        }
        const homeCell = service.homeCell;
        if (homeCell !== undefined && homeCell.ownedTargets.length > 0 && homeCell.queue.count() === 0) {
            const nowMs = scheduler.now();
            updateCell(homeCell, nowMs);
            const entry = request.deadlineAtMs > nowMs ? findFree(homeCell, request, nowMs) : undefined;
            if (entry !== undefined) {
                return Promise.resolve(acquireTarget(homeCell, entry, request, nowMs));
            }
        }
        return acquireByCost(service, request);
    };

    /** Routes the waiting calls of a cell again, after the cell has lost its last usable owned target. */
    const dispatchQueueAgain = (cell: cellEntry.CellEntry): void => {
        for (const waiter of cell.queue.list()) {
            cell.queue.remove(waiter);
            void acquireSlot(waiter.request).then(waiter.resolve, waiter.reject);
        }
    };

    const updateTable = (): void => {
        table.update({
            configuration: blackboard.configuration.get(),
            ownership: blackboard.ownership.get(),
            leavingVms,
        });
        for (const entry of table.listTargets()) {
            if (!entry.owned) {
                coldLeaseLimit.releaseLease(entry, coldLeases);
            }
        }
        for (const cell of [...table.listCells()]) {
            if (cell.queue.count() === 0) {
                continue;
            }
            if (cell.ownedTargets.length === 0) {
                dispatchQueueAgain(cell);
            } else {
                dispatchQueue(cell);
            }
            scheduleRecheck(cell);
        }
    };

    const findCell = (entry: targetEntry.TargetEntry): cellEntry.CellEntry | undefined =>
        table.findService(entry.service)?.cells.find(cell => cell.ownedTargets.includes(entry));

    const dispatchQueueOfTarget = (target: shared.TargetId): void => {
        for (const cell of table.listCells()) {
            if (cell.queue.count() > 0 && cell.ownedTargets.some(entry => entry.config.id === target)) {
                dispatchQueue(cell);
            }
        }
    };

    disposables.add(blackboard.configuration.onDidChange(updateTable));
    disposables.add(blackboard.ownership.onDidChange(updateTable));
    disposables.add(coldLeases.onDidTake(dispatchQueueOfTarget));
    updateTable();

    return {
        acquire: request =>
            request.signal.aborted ? Promise.reject(request.signal.reason as Error) : acquireSlot(request),
        applyReport: (target, report, requestedAtMs) => {
            const entry = table.findTarget(target);
            if (entry === undefined) {
                return;
            }
            const before = entry.health.state.kind;
            if (requestedAtMs !== undefined) {
                callOutcome.applyProbeResponse(entry, scheduler.now());
            }
            callOutcome.applyTargetReport(entry, report, requestedAtMs, scheduler.now());
            logStateChange(entry, before);
            dispatchQueueOfTarget(target);
        },
        applyProbeFailure: target => {
            const entry = table.findTarget(target);
            const cell = entry === undefined ? undefined : findCell(entry);
            if (entry === undefined || cell === undefined) {
                return;
            }
            const before = entry.health.state.kind;
            callOutcome.applyFailure(cell, entry, true, scheduler.now());
            logStateChange(entry, before);
        },
        applyDisconnect: address => {
            for (const entry of table.listTargets()) {
                if (entry.config.address === address) {
                    const before = entry.health.state.kind;
                    const nowMs = scheduler.now();
                    entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "disconnected" }, nowMs);
                    logStateChange(entry, before);
                }
            }
        },
        setLeavingVms: vms => {
            const isSame = vms.size === leavingVms.size && [...vms].every(vm => leavingVms.has(vm));
            leavingVms = vms;
            if (!isSame) {
                updateTable();
            }
        },
        listTargets: () => views.listTargetViews(table),
        listCellLoads: () => views.listCellLoads(table, blackboard.self.vm, scheduler.now(), updateCell),
        dispose: () => {
            disposed = true;
            disposables.dispose();
            for (const cell of [...table.listCells()]) {
                dispatchQueueAgain(cell);
                scheduleRecheck(cell);
            }
        },
    };
};

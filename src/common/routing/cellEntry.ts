/**
 * State of a cell (the targets of one service in one zone) at an owner: its targets, its queue and the expected wait.
 */
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";
import * as targetEntry from "./targetEntry.js";
import * as waitQueue from "./waitQueue.js";

/** Shortest interval between updates of the median, each of which sorts the latencies. */
const medianIntervalMs = 50;
const meanLatencyWeight = 0.05;
/** Assumed wait if no target can take calls now but one may soon, such as a cold target without a lease. */
export const noCapacityWaitMs = 1_000;

export interface CellEntry {
    readonly id: shared.CellId;
    readonly service: shared.ServiceName;
    readonly zone: shared.ZoneName;
    /** Targets in service, with any owner. */
    targets: readonly targetEntry.TargetEntry[];
    /** Targets to which this entry VM sends calls. */
    ownedTargets: readonly targetEntry.TargetEntry[];
    /** Owners other than this entry VM, highest ranked first. */
    otherOwners: readonly membership.Member[];
    queueLimit: number;
    readonly queue: waitQueue.WaitQueue;
    medianLatencyMs: number;
    medianUpdatedAtMs: number;
    meanLatencyMs: number;
    /** Timer that rechecks the queue; set while the queue is not empty. */
    recheckTimer: shared.Disposable | undefined;
    /** Whether the limit of a slow target is lowered. */
    readonly lowersSlowLimit: boolean;
}

/**
 * Creates an empty cell.
 *
 * @param id - the cell
 * @param service - its service
 * @param zone - its zone
 * @param lowersSlowLimit - whether the limit of a slow target is lowered
 * @returns the cell
 */
export const createCellEntry = (
    id: shared.CellId,
    service: shared.ServiceName,
    zone: shared.ZoneName,
    lowersSlowLimit: boolean,
): CellEntry => ({
    id,
    service,
    zone,
    targets: [],
    ownedTargets: [],
    otherOwners: [],
    queueLimit: 0,
    queue: waitQueue.createWaitQueue(),
    medianLatencyMs: targetEntry.defaultLatencyMs,
    medianUpdatedAtMs: -Infinity,
    meanLatencyMs: targetEntry.defaultLatencyMs,
    recheckTimer: undefined,
    lowersSlowLimit,
});

/**
 * Updates the median latency of the cell's targets, unless it was updated recently.
 *
 * @param cell - the cell
 * @param nowMs - local monotonic time
 */
export const updateMedian = (cell: CellEntry, nowMs: number): void => {
    if (nowMs - cell.medianUpdatedAtMs < medianIntervalMs) {
        return;
    }
    cell.medianUpdatedAtMs = nowMs;
    const latencies = cell.ownedTargets.filter(entry => entry.responses > 0).map(entry => entry.latencyMs);
    latencies.sort((a, b) => a - b);
    // The lower median: with two targets, the slower one can still be detected as slow.
    cell.medianLatencyMs = latencies[(latencies.length - 1) >> 1] ?? cell.medianLatencyMs;
};

/**
 * Adds the latency of a response to the mean latency of the cell.
 *
 * @param cell - the cell
 * @param latencyMs - the latency
 */
export const recordCellLatency = (cell: CellEntry, latencyMs: number): void => {
    cell.meanLatencyMs += meanLatencyWeight * (latencyMs - cell.meanLatencyMs);
};

/** Capacity of a cell for a call that arrives now. */
export interface CellCapacity {
    readonly freeSlots: number;
    readonly slots: number;
    readonly expectedWaitMs: number;
}

/**
 * Computes the capacity of a cell and the expected wait. Limits must be up to date.
 *
 * @param cell - the cell
 * @returns the free slots, the sum of the limits, and the wait, which is infinite if all targets are draining
 */
export const computeCapacity = (cell: CellEntry): CellCapacity => {
    let freeSlots = 0;
    let slots = 0;
    let mayRecover = false;
    for (const entry of cell.ownedTargets) {
        freeSlots += Math.max(0, entry.limit - entry.inFlight);
        slots += entry.limit;
        mayRecover ||= entry.health.state.kind !== "draining";
    }
    if (slots === 0) {
        return { freeSlots, slots, expectedWaitMs: mayRecover ? noCapacityWaitMs : Infinity };
    }
    const queuedAhead = cell.queue.count();
    const expectedWaitMs = freeSlots > queuedAhead ? 0 : ((queuedAhead + 1) * cell.meanLatencyMs) / slots;
    return { freeSlots, slots, expectedWaitMs };
};

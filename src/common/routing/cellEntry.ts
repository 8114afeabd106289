/**
 * A cell as its owner sees it: its targets, its queue and what a call may expect.
 */
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";
import * as targetEntry from "./targetEntry.js";
import * as waitQueue from "./waitQueue.js";

/** The median is recomputed at most this often, because it costs a sort. */
const medianIntervalMs = 50;
const meanLatencyWeight = 0.05;
/** Wait assumed for a cell whose targets cannot take calls now but may soon, such as cold ones without a lease. */
export const noCapacityWaitMs = 1_000;

export interface CellEntry {
    readonly id: shared.CellId;
    readonly service: shared.ServiceName;
    readonly zone: shared.ZoneName;
    /** Targets in service, whoever owns them. */
    targets: readonly targetEntry.TargetEntry[];
    /** Those that this entry VM sends calls to. */
    ownedTargets: readonly targetEntry.TargetEntry[];
    /** Owners other than this entry VM, best first. */
    otherOwners: readonly membership.Member[];
    queueLimit: number;
    readonly queue: waitQueue.WaitQueue;
    medianLatencyMs: number;
    medianUpdatedAtMs: number;
    meanLatencyMs: number;
    /** Looks at the queue again; set while it is not empty. */
    recheckTimer: shared.Disposable | undefined;
    /** Whether the limit of a slow target drops. */
    readonly lowersSlowLimit: boolean;
}

/**
 * Creates an empty cell.
 *
 * @param id - the cell
 * @param service - its service
 * @param zone - its zone
 * @param lowersSlowLimit - whether the limit of a slow target drops
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
 * Updates the median latency of the cell's targets if it is due.
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
    // The lower median, so that one of two targets can be seen as slow.
    cell.medianLatencyMs = latencies[(latencies.length - 1) >> 1] ?? cell.medianLatencyMs;
};

/**
 * Records the latency of an answer of any target of the cell.
 *
 * @param cell - the cell
 * @param latencyMs - the latency
 */
export const recordCellLatency = (cell: CellEntry, latencyMs: number): void => {
    cell.meanLatencyMs += meanLatencyWeight * (latencyMs - cell.meanLatencyMs);
};

/** What a call that arrives now meets. */
export interface CellCapacity {
    readonly freeSlots: number;
    readonly slots: number;
    readonly expectedWaitMs: number;
}

/**
 * Computes the expected wait in a cell. Limits must be up to date.
 *
 * @param cell - the cell
 * @returns free slots, slots in use or free, and the wait; infinite if no target can take calls even later
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

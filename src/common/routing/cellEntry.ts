/**
 * A cell as its owner sees it: its targets, its queue and what a call may expect.
 */
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";
import * as targetEntry from "./targetEntry.js";
import * as waitQueue from "./waitQueue.js";

/** The median is recomputed at most this often, because it costs a sort. */
const medianIntervalMs = 50;
const meanWeight = 0.05;
/** Wait assumed for a cell whose targets cannot take calls now but may soon, such as cold ones without a lease. */
export const noCapacityWaitMs = 1_000;

export interface CellEntry {
    readonly id: shared.CellId;
    readonly service: shared.ServiceName;
    readonly zone: shared.ZoneName;
    /** Targets in service, whoever owns them. */
    targets: readonly targetEntry.TargetEntry[];
    /** Those that this entry VM sends calls to. */
    owned: readonly targetEntry.TargetEntry[];
    /** Owners other than this entry VM, best first. */
    peers: readonly membership.Member[];
    queueLimit: number;
    readonly queue: waitQueue.WaitQueue;
    medianMs: number;
    medianAtMs: number;
    meanMs: number;
    /** Looks at the queue again; set while it is not empty. */
    timer: shared.Disposable | undefined;
    /** Whether the limit of a slow target drops. */
    readonly limitDrop: boolean;
}

/**
 * Creates an empty cell.
 *
 * @param id - the cell
 * @param service - its service
 * @param zone - its zone
 * @param limitDrop - whether the limit of a slow target drops
 * @returns the cell
 */
export const createCellEntry = (
    id: shared.CellId,
    service: shared.ServiceName,
    zone: shared.ZoneName,
    limitDrop: boolean,
): CellEntry => ({
    id,
    service,
    zone,
    targets: [],
    owned: [],
    peers: [],
    queueLimit: 0,
    queue: waitQueue.createWaitQueue(),
    medianMs: targetEntry.defaultLatencyMs,
    medianAtMs: -Infinity,
    meanMs: targetEntry.defaultLatencyMs,
    timer: undefined,
    limitDrop,
});

/**
 * Updates the median latency of the cell's targets if it is due.
 *
 * @param cell - the cell
 * @param nowMs - local monotonic time
 */
export const updateMedian = (cell: CellEntry, nowMs: number): void => {
    if (nowMs - cell.medianAtMs < medianIntervalMs) {
        return;
    }
    cell.medianAtMs = nowMs;
    const latencies = cell.owned.filter(entry => entry.answers > 0).map(entry => entry.latencyMs);
    latencies.sort((a, b) => a - b);
    // The lower median, so that one of two targets can be seen as slow.
    cell.medianMs = latencies[(latencies.length - 1) >> 1] ?? cell.medianMs;
};

/**
 * Records the latency of an answer of any target of the cell.
 *
 * @param cell - the cell
 * @param latencyMs - the latency
 */
export const recordCellLatency = (cell: CellEntry, latencyMs: number): void => {
    cell.meanMs += meanWeight * (latencyMs - cell.meanMs);
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
    let mayReturn = false;
    for (const entry of cell.owned) {
        freeSlots += Math.max(0, entry.limit - entry.inFlight);
        slots += entry.limit;
        mayReturn ||= entry.health.state.kind !== "draining";
    }
    if (slots === 0) {
        return { freeSlots, slots, expectedWaitMs: mayReturn ? noCapacityWaitMs : Infinity };
    }
    const ahead = cell.queue.count();
    const expectedWaitMs = freeSlots > ahead ? 0 : ((ahead + 1) * cell.meanMs) / slots;
    return { freeSlots, slots, expectedWaitMs };
};

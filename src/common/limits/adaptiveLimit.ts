/**
 * Adaptive limit on the calls in flight at a target.
 */
import * as health from "../health/Types.js";
import * as targetHealth from "../health/targetHealth.js";

export const warmUpStepMs = 500;
export const recoveryStepMs = 200;

/** Configured slots of a target. */
export interface SlotCounts {
    readonly slots: number;
    readonly coldSlots: number;
}

const computeStateLimit = (current: health.TargetHealth, counts: SlotCounts, nowMs: number): number => {
    const { slots, coldSlots } = counts;
    const state = current.state;
    switch (state.kind) {
        case "unknown":
        case "cold":
            return Math.min(slots, coldSlots);
        case "warming":
            return Math.min(slots, coldSlots * 2 ** Math.floor((nowMs - state.sinceMs) / warmUpStepMs));
        case "warm":
            return current.recoveredAtMs === undefined
                ? slots
                : Math.min(slots, 1 + Math.floor((nowMs - current.recoveredAtMs) / recoveryStepMs));
        case "slow":
            return Math.min(slots, 1);
        case "draining":
            return 0;
        case "ejected":
            return nowMs >= state.untilMs ? Math.min(slots, 1) : 0;
    }
};

/**
 * Computes the concurrency limit of a target.
 *
 * @param current - health of the target
 * @param counts - its configured slots
 * @param slotsUsedByOthers - slots in use by other callers than this entry VM, by a fresh report
 * @param isLatencyHigh - whether its latency confirms the load by others
 * @param nowMs - local monotonic time
 * @returns the maximum number of calls in flight; at most the configured slots
 */
export const computeLimit = (
    current: health.TargetHealth,
    counts: SlotCounts,
    slotsUsedByOthers: number,
    isLatencyHigh: boolean,
    nowMs: number,
): number => {
    let limit = computeStateLimit(current, counts, nowMs);
    if (limit > counts.coldSlots && targetHealth.isCold(current, nowMs)) {
        limit = counts.coldSlots;
    }
    if (slotsUsedByOthers <= 0 || limit <= 1) {
        return limit;
    }
    // A report can be wrong. Unless the latency confirms it, it reduces the limit to half of the slots at most.
    const minLimit = isLatencyHigh ? 1 : Math.ceil(counts.slots / 2);
    return Math.min(limit, Math.max(minLimit, counts.slots - slotsUsedByOthers));
};

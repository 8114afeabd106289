/**
 * Applies reports and the outcomes of calls and probes to the record of a target.
 */
import * as targetHealth from "../health/targetHealth.js";
import * as cellEntry from "./cellEntry.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

export interface CallOutcome {
    readonly startMs: number;
    /** Whether the call was sent under the cold lease. */
    readonly isCold: boolean;
    readonly attemptReport: types.AttemptReport;
}

/** At most this share of a cell is ejected: if more targets fail, the fault is probably elsewhere. */
const maxEjectedShare = 0.5;

/**
 * Checks whether one more target of a cell may be ejected.
 *
 * @param cell - the cell
 * @returns true while at most half of its targets would be ejected
 */
export const mayEject = (cell: cellEntry.CellEntry): boolean => {
    const ejected = cell.ownedTargets.filter(entry => entry.health.state.kind === "ejected").length;
    return ejected + 1 <= cell.ownedTargets.length * maxEjectedShare;
};

/**
 * Applies a report that a target sent about itself.
 *
 * @param entry - the target
 * @param report - the report
 * @param requestedAtMs - when the request that this report responds to was sent, if known
 * @param nowMs - local monotonic time
 */
export const applyTargetReport = (
    entry: targetEntry.TargetEntry,
    report: types.TargetReport,
    requestedAtMs: number | undefined,
    nowMs: number,
): void => {
    targetEntry.recordReport(entry, report, nowMs);
    entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "reported", report, requestedAtMs }, nowMs);
};

/**
 * Records that a call or a probe failed.
 *
 * @param cell - the cell of the target
 * @param entry - the target
 * @param mayHaveRestarted - whether the connection broke or could not be opened
 * @param nowMs - local monotonic time
 */
export const applyFailure = (
    cell: cellEntry.CellEntry,
    entry: targetEntry.TargetEntry,
    mayHaveRestarted: boolean,
    nowMs: number,
): void => {
    entry.failures++;
    const event = { kind: "failed", mayEject: mayEject(cell), mayHaveRestarted } as const;
    entry.health = targetHealth.applyHealthEvent(entry.health, event, nowMs);
};

/**
 * Records that a probe got a response.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 */
export const applyProbeResponse = (entry: targetEntry.TargetEntry, nowMs: number): void => {
    entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "probed" }, nowMs);
    entry.failures = entry.health.failures;
};

const applyToHealth = (
    cell: cellEntry.CellEntry,
    entry: targetEntry.TargetEntry,
    outcome: CallOutcome,
    nowMs: number,
): void => {
    const attemptReport = outcome.attemptReport;
    switch (attemptReport.kind) {
        case "answered":
            entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "answered" }, nowMs);
            targetEntry.recordLatency(entry, attemptReport.latencyMs, nowMs);
            if (cell.lowersSlowLimit) {
                targetEntry.updateSlowness(entry, cell.medianLatencyMs, nowMs);
            }
            cellEntry.recordCellLatency(cell, attemptReport.latencyMs);
            break;
        case "refused":
            entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "answered" }, nowMs);
            targetEntry.recordRefusal(entry, nowMs);
            break;
        case "unreachable":
        case "broken":
        case "silent":
            applyFailure(cell, entry, attemptReport.kind !== "silent", nowMs);
            return;
        case "cancelled":
            return;
    }
    if (attemptReport.report !== undefined) {
        applyTargetReport(entry, attemptReport.report, outcome.startMs, nowMs);
    }
};

/**
 * Frees the slot of a call and applies the outcome to the target's health.
 *
 * @param cell - the cell of the target
 * @param entry - the target as it was when the call started
 * @param outcome - how the call ended
 * @param nowMs - local monotonic time
 */
export const applyCallOutcome = (
    cell: cellEntry.CellEntry,
    entry: targetEntry.TargetEntry,
    outcome: CallOutcome,
    nowMs: number,
): void => {
    targetEntry.removeCall(targetEntry.findCurrentEntry(entry), outcome.startMs, outcome.isCold);
    // If the target's address has changed, the outcome concerns the previous server.
    if (entry.successor === undefined) {
        applyToHealth(cell, entry, outcome, nowMs);
    }
};

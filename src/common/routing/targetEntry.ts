/**
 * Mutable record of a target at an entry VM, with the limit derived from the target's health.
 */
import * as adaptiveLimit from "../limits/adaptiveLimit.js";
import * as config from "../config/Types.js";
import * as health from "../health/Types.js";
import * as targetHealth from "../health/targetHealth.js";
import * as shared from "../Types.js";
import * as pickTarget from "./pickTarget.js";
import * as types from "./Types.js";

/** Assumed latency of a target that has not responded yet. */
export const defaultLatencyMs = 10;
/** Weight of a new sample in the smoothed latency. */
export const latencyWeight = 0.1;
/** Weight for a slow target, which gets fewer calls: with the usual weight its recovery would be detected too late. */
export const slowLatencyWeight = 0.2;
/** Time for which the busy slots in a report are used, and length of the period of a peak. */
export const reportFreshnessMs = 500;
/** After this time without calls, a slow target is assumed to have at most the median latency of its cell again. */
export const slowRetryMs = 1_000;
/** Bounds of the pause after a refusal; it doubles with each failure since the last response. */
const baseRefusalPauseMs = 20;
const maxRefusalPauseMs = 1_000;
/** Smaller differences from the median do not count as slowness, whatever the ratio. */
const minSlowDifferenceMs = 2;

export interface TargetEntry extends pickTarget.Candidate {
    config: config.TargetConfig;
    service: shared.ServiceName;
    /** Whether this entry VM may send calls to it according to ownership and configuration. */
    owned: boolean;
    health: health.TargetHealth;
    limit: number;
    inFlight: number;
    /** Calls in flight that were sent under the cold lease. */
    coldInFlight: number;
    latencyMs: number;
    responses: number;
    respondedAtMs: number;
    oldestStartMs: number | undefined;
    /** Start times of the calls in flight, oldest first. */
    readonly startTimesMs: number[];
    failures: number;
    /** The target gets no calls before this time, because it refused one. */
    pausedUntilMs: number;
    lastReport: types.TargetReport | undefined;
    reportedAtMs: number | undefined;
    /** Busy slots in the last report that other callers occupy. */
    slotsUsedByOthers: number;
    /** Maximum number of calls in flight in the current period; `previousPeakInFlight` is that of the period before. */
    peakInFlight: number;
    previousPeakInFlight: number;
    peakPeriodStartMs: number;
    /** When the cold lease was last requested. */
    leaseRequestedAtMs: number;
    isLeaseRequested: boolean;
    /** Time by which a call under the cold lease must have ended; undefined if none may be sent. */
    coldEndMs: number | undefined;
    /** Record that took over the calls in flight when the target's address changed. */
    successor: TargetEntry | undefined;
}

/**
 * Creates the record of a target with which there has been no contact.
 *
 * @param target - its configuration
 * @param service - its service
 * @returns the record
 */
export const createTargetEntry = (target: config.TargetConfig, service: shared.ServiceName): TargetEntry => ({
    config: target,
    service,
    owned: false,
    health: targetHealth.initialHealth,
    limit: 0,
    inFlight: 0,
    coldInFlight: 0,
    latencyMs: defaultLatencyMs,
    responses: 0,
    respondedAtMs: 0,
    oldestStartMs: undefined,
    startTimesMs: [],
    failures: 0,
    pausedUntilMs: 0,
    lastReport: undefined,
    reportedAtMs: undefined,
    slotsUsedByOthers: 0,
    peakInFlight: 0,
    previousPeakInFlight: 0,
    peakPeriodStartMs: 0,
    leaseRequestedAtMs: -Infinity,
    isLeaseRequested: false,
    coldEndMs: undefined,
    successor: undefined,
});

/**
 * Copies the calls in flight to the record that replaces this one.
 *
 * @param from - record of the previous server; its calls in flight still end there
 * @param to - record of the new server
 */
export const mergeCalls = (from: TargetEntry, to: TargetEntry): void => {
    to.inFlight = from.inFlight;
    to.coldInFlight = from.coldInFlight;
    to.isLeaseRequested = from.isLeaseRequested;
    to.startTimesMs.push(...from.startTimesMs);
    to.oldestStartMs = from.oldestStartMs;
    from.successor = to;
};

/**
 * Finds the record that currently counts the calls of a target.
 *
 * @param entry - a record, possibly replaced
 * @returns the record in use
 */
export const findCurrentEntry = (entry: TargetEntry): TargetEntry => {
    let current = entry;
    while (current.successor !== undefined) {
        current = current.successor;
    }
    return current;
};

/** Checks whether slowness, past or present, is the only reason why the limit may be lowered. */
const isLoweredForSlowness = (entry: TargetEntry, nowMs: number): boolean => {
    const kind = entry.health.state.kind;
    return (kind === "slow" || kind === "warm") && !targetHealth.isCold(entry.health, nowMs);
};

/**
 * Updates the limit of a target; the cold lease is not considered here.
 *
 * @param entry - the target
 * @param medianLatencyMs - median latency of its cell
 * @param waitMs - expected wait in the queue of its cell
 * @param nowMs - local monotonic time
 */
export const updateLimit = (entry: TargetEntry, medianLatencyMs: number, waitMs: number, nowMs: number): void => {
    if (!entry.owned || nowMs < entry.pausedUntilMs) {
        entry.limit = 0;
        return;
    }
    const isFresh = entry.reportedAtMs !== undefined && nowMs - entry.reportedAtMs <= reportFreshnessMs;
    const isLatencyHigh = entry.latencyMs > targetHealth.recoveredRatio * medianLatencyMs;
    const slotsUsedByOthers = isFresh ? entry.slotsUsedByOthers : 0;
    entry.limit = adaptiveLimit.computeLimit(entry.health, entry.config, slotsUsedByOthers, isLatencyHigh, nowMs);
    if (entry.health.state.kind === "warming" && entry.limit >= entry.config.slots) {
        entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "warmedUp" }, nowMs);
    }
    const isIdle = entry.inFlight === 0 && nowMs - entry.respondedAtMs > slowRetryMs;
    if (entry.health.state.kind === "slow" && isIdle) {
        entry.latencyMs = Math.min(entry.latencyMs, medianLatencyMs);
    }
    // A low limit helps only while other targets have free slots. Otherwise a slow slot is better than a longer wait.
    // If the additional calls make the target even slower, this comparison fails and the limit is lowered again.
    const isSlowSlotFaster = waitMs > 0 && entry.latencyMs < waitMs + medianLatencyMs && slotsUsedByOthers === 0;
    if (isSlowSlotFaster && isLoweredForSlowness(entry, nowMs)) {
        entry.limit = entry.config.slots;
    }
};

/**
 * Records that a call starts.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @param isCold - whether it is sent under the cold lease
 */
export const addCall = (entry: TargetEntry, nowMs: number, isCold: boolean): void => {
    entry.inFlight++;
    entry.coldInFlight += isCold ? 1 : 0;
    entry.startTimesMs.push(nowMs);
    entry.oldestStartMs ??= nowMs;
    if (nowMs - entry.peakPeriodStartMs > reportFreshnessMs) {
        entry.previousPeakInFlight = entry.peakInFlight;
        entry.peakInFlight = 0;
        entry.peakPeriodStartMs = nowMs;
    }
    entry.peakInFlight = Math.max(entry.peakInFlight, entry.inFlight);
};

/**
 * Records that a call has ended.
 *
 * @param entry - the target
 * @param startMs - when it started
 * @param isCold - whether it was sent under the cold lease
 */
export const removeCall = (entry: TargetEntry, startMs: number, isCold: boolean): void => {
    entry.inFlight--;
    entry.coldInFlight -= isCold ? 1 : 0;
    entry.startTimesMs.splice(entry.startTimesMs.indexOf(startMs), 1);
    entry.oldestStartMs = entry.startTimesMs[0];
};

/**
 * Records a report and the number of busy slots that other callers occupy.
 *
 * @param entry - the target
 * @param report - the report
 * @param nowMs - local monotonic time
 */
export const recordReport = (entry: TargetEntry, report: types.TargetReport, nowMs: number): void => {
    entry.lastReport = report;
    entry.reportedAtMs = nowMs;
    // Calls of this entry VM may have ended since the report was made, so the recent peak is subtracted.
    const ownInFlight = Math.max(entry.peakInFlight, entry.previousPeakInFlight, entry.inFlight);
    entry.slotsUsedByOthers = Math.max(0, (report.busy ?? 0) - ownInFlight);
};

/**
 * Records the latency of a response.
 *
 * @param entry - the target
 * @param latencyMs - time from sending the request to the end of the response
 * @param nowMs - local monotonic time
 */
export const recordLatency = (entry: TargetEntry, latencyMs: number, nowMs: number): void => {
    const weight = entry.health.state.kind === "slow" ? slowLatencyWeight : latencyWeight;
    entry.latencyMs = entry.responses === 0 ? latencyMs : entry.latencyMs + weight * (latencyMs - entry.latencyMs);
    entry.responses++;
    entry.respondedAtMs = nowMs;
    entry.failures = 0;
};

/**
 * Compares the smoothed latency of a target with that of its cell.
 *
 * @param entry - the target
 * @param medianLatencyMs - median latency of its cell
 * @param nowMs - local monotonic time
 */
export const updateSlowness = (entry: TargetEntry, medianLatencyMs: number, nowMs: number): void => {
    const ratio = entry.latencyMs < medianLatencyMs + minSlowDifferenceMs ? 1 : entry.latencyMs / medianLatencyMs;
    entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "compared", ratio }, nowMs);
};

/**
 * Records that a target refused a call, and pauses calls to it with exponential backoff.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 */
export const recordRefusal = (entry: TargetEntry, nowMs: number): void => {
    const pauseMs = Math.min(maxRefusalPauseMs, baseRefusalPauseMs * 2 ** Math.min(entry.failures, 10));
    entry.failures++;
    entry.pausedUntilMs = nowMs + pauseMs;
};

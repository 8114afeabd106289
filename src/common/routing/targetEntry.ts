/**
 * Mutable record of a target in its owner, with the limit derived from its health.
 */
import * as adaptiveLimit from "../limits/adaptiveLimit.js";
import * as config from "../config/Types.js";
import * as health from "../health/Types.js";
import * as targetHealth from "../health/targetHealth.js";
import * as shared from "../Types.js";
import * as pickTarget from "./pickTarget.js";
import * as types from "./Types.js";

/** Latency assumed for a target without an answer. */
export const defaultLatencyMs = 10;
/** Weight of a new sample in the smoothed latency. */
export const latencyWeight = 0.1;
/** The same for a slow target, which gets fewer calls and would otherwise be found to have recovered too late. */
export const slowLatencyWeight = 0.2;
export const reportFreshnessMs = 500;
/** A slow target without calls for this long is tried again with the usual latency of its cell. */
export const slowRetryMs = 1_000;
const firstRefusalPauseMs = 20;
const longestRefusalPauseMs = 1_000;
/** Differences below this are not taken for slowness, whatever the ratio. */
const minSlowDifferenceMs = 2;

export interface TargetEntry extends pickTarget.Candidate {
    config: config.TargetConfig;
    service: shared.ServiceName;
    /** Whether this entry VM sends calls to it, as far as ownership and configuration say. */
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
    /** A target that refused gets no call before this time. */
    pausedUntilMs: number;
    lastReport: types.TargetReport | undefined;
    reportedAtMs: number | undefined;
    /** Busy slots in the last report that this entry VM cannot account for. */
    foreignBusy: number;
    /** Most calls in flight in this period and the one before. */
    peakInFlight: number;
    previousPeakInFlight: number;
    peakPeriodStartMs: number;
    /** When the cold lease was last asked for. */
    leaseRequestedAtMs: number;
    isLeaseRequested: boolean;
    /** Until when a call under the cold lease may run; undefined if none may be sent. */
    coldEndMs: number | undefined;
    /** Record that took over the calls in flight, after the target's address has changed. */
    successor: TargetEntry | undefined;
}

/**
 * Creates the record of a target that has never been seen.
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
    foreignBusy: 0,
    peakInFlight: 0,
    previousPeakInFlight: 0,
    peakPeriodStartMs: 0,
    leaseRequestedAtMs: -Infinity,
    isLeaseRequested: false,
    coldEndMs: undefined,
    successor: undefined,
});

/**
 * Lets a new record count the calls of the one that it replaces.
 *
 * @param from - record of the former server; its calls still end there
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
 * Finds the record that counts the calls of a target now.
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

/** Tells whether the limit was lowered for slowness only, or still grows after that. */
const isLoweredForSlowness = (entry: TargetEntry, nowMs: number): boolean => {
    const kind = entry.health.state.kind;
    return (kind === "slow" || kind === "warm") && !targetHealth.isCold(entry.health, nowMs);
};

/**
 * Updates the limit of a target, without regard to its cold lease.
 *
 * @param entry - the target
 * @param medianLatencyMs - median latency of its cell
 * @param waitMs - expected time in the queue of its cell
 * @param nowMs - local monotonic time
 */
export const updateLimit = (entry: TargetEntry, medianLatencyMs: number, waitMs: number, nowMs: number): void => {
    if (!entry.owned || nowMs < entry.pausedUntilMs) {
        entry.limit = 0;
        return;
    }
    const isFresh = entry.reportedAtMs !== undefined && nowMs - entry.reportedAtMs <= reportFreshnessMs;
    const isLatencyHigh = entry.latencyMs > targetHealth.recoveredRatio * medianLatencyMs;
    const foreignBusy = isFresh ? entry.foreignBusy : 0;
    entry.limit = adaptiveLimit.computeLimit(entry.health, entry.config, foreignBusy, isLatencyHigh, nowMs);
    if (entry.health.state.kind === "warming" && entry.limit >= entry.config.slots) {
        entry.health = targetHealth.applyHealthEvent(entry.health, { kind: "warmedUp" }, nowMs);
    }
    const isIdle = entry.inFlight === 0 && nowMs - entry.respondedAtMs > slowRetryMs;
    if (entry.health.state.kind === "slow" && isIdle) {
        entry.latencyMs = Math.min(entry.latencyMs, medianLatencyMs);
    }
    // A low limit helps while other targets have room. Otherwise a slow slot is better than a long wait; if the further
    // calls make the target slower still, this comparison ends it.
    const isSlowSlotFaster = waitMs > 0 && entry.latencyMs < waitMs + medianLatencyMs && foreignBusy === 0;
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
 * Records a report and what it says about calls of others.
 *
 * @param entry - the target
 * @param report - the report
 * @param nowMs - local monotonic time
 */
export const recordReport = (entry: TargetEntry, report: types.TargetReport, nowMs: number): void => {
    entry.lastReport = report;
    entry.reportedAtMs = nowMs;
    // The report may be older than calls that have ended since, so the recent peak counts as this entry VM's own.
    const ownInFlight = Math.max(entry.peakInFlight, entry.previousPeakInFlight, entry.inFlight);
    entry.foreignBusy = Math.max(0, (report.busy ?? 0) - ownInFlight);
};

/**
 * Records the latency of an answer.
 *
 * @param entry - the target
 * @param latencyMs - time from sending to the end of the answer
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
 * Records that a target refused a call, so that it is left alone for a short time.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 */
export const recordRefusal = (entry: TargetEntry, nowMs: number): void => {
    const pauseMs = Math.min(longestRefusalPauseMs, firstRefusalPauseMs * 2 ** Math.min(entry.failures, 10));
    entry.failures++;
    entry.pausedUntilMs = nowMs + pauseMs;
};

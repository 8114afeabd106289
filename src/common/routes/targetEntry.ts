/**
 * What an entry VM knows of one target.
 */
import * as slowdowns from "./slowdown.js";
import * as types from "./Types.js";

/** Weight of an attempt in the estimate of a target's pace and failures. */
const paceWeight = 0.1;
const failureWeight = 0.3;
/** Bounds of the estimated pace; a single odd answer must not exclude a target for long. */
const slowestPace = 3;
const quickestPace = 0.3;
/** Failures are forgotten at this rate, so that a target that recovered is tried again. */
const failureLifetimeMs = 2_000;
/** Counts of others age fast: an answer takes about a tenth of a second. */
const otherCountLifetimeMs = 150;
/** First ejection after this many failed attempts in a row; each further one doubles the time. */
const ejectAfterFailures = 3;
const firstEjectionMs = 1_000;
const longestEjectionMs = 8_000;
/** An attempt that takes this multiple of its expected time shows that the target has turned slow. */
const overdueFactor = 1.5;
const rateWindowMs = 1_000;

/** An attempt in flight. */
export interface Flight {
    readonly startedAtMs: number;
    /** Time that the attempt would take at a target of the usual pace. */
    readonly usualMs: number;
}

/** Mutable record of a target; the target book is its only writer. */
export interface TargetEntry {
    registration: types.Registration;
    readonly flights: Set<Flight>;
    coldUntilMs: number;
    /** Requests of others in flight, by the last report. */
    others: number;
    othersAtMs: number;
    slowdown: number | undefined;
    reportedAtMs: number;
    /** Time that work takes here, as a multiple of the mean of the service. */
    pace: number;
    failureShare: number;
    failedAtMs: number;
    failuresInARow: number;
    ejectedUntilMs: number;
    /** Times of the sends in the last second. */
    readonly sends: number[];
    probedAtMs: number;
}

/**
 * Creates the entry of a target that is new to this VM.
 *
 * @param registration - its row
 * @param nowMs - local monotonic time
 * @returns the entry
 */
export const createTargetEntry = (registration: types.Registration, nowMs: number): TargetEntry => ({
    registration,
    flights: new Set(),
    coldUntilMs: registration.coldLeftMs > 0 ? nowMs + registration.coldLeftMs : 0,
    others: 0,
    othersAtMs: nowMs,
    slowdown: undefined,
    reportedAtMs: -Infinity,
    pace: 1,
    failureShare: 0,
    failedAtMs: nowMs,
    failuresInARow: 0,
    ejectedUntilMs: 0,
    sends: [],
    probedAtMs: -Infinity,
});

/**
 * Computes the requests in flight at a target, from all VMs as far as known.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns a number, not always whole
 */
export const computeInFlight = (entry: TargetEntry, nowMs: number): number =>
    entry.flights.size + entry.others * Math.exp(-(nowMs - entry.othersAtMs) / otherCountLifetimeMs);

/**
 * Computes the slowdown to expect, from the last report and from attempts that are overdue.
 *
 * @param entry - the target
 * @param mean - mean over the targets of the service
 * @param nowMs - local monotonic time
 * @returns a multiple of the usual time
 */
export const computeSlowdown = (entry: TargetEntry, mean: number, nowMs: number): number => {
    let slowdown = slowdowns.computeSlowdown(entry.slowdown, nowMs - entry.reportedAtMs, mean);
    for (const flight of entry.flights) {
        const isNewer = flight.startedAtMs + flight.usualMs > entry.reportedAtMs;
        const shown = (nowMs - flight.startedAtMs) / (flight.usualMs * entry.pace);
        if (isNewer && shown > overdueFactor) {
            slowdown = Math.max(slowdown, shown);
        }
    }
    return slowdown;
};

/**
 * Computes the share of attempts that fail at a target.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns a share between 0 and 1
 */
export const computeFailureShare = (entry: TargetEntry, nowMs: number): number =>
    entry.failureShare * Math.exp(-(nowMs - entry.failedAtMs) / failureLifetimeMs);

/**
 * Counts the sends of the last second.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns the count
 */
export const countRecentSends = (entry: TargetEntry, nowMs: number): number => {
    while (entry.sends[0] !== undefined && entry.sends[0] <= nowMs - rateWindowMs) {
        entry.sends.shift();
    }
    return entry.sends.length;
};

/**
 * Records the target's own report.
 *
 * @param entry - the target
 * @param report - the report
 * @param own - attempts of this VM that the report counts as running or waiting
 * @param nowMs - local monotonic time
 */
export const recordReport = (entry: TargetEntry, report: types.LoadReport, own: number, nowMs: number): void => {
    entry.others = Math.max(0, report.running + report.waiting - own);
    entry.othersAtMs = nowMs;
    if (report.slowdown !== undefined) {
        entry.slowdown = report.slowdown;
        entry.reportedAtMs = nowMs;
    }
};

/**
 * Records that an attempt failed.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 */
export const recordFailure = (entry: TargetEntry, nowMs: number): void => {
    const share = computeFailureShare(entry, nowMs);
    entry.failureShare = share + failureWeight * (1 - share);
    entry.failedAtMs = nowMs;
    entry.failuresInARow++;
    if (entry.failuresInARow >= ejectAfterFailures) {
        const doublings = entry.failuresInARow - ejectAfterFailures;
        entry.ejectedUntilMs = nowMs + Math.min(longestEjectionMs, firstEjectionMs * 2 ** doublings);
    }
};

/**
 * Records an answer of the target's service.
 *
 * @param entry - the target
 * @param flight - the attempt
 * @param nowMs - local monotonic time
 */
export const recordSuccess = (entry: TargetEntry, flight: Flight, nowMs: number): void => {
    entry.failureShare = computeFailureShare(entry, nowMs) * (1 - failureWeight);
    entry.failedAtMs = nowMs;
    entry.failuresInARow = 0;
    entry.ejectedUntilMs = 0;
    const multiple = (nowMs - flight.startedAtMs) / flight.usualMs;
    if (entry.slowdown === undefined) {
        return;
    }
    entry.pace += paceWeight * (multiple / Math.max(1, entry.slowdown) - entry.pace);
    entry.pace = Math.min(slowestPace, Math.max(quickestPace, entry.pace));
};

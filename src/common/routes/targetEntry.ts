/**
 * State that an entry VM keeps about one target.
 */
import * as slowdowns from "./slowdown.js";
import * as types from "./Types.js";

/** Weights of one attempt in the moving averages of a target's latency ratio and failure rate. */
const latencyRatioWeight = 0.1;
const failureWeight = 0.3;
/** Bounds of the latency ratio; a single outlier must not exclude a target for long. */
const maxLatencyRatio = 3;
const minLatencyRatio = 0.3;
/** Time constant of the failure rate's decay, so that a target that recovered is tried again. */
const failureDecayMs = 2_000;
/** Time constant for the decay of `othersInFlight`; a response takes about a tenth of a second. */
const othersInFlightDecayMs = 150;
/** Consecutive failed attempts before the first ejection; each further failure doubles the ejection time. */
const ejectionThreshold = 3;
const baseEjectionMs = 1_000;
const maxEjectionMs = 8_000;
/** Longer than the row of a target that has ended stays in the store. */
const misdirectionMs = 8_000;
/** An attempt that takes this multiple of its expected time indicates that the target has become slow. */
const overdueFactor = 1.5;

/** An attempt in flight. */
export interface InFlightAttempt {
    readonly startedAtMs: number;
    /** Latency of the route at a target of average speed without slowdown. */
    readonly typicalMs: number;
}

/** Mutable state of a target; the target pool is its only writer. */
export interface TargetEntry {
    registration: types.Registration;
    readonly inFlightAttempts: Set<InFlightAttempt>;
    coldUntilMs: number;
    /** Requests in flight from other VMs, by the last report. */
    othersInFlight: number;
    loadReportedAtMs: number;
    slowdown: number | undefined;
    slowdownReportedAtMs: number;
    /** Latency at this target as a multiple of the typical latency, apart from the reported slowdown. */
    latencyRatio: number;
    failureRate: number;
    failureRateAtMs: number;
    consecutiveFailures: number;
    ejectedUntilMs: number;
    /** Until when the target gets nothing, as another one has responded at its address. */
    misdirectedUntilMs: number;
    /** Until when the target has asked this VM for no requests. */
    pausedUntilMs: number;
    /** Whether the target has said in a response that it is leaving; it never returns from that. */
    isLeaving: boolean;
    /** When the registration disappeared; undefined while the target is registered. */
    removedAtMs: number | undefined;
    probedAtMs: number;
    /** When the target last responded to anything. */
    respondedAtMs: number;
}

/**
 * Creates the entry of a newly registered target.
 *
 * @param registration - row of the target
 * @param nowMs - local monotonic time
 * @returns the entry
 */
export const createTargetEntry = (registration: types.Registration, nowMs: number): TargetEntry => ({
    registration,
    inFlightAttempts: new Set(),
    coldUntilMs: registration.coldLeftMs > 0 ? nowMs + registration.coldLeftMs : 0,
    othersInFlight: 0,
    loadReportedAtMs: nowMs,
    slowdown: undefined,
    slowdownReportedAtMs: -Infinity,
    latencyRatio: 1,
    failureRate: 0,
    failureRateAtMs: nowMs,
    consecutiveFailures: 0,
    ejectedUntilMs: 0,
    misdirectedUntilMs: 0,
    pausedUntilMs: 0,
    isLeaving: false,
    removedAtMs: undefined,
    probedAtMs: -Infinity,
    respondedAtMs: -Infinity,
});

/**
 * Checks whether a target takes requests, by its row and by its own responses.
 *
 * @param entry - the target
 * @returns false once it is draining or leaving
 */
export const isServing = (entry: TargetEntry): boolean => entry.registration.state === "ready" && !entry.isLeaving;

/**
 * Checks whether a target has asked this VM for no requests.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns true until the end of the pause
 */
export const isPaused = (entry: TargetEntry, nowMs: number): boolean => nowMs < entry.pausedUntilMs;

/**
 * Checks whether a target is cold.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns true while it is cold
 */
export const isCold = (entry: TargetEntry, nowMs: number): boolean => nowMs < entry.coldUntilMs;

/**
 * Estimates the requests in flight at a target from all VMs.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns the estimate; may be fractional
 */
export const computeInFlight = (entry: TargetEntry, nowMs: number): number =>
    entry.inFlightAttempts.size +
    entry.othersInFlight * Math.exp(-(nowMs - entry.loadReportedAtMs) / othersInFlightDecayMs);

/**
 * Computes the expected slowdown from the last report and overdue attempts.
 *
 * @param entry - the target
 * @param mean - mean over the targets of the service
 * @param nowMs - local monotonic time
 * @returns the slowdown, as a multiple of the normal processing time
 */
export const computeSlowdown = (entry: TargetEntry, mean: number, nowMs: number): number => {
    let slowdown = slowdowns.computeSlowdown(entry.slowdown, nowMs - entry.slowdownReportedAtMs, mean);
    for (const attempt of entry.inFlightAttempts) {
        const isNewer = attempt.startedAtMs + attempt.typicalMs > entry.slowdownReportedAtMs;
        const observedSlowdown = (nowMs - attempt.startedAtMs) / (attempt.typicalMs * entry.latencyRatio);
        if (isNewer && observedSlowdown > overdueFactor) {
            slowdown = Math.max(slowdown, observedSlowdown);
        }
    }
    return slowdown;
};

/**
 * Computes the failure rate of a target, decayed since its last update.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 * @returns a share between 0 and 1
 */
export const computeFailureRate = (entry: TargetEntry, nowMs: number): number =>
    entry.failureRate * Math.exp(-(nowMs - entry.failureRateAtMs) / failureDecayMs);

/**
 * Records a load report of the target.
 *
 * @param entry - the target
 * @param report - the report
 * @param ownInFlight - attempts of this VM that the report includes as running or waiting
 * @param nowMs - local monotonic time
 */
export const recordReport = (
    entry: TargetEntry,
    report: types.LoadReport,
    ownInFlight: number,
    nowMs: number,
): void => {
    entry.othersInFlight = Math.max(0, report.running + report.waiting - ownInFlight);
    entry.loadReportedAtMs = nowMs;
    if (report.slowdown !== undefined) {
        entry.slowdown = report.slowdown;
        entry.slowdownReportedAtMs = nowMs;
    }
};

/**
 * Records a failed attempt and ejects the target after several in a row.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 */
export const recordFailure = (entry: TargetEntry, nowMs: number): void => {
    const rate = computeFailureRate(entry, nowMs);
    entry.failureRate = rate + failureWeight * (1 - rate);
    entry.failureRateAtMs = nowMs;
    entry.consecutiveFailures++;
    if (entry.consecutiveFailures >= ejectionThreshold) {
        const doublings = entry.consecutiveFailures - ejectionThreshold;
        entry.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, baseEjectionMs * 2 ** doublings);
    }
};

/**
 * Records a refusal. A target that refuses although it has free slots would look idle and attract all requests; one that
 * is full is healthy.
 *
 * @param entry - the target
 * @param report - the load that it reported with the refusal
 * @param nowMs - local monotonic time
 */
export const recordRefusal = (entry: TargetEntry, report: types.LoadReport | undefined, nowMs: number): void => {
    const isFull = report !== undefined && report.running + report.waiting >= report.slots;
    if (!isFull) {
        recordFailure(entry, nowMs);
    }
};

/**
 * Records that another target responded at the address.
 *
 * @param entry - the target
 * @param nowMs - local monotonic time
 */
export const recordMisdirection = (entry: TargetEntry, nowMs: number): void => {
    entry.misdirectedUntilMs = nowMs + misdirectionMs;
};

/**
 * Records a successful attempt, which also ends an ejection.
 *
 * @param entry - the target
 * @param attempt - the attempt
 * @param nowMs - local monotonic time
 */
export const recordSuccess = (entry: TargetEntry, attempt: InFlightAttempt, nowMs: number): void => {
    entry.failureRate = computeFailureRate(entry, nowMs) * (1 - failureWeight);
    entry.failureRateAtMs = nowMs;
    entry.consecutiveFailures = 0;
    entry.ejectedUntilMs = 0;
    const observedRatio = (nowMs - attempt.startedAtMs) / attempt.typicalMs;
    if (entry.slowdown === undefined) {
        return;
    }
    entry.latencyRatio += latencyRatioWeight * (observedRatio / Math.max(1, entry.slowdown) - entry.latencyRatio);
    entry.latencyRatio = Math.min(maxLatencyRatio, Math.max(minLatencyRatio, entry.latencyRatio));
};

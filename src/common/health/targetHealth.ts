/**
 * State transitions of a target's health.
 */
import * as routing from "../routing/Types.js";
import * as types from "./Types.js";

export const ejectionThreshold = 3;
export const baseEjectionMs = 500;
export const maxEjectionMs = 30_000;
/** A target that was unreachable for longer may have restarted unnoticed. */
export const unreachableColdMs = 5_000;
/** A failure within this time after a change of the boot id means that the target has not started successfully. */
export const bootSettleMs = 10_000;
/** After this time without an ejection, the next one lasts the base time again. */
export const ejectionResetMs = 60_000;
/** Multiples of the cell's median latency above which a target becomes slow, and below which it recovers. */
export const slowRatio = 3;
export const recoveredRatio = 1.5;

/** Health of a target with which there has been no contact. */
export const initialHealth: types.TargetHealth = {
    state: { kind: "unknown" },
    boot: undefined,
    bootLearnedAtMs: undefined,
    bootChangedAtMs: undefined,
    downgradedAtMs: undefined,
    failures: 0,
    failingSinceMs: undefined,
    returnsCold: false,
    ejections: 0,
    ejectedAtMs: undefined,
    recoveredAtMs: undefined,
};

const isLongUnreachable = (health: types.TargetHealth, nowMs: number): boolean =>
    health.failingSinceMs !== undefined && nowMs - health.failingSinceMs > unreachableColdMs;

/**
 * Checks whether a call to the target needs its cold lease.
 *
 * @param health - what is known of the target
 * @param nowMs - local monotonic time
 * @returns true if the target may still be cold
 */
export const isCold = (health: types.TargetHealth, nowMs: number): boolean => {
    const kind = health.state.kind;
    if (kind === "unknown" || kind === "cold") {
        return true;
    }
    return (kind === "ejected" && health.returnsCold) || isLongUnreachable(health, nowMs);
};

const applyCold = (health: types.TargetHealth, nowMs: number): types.TargetHealth => {
    if (health.state.kind === "ejected") {
        return { ...health, returnsCold: true, downgradedAtMs: nowMs };
    }
    return { ...health, state: { kind: "cold" }, downgradedAtMs: nowMs };
};

const applyWarm = (
    health: types.TargetHealth,
    requestedAtMs: number | undefined,
    nowMs: number,
): types.TargetHealth => {
    // The report may be outdated if its request time is unknown or before the last change to a lower state.
    if (
        requestedAtMs === undefined ||
        (health.downgradedAtMs !== undefined && requestedAtMs <= health.downgradedAtMs)
    ) {
        return health;
    }
    switch (health.state.kind) {
        case "unknown":
            // Its cold start ended before this VM saw it. A new warm-up would cost capacity at each change of owner.
            return { ...health, state: { kind: "warm" } };
        case "cold":
        case "draining":
            return { ...health, state: { kind: "warming", sinceMs: nowMs } };
        case "ejected":
            return { ...health, returnsCold: false };
        case "warming":
        case "warm":
        case "slow":
            return health;
    }
};

const applyReport = (
    health: types.TargetHealth,
    report: routing.TargetReport,
    requestedAtMs: number | undefined,
    nowMs: number,
): types.TargetHealth => {
    let next = health;
    if (report.boot !== undefined && report.boot !== health.boot) {
        const mayBeStale =
            health.bootLearnedAtMs !== undefined &&
            (requestedAtMs === undefined || requestedAtMs <= health.bootLearnedAtMs);
        if (mayBeStale) {
            return report.state === "cold" ? applyCold(health, nowMs) : health;
        }
        const learned = { ...health, boot: report.boot, bootLearnedAtMs: nowMs };
        // The time of the last downgrade concerns the previous boot, so it does not apply to the new one.
        next =
            health.boot === undefined
                ? learned
                : { ...applyCold(learned, nowMs), downgradedAtMs: undefined, bootChangedAtMs: nowMs };
    }
    switch (report.state) {
        case "cold":
            return applyCold(next, nowMs);
        case "draining":
            return { ...next, state: { kind: "draining" }, downgradedAtMs: nowMs };
        case "warm":
            return applyWarm(next, requestedAtMs, nowMs);
    }
};

const applyResponse = (health: types.TargetHealth, nowMs: number): types.TargetHealth => {
    if (health.failures === 0) {
        return health;
    }
    const wasCold = isCold(health, nowMs);
    const next = { ...health, failures: 0, failingSinceMs: undefined };
    if (health.state.kind === "draining") {
        return next;
    }
    if (wasCold) {
        // A target of unknown state that was unreachable only briefly stays unknown until its next report.
        const isUnknown = health.state.kind === "unknown" && !isLongUnreachable(health, nowMs);
        return isUnknown ? next : { ...next, state: { kind: "cold" } };
    }
    return health.state.kind === "ejected" ? { ...next, state: { kind: "warm" }, recoveredAtMs: nowMs } : next;
};

const applyProbe = (health: types.TargetHealth, nowMs: number): types.TargetHealth => {
    if (health.state.kind !== "ejected") {
        return applyResponse(health, nowMs);
    }
    return { ...health, failingSinceMs: undefined, returnsCold: isCold(health, nowMs) };
};

const toEjected = (health: types.TargetHealth, nowMs: number): types.TargetHealth => {
    const isRepeated = health.ejectedAtMs !== undefined && nowMs - health.ejectedAtMs < ejectionResetMs;
    const times = isRepeated ? health.ejections + 1 : 1;
    const durationMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** (times - 1));
    return {
        ...health,
        state: { kind: "ejected", untilMs: nowMs + durationMs, times },
        returnsCold: isCold(health, nowMs),
        ejections: times,
        ejectedAtMs: nowMs,
    };
};

/** A restarted target is cold and would be overloaded by its full share of calls before its first report. */
const applyRestart = (health: types.TargetHealth, nowMs: number): types.TargetHealth => {
    switch (health.state.kind) {
        case "warm":
        case "slow":
            return { ...health, state: { kind: "unknown" }, downgradedAtMs: nowMs };
        case "warming":
            return { ...health, state: { kind: "cold" }, downgradedAtMs: nowMs };
        case "unknown":
        case "cold":
        case "draining":
        case "ejected":
            return health;
    }
};

type Failure = Extract<types.HealthEvent, { kind: "failed" }>;

const applyFailure = (health: types.TargetHealth, failure: Failure, nowMs: number): types.TargetHealth => {
    const failures = health.failures + 1;
    let next: types.TargetHealth = { ...health, failures, failingSinceMs: health.failingSinceMs ?? nowMs };
    const isSettling = health.bootChangedAtMs !== undefined && nowMs - health.bootChangedAtMs < bootSettleMs;
    const state = health.state;
    if (state.kind === "warming" || (isSettling && (state.kind === "warm" || state.kind === "slow"))) {
        next = { ...next, state: { kind: "cold" }, downgradedAtMs: nowMs };
    }
    if (failure.mayHaveRestarted) {
        next = applyRestart(next, nowMs);
    }
    if (state.kind === "draining") {
        return next;
    }
    if (state.kind === "ejected") {
        // A failure before the end of the ejection belongs to a call that was in flight when the target was ejected.
        return nowMs >= state.untilMs ? toEjected(next, nowMs) : next;
    }
    return failures >= ejectionThreshold && failure.mayEject ? toEjected(next, nowMs) : next;
};

const applyLatencyRatio = (health: types.TargetHealth, ratio: number, nowMs: number): types.TargetHealth => {
    if (health.state.kind === "warm" && ratio > slowRatio) {
        return { ...health, state: { kind: "slow" } };
    }
    if (health.state.kind === "slow" && ratio < recoveredRatio) {
        return { ...health, state: { kind: "warm" }, recoveredAtMs: nowMs };
    }
    return health;
};

/**
 * Computes the health of a target after an event.
 *
 * @param health - the health before the event
 * @param event - the event
 * @param nowMs - local monotonic time
 * @returns the health after the event; the same object if nothing changed
 */
export const applyHealthEvent = (
    health: types.TargetHealth,
    event: types.HealthEvent,
    nowMs: number,
): types.TargetHealth => {
    switch (event.kind) {
        case "reported":
            return applyReport(health, event.report, event.requestedAtMs, nowMs);
        case "answered":
            return applyResponse(health, nowMs);
        case "probed":
            return applyProbe(health, nowMs);
        case "failed":
            return applyFailure(health, event, nowMs);
        case "disconnected":
            return applyRestart(health, nowMs);
        case "compared":
            return applyLatencyRatio(health, event.ratio, nowMs);
        case "warmedUp":
            return health.state.kind === "warming" ? { ...health, state: { kind: "warm" } } : health;
    }
};

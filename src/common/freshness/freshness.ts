/**
 * Decides whether a configuration may be used.
 */
import * as types from "./Types.js";

/**
 * Computes whether calls may be dispatched with the configuration in use.
 *
 * @param state - the revision in use and its newest confirmation
 * @param nowMs - local monotonic time
 * @param freshnessMs - longest time that a configuration may be used without a confirmation
 * @returns the verdict
 */
export const computeVerdict = (
    state: types.FreshnessState,
    nowMs: number,
    freshnessMs: number,
): types.FreshnessVerdict => {
    if (state.confirmedAtMs === undefined) {
        return { kind: "unsynced" };
    }
    const untilMs = state.confirmedAtMs + freshnessMs;
    if (nowMs >= untilMs) {
        return { kind: "stale", sinceMs: untilMs };
    }
    return { kind: "fresh", untilMs };
};

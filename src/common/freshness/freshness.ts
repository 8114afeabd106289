/**
 * Decisions on the use of a configuration.
 */
import * as types from "./Types.js";

/**
 * Says whether calls may be dispatched on the configuration in use.
 *
 * @param state - the configuration in use and its newest confirmation
 * @param nowMs - local monotonic time
 * @param freshnessMs - longest use without a confirmation
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

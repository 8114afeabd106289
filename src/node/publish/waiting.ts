/**
 * Waiting by a scheduler.
 */
import * as types from "../../common/Types.js";

/**
 * Waits for a time.
 *
 * @param scheduler - the timers
 * @param durationMs - the time
 * @returns resolves when the time has passed
 */
export const waitFor = (scheduler: types.Scheduler, durationMs: number): Promise<void> =>
    new Promise(resolve => {
        scheduler.schedule(durationMs, resolve);
    });

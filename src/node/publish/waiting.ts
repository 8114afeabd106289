/**
 * Delays on a scheduler.
 */
import * as types from "../../common/Types.js";

/**
 * Waits for a duration.
 *
 * @param scheduler - the scheduler that provides the timer
 * @param durationMs - duration in milliseconds
 * @returns a promise that resolves after the duration
 */
export const waitFor = (scheduler: types.Scheduler, durationMs: number): Promise<void> =>
    new Promise(resolve => {
        scheduler.schedule(durationMs, resolve);
    });

/**
 * Timers of the process.
 */
import * as events from "../common/events.js";
import * as types from "../common/Types.js";

/**
 * Creates a scheduler on the monotonic clock of the process.
 *
 * @returns the scheduler
 */
export const createSystemScheduler = (): types.Scheduler => ({
    now: () => performance.now(),
    schedule: (delayMs, action) => {
        const timer = setTimeout(action, delayMs);
        return events.toDisposable(() => clearTimeout(timer));
    },
});

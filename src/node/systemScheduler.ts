/**
 * Real time and real timers.
 */
import * as events from "../common/events.js";
import * as types from "../common/Types.js";

/**
 * Creates a scheduler on the monotonic clock of the process.
 *
 * @param options - behaviour of its timers
 * @param options.keepAlive - whether a pending timer keeps the process from ending
 * @returns the scheduler
 */
export const createSystemScheduler = (options: { readonly keepAlive: boolean }): types.Scheduler => ({
    now: () => performance.now(),
    schedule: (delayMs, action) => {
        const timer = setTimeout(action, Math.max(0, delayMs));
        if (!options.keepAlive) {
            timer.unref();
        }
        return events.toDisposable(() => clearTimeout(timer));
    },
});

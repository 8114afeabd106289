/**
 * Real time and real timers.
 */
import * as perfHooks from "node:perf_hooks";
import * as events from "../common/events.js";
import * as types from "../common/Types.js";

/**
 * Creates a scheduler on the monotonic clock.
 *
 * @returns the scheduler; its timers do not keep the process alive
 */
export const createSystemScheduler = (): types.Scheduler => ({
    now: () => perfHooks.performance.now(),
    schedule: (delayMs, action) => {
        const timer = setTimeout(action, Math.max(0, delayMs));
        timer.unref();
        return events.toDisposable(() => clearTimeout(timer));
    },
});

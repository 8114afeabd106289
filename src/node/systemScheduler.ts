/**
 * Real time and real timers.
 */
import * as events from "../common/events.js";
import * as types from "../common/Types.js";

/** Wraps an action so that the time by which it runs late is reported before it runs. */
const measureRun = (action: () => void, waitMs: number, handleRun: (latenessMs: number) => void): (() => void) => {
    const dueAtMs = performance.now() + waitMs;
    return () => {
        handleRun(performance.now() - dueAtMs);
        action();
    };
};

/**
 * Creates a scheduler on the monotonic clock of the process.
 *
 * @param options - behaviour of its timers
 * @param options.keepAlive - whether a pending timer keeps the process from ending
 * @param options.handleRun - called before each action with the time by which it runs late, in milliseconds
 * @returns the scheduler
 */
export const createSystemScheduler = (options: {
    readonly keepAlive: boolean;
    handleRun?(latenessMs: number): void;
}): types.Scheduler => ({
    now: () => performance.now(),
    schedule: (delayMs, action) => {
        const { handleRun } = options;
        const waitMs = Math.max(0, delayMs);
        const timer = setTimeout(handleRun === undefined ? action : measureRun(action, waitMs, handleRun), waitMs);
        if (!options.keepAlive) {
            timer.unref();
        }
        return events.toDisposable(() => clearTimeout(timer));
    },
});

/**
 * Bounded waits, on the daemon's scheduler so that tests run in virtual time.
 */
import * as types from "../../common/Types.js";

/**
 * Waits for a promise, but not forever.
 *
 * @param scheduler - timers
 * @param promise - what to wait for
 * @param timeoutMs - longest wait
 * @returns the value, or undefined if the promise was rejected or the time has passed
 */
export const waitAtMost = <T>(
    scheduler: types.Scheduler,
    promise: Promise<T>,
    timeoutMs: number,
): Promise<T | undefined> =>
    new Promise(resolve => {
        const timer = scheduler.schedule(timeoutMs, () => resolve(undefined));
        const finish = (value: T | undefined): void => {
            timer.dispose();
            resolve(value);
        };
        promise.then(finish, () => finish(undefined));
    });

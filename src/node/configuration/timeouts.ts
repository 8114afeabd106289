/**
 * Waits with a timeout. Timers come from the daemon's scheduler, so that tests run in virtual time.
 */
import * as types from "../../common/Types.js";

/**
 * Waits for a promise with a timeout.
 *
 * @param scheduler - the scheduler of the timeout
 * @param promise - the promise
 * @param timeoutMs - maximum wait in milliseconds
 * @returns the value, or undefined if the promise was rejected or the timeout expired
 */
export const waitWithTimeout = <T>(
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

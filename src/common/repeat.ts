/**
 * Actions that run at an interval.
 */
import * as types from "./Types.js";

/**
 * Runs an action at an interval, first after one interval. The next run is scheduled before the action, so that an error in
 * one run does not end the series.
 *
 * @param scheduler - clock and timers
 * @param intervalMs - time between the starts of two runs, in milliseconds
 * @param action - the action
 * @returns disposing it ends the series
 */
export const repeatAction = (scheduler: types.Scheduler, intervalMs: number, action: () => void): types.Disposable => {
    let timer: types.Disposable;
    const scheduleNext = (): void => {
        timer = scheduler.schedule(intervalMs, () => {
            scheduleNext();
            action();
        });
    };
    scheduleNext();
    return { dispose: () => timer.dispose() };
};

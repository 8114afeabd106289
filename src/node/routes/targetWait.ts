/**
 * Waits for a target that takes a request.
 */
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";

export interface TargetWaitOptions extends Omit<admissionQueue.QueueEntry<targetPool.PickResult>, "take" | "isSlot"> {
    readonly queue: admissionQueue.AdmissionQueue<targetPool.PickResult>;
    readonly scheduler: shared.Scheduler;
    /**
     * Picks a target.
     *
     * @param isLast - whether the wait is over, so that any target will do
     */
    pick(isLast: boolean): targetPool.PickResult;
}

/**
 * Waits until a target has a free slot, or takes requests again after its limit or a pause did not let it.
 *
 * @param options - the request's place in the queue, and how to pick a target
 * @returns the target; the limits of the targets if these let no request through before the wait is over; undefined if no
 *     slot became free or the signal was aborted
 */
export const waitForTarget = async (options: TargetWaitOptions): Promise<targetPool.PickResult | undefined> => {
    const { queue, scheduler, pick, ...entry } = options;
    const endsAtMs = scheduler.now() + entry.maxWaitMs;
    let retryTimer: shared.Disposable | undefined;

    /** No slot becomes free when a limit or a pause lets the next request through. */
    const scheduleRetry = (delayMs: number): void => {
        retryTimer?.dispose();
        retryTimer = scheduler.schedule(Math.ceil(delayMs), () => queue.dispatch(entry.service));
    };

    const picked = await queue.wait({
        ...entry,
        isSlot: result => result.kind === "target",
        take: isLast => {
            const result = pick(isLast);
            switch (result.kind) {
                case "target":
                    return result;
                case "limited":
                    if (isLast || scheduler.now() + result.waitMs > endsAtMs) {
                        return result;
                    }
                    scheduleRetry(result.waitMs);
                    return undefined;
                case "full":
                case "none":
                    return undefined;
            }
        },
    });
    retryTimer?.dispose();
    return picked;
};

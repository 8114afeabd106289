/**
 * Waits for a target that takes a request.
 */
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";

export interface TargetWaitOptions extends Omit<admissionQueue.QueueEntry<targetPool.PickResult>, "take"> {
    readonly queue: admissionQueue.AdmissionQueue<targetPool.PickResult>;
    readonly clock: shared.Clock;
    /**
     * Picks a target.
     *
     * @param isLast - whether the wait is over, so that any target will do
     */
    pick(isLast: boolean): targetPool.PickResult;
}

/**
 * Waits until a target has a free slot.
 *
 * @param options - the request's place in the queue, and how to pick a target
 * @returns the target; the limits of the targets if these let no request through before the wait is over; undefined if no
 *     slot became free or the signal was aborted
 */
export const waitForTarget = async (options: TargetWaitOptions): Promise<targetPool.PickResult | undefined> => {
    const { queue, clock, pick, ...entry } = options;
    const endsAtMs = clock.now() + entry.maxWaitMs;
    return queue.wait({
        ...entry,
        take: isLast => {
            const result = pick(isLast);
            switch (result.kind) {
                case "target":
                    return result;
                case "limited":
                    return isLast || clock.now() + result.waitMs > endsAtMs ? result : undefined;
                case "full":
                case "none":
                    return undefined;
            }
        },
    });
};

/**
 * Queue of requests that wait for a free slot at a target, ordered by priority.
 */
import * as shared from "../Types.js";

/**
 * Number of requests that may decline before a dispatch stops. One may decline because it was already sent to the free
 * target; if several do, there is no free slot. This keeps the cost of a dispatch independent of the queue length.
 */
const maxFailedOffers = 3;

export interface AdmissionQueue<T> {
    /**
     * Waits until a request gets a slot: calls its `take` now, unless another request precedes it, and whenever a slot
     * may be free.
     *
     * @param entry - the request's priority and limits
     * @returns the result of `take`, or undefined if the wait timed out or the signal was aborted; rejects if `take` throws
     */
    wait(entry: QueueEntry<T>): Promise<T | undefined>;
    /** Offers the free slots of a service to the waiting requests. */
    dispatch(service: shared.ServiceName): void;
    count(service: shared.ServiceName): number;
}

export interface QueueEntry<T> {
    readonly service: shared.ServiceName;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly maxWaitMs: number;
    readonly signal: AbortSignal;
    /**
     * Takes a slot; returns undefined if none is suitable.
     *
     * @param isLast - whether this is the last call, because the wait has timed out
     */
    take(isLast: boolean): T | undefined;
}

interface QueuedRequest<T> {
    readonly entry: QueueEntry<T>;
    /** Takes a slot and ends the wait, or ends it without one if this was the last try. */
    offer(isLast: boolean): boolean;
}

/**
 * Creates an empty queue.
 *
 * @param scheduler - clock and timers
 * @returns the queue
 */
export const createAdmissionQueue = <T>(scheduler: shared.Scheduler): AdmissionQueue<T> => {
    const queues = new Map<shared.ServiceName, QueuedRequest<T>[]>();

    const insert = (queue: QueuedRequest<T>[], queued: QueuedRequest<T>): void => {
        const index = queue.findIndex(other => other.entry.priority > queued.entry.priority);
        queue.splice(index < 0 ? queue.length : index, 0, queued);
    };

    const getQueue = (service: shared.ServiceName): QueuedRequest<T>[] => {
        const queue = queues.get(service) ?? [];
        queues.set(service, queue);
        return queue;
    };

    return {
        wait: entry => {
            const queue = getQueue(entry.service);
            const isFirst = queue.every(other => other.entry.priority > entry.priority);
            const mayWait = entry.maxWaitMs > 0 && !entry.signal.aborted;
            const taken = isFirst ? entry.take(!mayWait) : undefined;
            if (taken !== undefined || !mayWait) {
                return Promise.resolve(taken);
            }
            return new Promise((resolve, reject) => {
                const leave = (): void => {
                    timer.dispose();
                    entry.signal.removeEventListener("abort", handleAbort);
                    const index = queue.indexOf(queued);
                    if (index >= 0) {
                        queue.splice(index, 1);
                    }
                };
                const finish = (value: T | undefined): void => {
                    leave();
                    resolve(value);
                };
                const offer = (isLast: boolean): boolean => {
                    try {
                        const taken = entry.take(isLast);
                        if (taken !== undefined || isLast) {
                            finish(taken);
                        }
                        return taken !== undefined;
                    } catch (error) {
                        // The error belongs to this request, not to the one whose slot was offered.
                        leave();
                        reject(error instanceof Error ? error : new Error(String(error)));
                        return false;
                    }
                };
                const handleAbort = (): void => finish(undefined);
                const queued: QueuedRequest<T> = { entry, offer };
                const handleTimeout = (): void => void offer(true);
                const timer = scheduler.schedule(entry.maxWaitMs, handleTimeout);
                entry.signal.addEventListener("abort", handleAbort, { once: true });
                insert(queue, queued);
            });
        },
        dispatch: service => {
            let failedOffers = 0;
            for (const queued of [...(queues.get(service) ?? [])]) {
                if (!queued.offer(false) && ++failedOffers >= maxFailedOffers) {
                    return;
                }
            }
        },
        count: service => queues.get(service)?.length ?? 0,
    };
};

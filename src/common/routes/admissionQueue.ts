/**
 * Requests that wait for a free slot at a target, the most urgent first.
 */
import * as shared from "../Types.js";

/**
 * Requests that are offered a slot in vain before the others are left alone. A request may not fit because it was sent to
 * that target already; if several do not fit, there is no slot. The cost of an offer stays independent of the line.
 */
const maxFailedOffers = 3;

export interface AdmissionQueue<T> {
    /**
     * Adds a request that is offered `take` now and whenever a slot may be free.
     *
     * @param entry - the request's rank and bound
     * @returns what was taken, or undefined if the time passed or the signal was aborted
     */
    wait(entry: QueueEntry<T>): Promise<T | undefined>;
    /** Offers the free slots of a service. */
    dispatch(service: shared.ServiceName): void;
    count(service: shared.ServiceName): number;
}

export interface QueueEntry<T> {
    readonly service: shared.ServiceName;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly maxWaitMs: number;
    readonly signal: AbortSignal;
    /**
     * Takes a slot; undefined if none fits.
     *
     * @param isLast - whether no other offer follows, as the time has passed
     */
    take(isLast: boolean): T | undefined;
}

interface QueuedRequest<T> {
    readonly entry: QueueEntry<T>;
    finish(value: T | undefined): void;
}

/**
 * Creates an empty line.
 *
 * @param scheduler - clock and timers
 * @returns the line
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
            return new Promise(resolve => {
                const finish = (value: T | undefined): void => {
                    timer.dispose();
                    entry.signal.removeEventListener("abort", handleAbort);
                    const index = queue.indexOf(queued);
                    if (index >= 0) {
                        queue.splice(index, 1);
                    }
                    resolve(value);
                };
                const handleAbort = (): void => finish(undefined);
                const queued: QueuedRequest<T> = { entry, finish };
                const handleTimeout = (): void => finish(entry.take(true));
                const timer = scheduler.schedule(entry.maxWaitMs, handleTimeout);
                entry.signal.addEventListener("abort", handleAbort, { once: true });
                insert(queue, queued);
            });
        },
        dispatch: service => {
            let failedOffers = 0;
            for (const queued of [...(queues.get(service) ?? [])]) {
                const taken = queued.entry.take(false);
                if (taken !== undefined) {
                    queued.finish(taken);
                } else if (++failedOffers >= maxFailedOffers) {
                    return;
                }
            }
        },
        count: service => queues.get(service)?.length ?? 0,
    };
};

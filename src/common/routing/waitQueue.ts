/**
 * FIFO queue of calls that wait for a slot.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

export interface Waiter {
    readonly request: types.SlotRequest;
    readonly sinceMs: number;
    readonly resolve: (grant: types.SlotGrant) => void;
    readonly reject: (reason: unknown) => void;
}

export interface WaitQueue {
    count(): number;
    /** Lists the waiters in order of arrival. They may be removed during the iteration. */
    list(): Iterable<Waiter>;
    /**
     * Adds a call. It is removed when its signal is aborted, or at `expiresAtMs`, after which `onExpire` is called.
     */
    add(waiter: Waiter, limits: WaitLimits): void;
    /** Removes a call and stops its timer; false if it is no longer in the queue. */
    remove(waiter: Waiter): boolean;
}

export interface WaitLimits {
    readonly scheduler: shared.Scheduler;
    readonly expiresAtMs: number;
    readonly onExpire: () => void;
}

/**
 * Creates an empty queue.
 *
 * @returns the queue
 */
export const createWaitQueue = (): WaitQueue => {
    const waiters = new Map<Waiter, () => void>();

    const remove = (waiter: Waiter): boolean => {
        const stop = waiters.get(waiter);
        if (stop === undefined) {
            return false;
        }
        waiters.delete(waiter);
        stop();
        return true;
    };

    return {
        count: () => waiters.size,
        list: () => waiters.keys(),
        add: (waiter, limits) => {
            const signal = waiter.request.signal;
            const handleAbort = (): void => {
                if (remove(waiter)) {
                    waiter.reject(signal.reason);
                }
            };
            const handleExpiry = (): void => {
                if (remove(waiter)) {
                    limits.onExpire();
                }
            };
            const timer = limits.scheduler.schedule(limits.expiresAtMs - limits.scheduler.now(), handleExpiry);
            signal.addEventListener("abort", handleAbort, { once: true });
            waiters.set(waiter, () => {
                timer.dispose();
                signal.removeEventListener("abort", handleAbort);
            });
        },
        remove,
    };
};

/**
 * Requests that wait for a free slot at a target, the most urgent first.
 */
import * as shared from "../Types.js";

/**
 * Requests that are offered a slot in vain before the others are left alone. A request may not fit because it was sent to
 * that target already; if several do not fit, there is no slot. The cost of an offer stays independent of the line.
 */
const maxMisses = 3;

export interface WaitLine<T> {
    /**
     * Adds a request that is offered `take` now and whenever a slot may be free.
     *
     * @param entry - the request's rank and bound
     * @returns what was taken, or undefined if the time passed or the signal was aborted
     */
    wait(entry: WaitEntry<T>): Promise<T | undefined>;
    /** Offers the free slots of a service. */
    offer(service: shared.ServiceName): void;
    count(service: shared.ServiceName): number;
}

export interface WaitEntry<T> {
    readonly service: shared.ServiceName;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly longestWaitMs: number;
    readonly signal: AbortSignal;
    /**
     * Takes a slot; undefined if none fits.
     *
     * @param isLast - whether no other offer follows, as the time has passed
     */
    take(isLast: boolean): T | undefined;
}

interface Waiter<T> {
    readonly entry: WaitEntry<T>;
    finish(value: T | undefined): void;
}

/**
 * Creates an empty line.
 *
 * @param scheduler - clock and timers
 * @returns the line
 */
export const createWaitLine = <T>(scheduler: shared.Scheduler): WaitLine<T> => {
    const lines = new Map<shared.ServiceName, Waiter<T>[]>();

    const insert = (line: Waiter<T>[], waiter: Waiter<T>): void => {
        const after = line.findIndex(other => other.entry.priority > waiter.entry.priority);
        line.splice(after < 0 ? line.length : after, 0, waiter);
    };

    const getLine = (service: shared.ServiceName): Waiter<T>[] => {
        const line = lines.get(service) ?? [];
        lines.set(service, line);
        return line;
    };

    return {
        wait: entry => {
            const line = getLine(entry.service);
            const isFirst = line.every(other => other.entry.priority > entry.priority);
            const mayWait = entry.longestWaitMs > 0 && !entry.signal.aborted;
            const taken = isFirst ? entry.take(!mayWait) : undefined;
            if (taken !== undefined || !mayWait) {
                return Promise.resolve(taken);
            }
            return new Promise(resolve => {
                const finish = (value: T | undefined): void => {
                    timer.dispose();
                    entry.signal.removeEventListener("abort", handleAbort);
                    const index = line.indexOf(waiter);
                    if (index >= 0) {
                        line.splice(index, 1);
                    }
                    resolve(value);
                };
                const handleAbort = (): void => finish(undefined);
                const waiter: Waiter<T> = { entry, finish };
                const handleTimeout = (): void => finish(entry.take(true));
                const timer = scheduler.schedule(entry.longestWaitMs, handleTimeout);
                entry.signal.addEventListener("abort", handleAbort, { once: true });
                insert(line, waiter);
            });
        },
        offer: service => {
            let misses = 0;
            for (const waiter of [...(lines.get(service) ?? [])]) {
                const taken = waiter.entry.take(false);
                if (taken !== undefined) {
                    waiter.finish(taken);
                } else if (++misses >= maxMisses) {
                    return;
                }
            }
        },
        count: service => lines.get(service)?.length ?? 0,
    };
};

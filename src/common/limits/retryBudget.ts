/**
 * Budget shared by the retries, hedged requests and resends of a service.
 */
import * as routing from "../routing/Types.js";
import * as types from "../Types.js";
import * as tokenBucket from "./tokenBucket.js";

export const windowSeconds = 10;

/** Limits on retries. */
export interface RetryPolicy {
    /** Maximum ratio of retries to calls in the window. */
    readonly share: number;
    /** Retries that are allowed regardless of the number of calls. */
    readonly floor: tokenBucket.TokenRate;
}

export const defaultRetryPolicy: RetryPolicy = { share: 0.1, floor: { perSecond: 3, burst: 3 } };

/** Counts per second of the window, newest last. */
export interface RetryWindow {
    /** Second of the newest count, by the local monotonic clock. */
    readonly second: number;
    readonly calls: readonly number[];
    readonly retries: readonly number[];
    readonly floor: tokenBucket.TokenBucket;
}

const createZeros = (count: number): number[] => Array.from({ length: count }, () => 0);

/**
 * Creates an empty window.
 *
 * @param nowMs - local monotonic time
 * @param policy - limits on retries
 * @returns the window
 */
export const createRetryWindow = (nowMs: number, policy: RetryPolicy = defaultRetryPolicy): RetryWindow => ({
    second: Math.floor(nowMs / 1_000),
    calls: createZeros(windowSeconds),
    retries: createZeros(windowSeconds),
    floor: tokenBucket.createTokenBucket(policy.floor, nowMs),
});

const advanceWindow = (window: RetryWindow, nowMs: number): RetryWindow => {
    const second = Math.floor(nowMs / 1_000);
    const elapsedSeconds = Math.min(windowSeconds, second - window.second);
    if (elapsedSeconds <= 0) {
        return window;
    }
    const dropOldest = (counts: readonly number[]): number[] => [
        ...counts.slice(elapsedSeconds),
        ...createZeros(elapsedSeconds),
    ];
    return { ...window, second, calls: dropOldest(window.calls), retries: dropOldest(window.retries) };
};

const addToNewest = (counts: readonly number[]): number[] => {
    const updated = [...counts];
    updated[updated.length - 1] = (updated[updated.length - 1] ?? 0) + 1;
    return updated;
};

const computeSum = (counts: readonly number[]): number => counts.reduce((total, count) => total + count, 0);

/**
 * Adds a call to the window.
 *
 * @param window - the window before
 * @param nowMs - local monotonic time
 * @returns the window after
 */
export const addCall = (window: RetryWindow, nowMs: number): RetryWindow => {
    const current = advanceWindow(window, nowMs);
    return { ...current, calls: addToNewest(current.calls) };
};

/**
 * Takes a retry from the budget.
 *
 * @param window - the window before
 * @param nowMs - local monotonic time
 * @param policy - limits on retries
 * @returns the window after, or undefined if neither the share nor the floor allows a retry
 */
export const takeRetry = (
    window: RetryWindow,
    nowMs: number,
    policy: RetryPolicy = defaultRetryPolicy,
): RetryWindow | undefined => {
    const current = advanceWindow(window, nowMs);
    // The floor is used first and counts towards the share, so the limit is the larger of the two, not their sum.
    const floor = tokenBucket.takeTokens(current.floor, policy.floor, 1, nowMs);
    if (floor !== undefined) {
        return { ...current, floor, retries: addToNewest(current.retries) };
    }
    const allowed = computeSum(current.calls) * policy.share;
    return computeSum(current.retries) + 1 <= allowed
        ? { ...current, retries: addToNewest(current.retries) }
        : undefined;
};

/**
 * Creates the retry budgets of all services.
 *
 * @param options - the clock and the current limits on retries
 * @returns the retry budgets
 */
export const createRetryBudget = (options: {
    readonly scheduler: types.Clock;
    readonly getPolicy?: () => RetryPolicy;
}): routing.RetryBudget => {
    const getPolicy = options.getPolicy ?? (() => defaultRetryPolicy);
    const windows = new Map<types.ServiceName, RetryWindow>();

    const getWindow = (service: types.ServiceName): RetryWindow =>
        windows.get(service) ?? createRetryWindow(options.scheduler.now(), getPolicy());

    return {
        recordCall: service => void windows.set(service, addCall(getWindow(service), options.scheduler.now())),
        takeRetry: service => {
            const updated = takeRetry(getWindow(service), options.scheduler.now(), getPolicy());
            if (updated === undefined) {
                return false;
            }
            windows.set(service, updated);
            return true;
        },
    };
};

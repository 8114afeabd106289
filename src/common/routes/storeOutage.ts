/**
 * Tells removals of targets' rows from rows that have expired while the store was unavailable, by the calls for these rows. A
 * row expires after three heartbeats without a response. The silence of its target begins up to one heartbeat before an
 * outage and ends up to one after it, so that an outage shorter than a heartbeat cannot be the cause.
 */
import * as shared from "../Types.js";

/**
 * How long a target stays in use after its row expired. The platform guarantees that a running target registers again
 * within 2 s after the store recovers; the rest is the time until the row is read.
 */
export const expiryGraceMs = 2_500;
/** A VM stops using expired rows this long before it must act on what the store confirmed during its outage. */
const contactMarginMs = 100;

export interface OutageBounds {
    /** Interval at which targets renew their rows. */
    readonly heartbeatMs: number;
    /** Time after the end of a disruption from which a VM must act on what the store has confirmed. */
    readonly contactMs: number;
}

/** One outage, as calls to the store have shown it. */
export interface Outage {
    /** Time from the first failed call to the one that succeeded. */
    readonly durationMs: number;
    /** Time for which rows that disappear may have expired. */
    readonly lapseMs: number;
}

export interface StoreOutage {
    /**
     * Records a call that failed or was not responded to.
     *
     * @param failedAtMs - when the error came, or since when the response was overdue
     */
    recordFailure(failedAtMs: number): void;
    /**
     * Records a call that succeeded.
     *
     * @returns the outage that ends with it; undefined if the calls that failed show none
     */
    recordSuccess(): Outage | undefined;
    /** Forgets the calls that have failed, as no calls are made for a while. */
    reset(): void;
    /** Time for which a row that disappears still counts as expired; 0 if it counts as removed. */
    computeLapseMs(): number;
}

interface FailedCalls {
    readonly firstAtMs: number;
    readonly lastAtMs: number;
    readonly count: number;
}

/**
 * Creates the record of a store that has been available.
 *
 * @param options - the clock and the platform's bounds
 * @returns the record
 */
export const createStoreOutage = (options: {
    readonly clock: shared.Clock;
    getBounds(): OutageBounds;
}): StoreOutage => {
    const { clock } = options;
    let failedCalls: FailedCalls | undefined;
    let lapsesUntilMs = -Infinity;

    const computeLapseMs = (): number => Math.max(0, lapsesUntilMs - clock.now());

    return {
        recordFailure: failedAtMs => {
            failedCalls = {
                firstAtMs: failedCalls?.firstAtMs ?? failedAtMs,
                lastAtMs: failedAtMs,
                count: (failedCalls?.count ?? 0) + 1,
            };
        },
        recordSuccess: () => {
            const nowMs = clock.now();
            const calls = failedCalls;
            failedCalls = undefined;
            const { heartbeatMs, contactMs } = options.getBounds();
            // A connection that was reset or has fallen silent fails one call, and the retry on a new one succeeds.
            if (calls === undefined || calls.count < 2 || nowMs - calls.firstAtMs < heartbeatMs) {
                return undefined;
            }
            // The outage may have been that of this VM alone, and may have ended soon after the last call that failed.
            lapsesUntilMs = Math.min(nowMs + expiryGraceMs, calls.lastAtMs + contactMs - contactMarginMs);
            return { durationMs: nowMs - calls.firstAtMs, lapseMs: computeLapseMs() };
        },
        reset: () => {
            failedCalls = undefined;
        },
        computeLapseMs,
    };
};

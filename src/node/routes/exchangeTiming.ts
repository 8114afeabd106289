/**
 * Times of one request, derived from its latency objective and its deadline.
 */
import * as shared from "../../common/Types.js";

/**
 * Usual longest wait for a slot, as a share of the objective: a later refusal would cost the client its next attempt. The
 * admission queue may end the wait earlier or extend it.
 */
const maxQueueWaitShare = 0.25;
/** An idempotent request is hedged after this share of its objective. */
const hedgeDelayShare = 0.45;
/** No attempt is started with less time left until the deadline. */
const minAttemptMs = 10;

export interface ExchangeTiming {
    /** When an idempotent request is hedged, in milliseconds after its start. */
    readonly hedgeDelayMs: number;
    /** Time left until the deadline; negative after it. */
    computeRemainingMs(): number;
    /** Time left of the objective; infinite once it is missed, so that the request takes any target. */
    computeRemainingObjectiveMs(): number;
    /** Time left of the objective; negative once it is missed. */
    computeObjectiveLeftMs(): number;
    /** Usual longest time that the next attempt may wait for a slot. */
    computeMaxWaitMs(): number;
    /** Whether enough time is left for another attempt. */
    hasTimeForAttempt(): boolean;
}

/**
 * Creates the times of a request that starts now.
 *
 * @param options - the clock, the route's latency objective and the deadline on that clock
 * @returns the times
 */
export const createExchangeTiming = (options: {
    readonly clock: shared.Clock;
    readonly objectiveMs: number;
    readonly deadlineAtMs: number;
}): ExchangeTiming => {
    const { clock, objectiveMs, deadlineAtMs } = options;
    const startedAtMs = clock.now();
    const computeRemainingMs = (): number => deadlineAtMs - clock.now();
    const computeObjectiveLeftMs = (): number => startedAtMs + objectiveMs - clock.now();
    return {
        hedgeDelayMs: objectiveMs * hedgeDelayShare,
        computeRemainingMs,
        computeObjectiveLeftMs,
        computeRemainingObjectiveMs: () => {
            const remainingMs = computeObjectiveLeftMs();
            return remainingMs > 0 ? remainingMs : Infinity;
        },
        computeMaxWaitMs: () => Math.min(computeRemainingMs(), objectiveMs * maxQueueWaitShare),
        hasTimeForAttempt: () => computeRemainingMs() > minAttemptMs,
    };
};

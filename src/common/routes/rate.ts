/**
 * Rate of events, smoothed over a few seconds.
 */
import * as types from "../Types.js";

/** Bursts last a few seconds; a shorter memory would move clients to and fro. */
const decayMs = 3_000;

export interface RateMeter {
    record(): void;
    /** Events per second. */
    compute(): number;
}

/** Steps of a rounded rate; peers are told a new rate only when it has changed by about this factor. */
const roundingFactor = 1.25;
/** A VM with fewer requests does not matter to the choice of fronts; its rate would change all the time. */
const minPublishedRate = 5;

/**
 * Rounds a rate to one of a few steps.
 *
 * @param perSecond - the rate
 * @returns 0 or a power of the rounding factor
 */
export const roundRate = (perSecond: number): number =>
    perSecond < minPublishedRate ? 0 : roundingFactor ** Math.round(Math.log(perSecond) / Math.log(roundingFactor));

/**
 * Creates a rate of 0.
 *
 * @param clock - the clock
 * @returns the rate
 */
export const createRateMeter = (clock: types.Clock): RateMeter => {
    const startedAtMs = clock.now();
    let decayedCount = 0;
    let updatedAtMs = startedAtMs;

    const advance = (): void => {
        const nowMs = clock.now();
        decayedCount *= Math.exp(-(nowMs - updatedAtMs) / decayMs);
        updatedAtMs = nowMs;
    };

    return {
        record: () => {
            advance();
            decayedCount++;
        },
        compute: () => {
            advance();
            // Corrects for the time before the start, in which nothing was counted.
            const coveredMs = decayMs * (1 - Math.exp(-(updatedAtMs - startedAtMs) / decayMs));
            return coveredMs > 0 ? (decayedCount * 1_000) / coveredMs : 0;
        },
    };
};

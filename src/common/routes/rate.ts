/**
 * Rate of events, smoothed over a few seconds.
 */
import * as types from "../Types.js";

/** Bursts last a few seconds; a shorter memory would move clients to and fro. */
const memoryMs = 3_000;

export interface Rate {
    record(): void;
    /** Events per second. */
    compute(): number;
}

/** Steps of a rounded rate; peers are told a new rate only when it has changed by about this factor. */
const roundingFactor = 1.25;
/** A VM with fewer requests does not matter to the choice of fronts; its rate would change all the time. */
const smallestToldRate = 5;

/**
 * Rounds a rate to one of a few steps.
 *
 * @param perSecond - the rate
 * @returns 0 or a power of the rounding factor
 */
export const roundRate = (perSecond: number): number =>
    perSecond < smallestToldRate ? 0 : roundingFactor ** Math.round(Math.log(perSecond) / Math.log(roundingFactor));

/**
 * Creates a rate of 0.
 *
 * @param clock - the clock
 * @returns the rate
 */
export const createRate = (clock: types.Clock): Rate => {
    const startedAtMs = clock.now();
    let weight = 0;
    let atMs = startedAtMs;

    const advance = (): void => {
        const nowMs = clock.now();
        weight *= Math.exp(-(nowMs - atMs) / memoryMs);
        atMs = nowMs;
    };

    return {
        record: () => {
            advance();
            weight++;
        },
        compute: () => {
            advance();
            // Corrects for the time before the start, in which nothing was counted.
            const covered = memoryMs * (1 - Math.exp(-(atMs - startedAtMs) / memoryMs));
            return covered > 0 ? (weight * 1_000) / covered : 0;
        },
    };
};

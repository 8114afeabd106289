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

/**
 * Creates a rate of 0.
 *
 * @param clock - the clock
 * @returns the rate
 */
export const createRate = (clock: types.Clock): Rate => {
    let weight = 0;
    let atMs = clock.now();

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
            return (weight * 1_000) / memoryMs;
        },
    };
};

/**
 * Rate of events with exponential decay over a few seconds.
 */
import * as types from "../Types.js";

/** Bursts last a few seconds; a shorter time constant would move clients back and forth between VMs. */
const decayMs = 3_000;

export interface RateMeter {
    record(): void;
    /** Events per second. */
    compute(): number;
}

/** Step between rounded rates; peers get a new rate only when it has changed by about this factor. */
const roundingFactor = 1.25;
/** Lower rates are published as 0: they do not affect the selection of active VMs and would change constantly. */
const minPublishedRate = 5;

/**
 * Rounds a rate to a power of the rounding factor.
 *
 * @param perSecond - events per second
 * @returns the rounded rate, or 0 for a low one
 */
export const roundRate = (perSecond: number): number =>
    perSecond < minPublishedRate ? 0 : roundingFactor ** Math.round(Math.log(perSecond) / Math.log(roundingFactor));

/**
 * Creates a meter without events.
 *
 * @param clock - the clock
 * @returns the meter
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
            // Corrects for the part of the averaging period that lies before the start.
            const coveredMs = decayMs * (1 - Math.exp(-(updatedAtMs - startedAtMs) / decayMs));
            return coveredMs > 0 ? (decayedCount * 1_000) / coveredMs : 0;
        },
    };
};

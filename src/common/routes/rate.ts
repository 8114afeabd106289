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

const computeStep = (value: number, factor: number): number => Math.log(value) / Math.log(factor);

/** Three digits, as every digit is sent to all VMs. */
const roundStep = (step: number, factor: number): number => Number((factor ** step).toPrecision(3));

/**
 * Rounds a rate to a power of the rounding factor.
 *
 * @param perSecond - events per second
 * @param factor - the rounding factor
 * @returns the rounded rate, or 0 for a low one
 */
export const roundRate = (perSecond: number, factor = roundingFactor): number =>
    perSecond < minPublishedRate ? 0 : roundStep(Math.round(computeStep(perSecond, factor)), factor);

/**
 * Steps by which a rate has to be below the published one; with half a step, it would change to and fro between two. A rate
 * that rises is published at once, as further VMs become active by it: in a burst, they did so 0.2 s later otherwise.
 */
const publishedSteps = 0.8;

/**
 * Creates a rounding that keeps its last result while the rate is near it, as each change is sent to all VMs.
 *
 * @param factor - the rounding factor
 * @returns the rounding
 */
export const createSteadyRounding = (factor = roundingFactor): ((perSecond: number) => number) => {
    let published = 0;
    return perSecond => {
        const rounded = roundRate(perSecond, factor);
        const isNear =
            published > 0 &&
            rounded < published &&
            computeStep(published, factor) - computeStep(Math.max(perSecond, 1), factor) < publishedSteps;
        published = isNear ? published : rounded;
        return published;
    };
};

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

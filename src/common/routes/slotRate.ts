/**
 * Rate at which slots have become free for waiting requests in the last second, with bounds for a small sample.
 */
import * as shared from "../Types.js";

/** Half of the window. The load of a target changes about twice a second. */
const halfWindowMs = 500;
/** Standard deviations between the rate and its bounds. */
const deviations = 2;

export interface SlotRate {
    /** Starts anew: requests have begun to wait. */
    start(): void;
    /** Records that a waiting request got a slot. */
    record(): void;
    observe(): ObservedRate;
}

/** What was observed since requests began to wait, for up to a second. */
export interface ObservedRate {
    readonly slots: number;
    readonly durationMs: number;
    /** Time for which requests have been waiting without interruption. */
    readonly saturatedMs: number;
}

/**
 * Creates a rate that has observed nothing.
 *
 * @param clock - the clock
 * @returns the rate
 */
export const createSlotRate = (clock: shared.Clock): SlotRate => {
    let startedAtMs = clock.now();
    let halfStartedAtMs = startedAtMs;
    let previousSlots = 0;
    let currentSlots = 0;

    const advance = (): void => {
        const elapsedMs = clock.now() - halfStartedAtMs;
        if (elapsedMs >= halfWindowMs) {
            previousSlots = elapsedMs >= 2 * halfWindowMs ? 0 : currentSlots;
            currentSlots = 0;
            halfStartedAtMs += Math.floor(elapsedMs / halfWindowMs) * halfWindowMs;
        }
    };

    return {
        start: () => {
            startedAtMs = clock.now();
            halfStartedAtMs = startedAtMs;
            previousSlots = 0;
            currentSlots = 0;
        },
        record: () => {
            advance();
            currentSlots++;
        },
        observe: () => {
            advance();
            const nowMs = clock.now();
            const windowStartMs = Math.max(startedAtMs, halfStartedAtMs - halfWindowMs);
            return {
                slots: previousSlots + currentSlots,
                durationMs: nowMs - windowStartMs,
                saturatedMs: nowMs - startedAtMs,
            };
        },
    };
};

/**
 * Computes the highest rate that the observation makes plausible.
 *
 * @param observed - the observation
 * @returns slots per millisecond
 */
export const computeHighRate = ({ slots, durationMs }: ObservedRate): number =>
    (slots + deviations * Math.sqrt(slots + 1) + 1) / Math.max(1, durationMs);

/**
 * Computes the lowest rate that the observation makes plausible.
 *
 * @param observed - the observation
 * @returns slots per millisecond; 0 if too few slots became free
 */
export const computeLowRate = ({ slots, durationMs }: ObservedRate): number =>
    Math.max(0, slots - deviations * Math.sqrt(slots)) / Math.max(1, durationMs);

/**
 * Estimate of how slow a target is now, from reports that are a little old.
 */

/** A target that shares its machine changes its pace about twice a second (the platform's page on targets). */
export const reportDecayMs = 400;
/** Weight of a new report in the mean over the targets of a service. */
const meanWeight = 0.05;
const initialMean = 1.5;

/** Mean slowdown over the targets of a service. */
export interface MeanSlowdown {
    get(): number;
    record(slowdown: number): void;
}

/**
 * Creates the mean of a service, without reports.
 *
 * @returns the mean
 */
export const createMeanSlowdown = (): MeanSlowdown => {
    let mean = initialMean;
    return {
        get: () => mean,
        record: slowdown => {
            mean += meanWeight * (slowdown - mean);
        },
    };
};

/**
 * Computes the expected slowdown: the last report counts less the older it is, the mean takes its place.
 *
 * @param lastReported - the last report, or undefined if there is none
 * @param ageMs - its age
 * @param mean - mean over the targets of the service
 * @returns the expected slowdown, as a multiple of the usual time
 */
export const computeSlowdown = (lastReported: number | undefined, ageMs: number, mean: number): number => {
    if (lastReported === undefined) {
        return mean;
    }
    const weight = Math.exp(-ageMs / reportDecayMs);
    return lastReported * weight + mean * (1 - weight);
};

/**
 * Estimates the current slowdown of a target from past reports.
 */

/**
 * Time constant for the weight of a report. A target on a shared machine changes speed about twice a second (see the
 * platform's page on targets).
 */
export const reportDecayMs = 400;
/** Weight of a new report in the mean over the targets of a service. */
const meanWeight = 0.05;
/** Mean slowdown assumed before the first report. */
const initialMean = 1.5;

/** Mean slowdown over the targets of a service. */
export interface MeanSlowdown {
    get(): number;
    record(slowdown: number): void;
}

/**
 * Creates the mean of a service without any reports.
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
 * Computes the expected slowdown: the weight of the last report decays with its age in favor of the mean.
 *
 * @param lastReported - slowdown in the last report, or undefined if there is none
 * @param ageMs - age of the report
 * @param mean - mean over the targets of the service
 * @returns the expected slowdown, as a multiple of the normal processing time
 */
export const computeSlowdown = (lastReported: number | undefined, ageMs: number, mean: number): number => {
    if (lastReported === undefined) {
        return mean;
    }
    const weight = Math.exp(-ageMs / reportDecayMs);
    return lastReported * weight + mean * (1 - weight);
};

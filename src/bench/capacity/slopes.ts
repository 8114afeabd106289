/**
 * Slopes of measured series and their extrapolation.
 */
import * as types from "./Types.js";

const computeMean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Computes the median; of an even number of values, the mean of the two in the middle.
 *
 * @param values - the values, in any order
 * @returns the median, or NaN without values
 */
export const computeMedian = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    const upper = sorted[middle] ?? NaN;
    return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2;
};

/**
 * Computes the line with the least squares of vertical distances.
 *
 * @param samples - at least two samples of different size
 * @returns the line
 */
export const computeFit = (samples: readonly types.Sample[]): types.Fit => {
    const meanSize = computeMean(samples.map(sample => sample.size));
    const meanValue = computeMean(samples.map(sample => sample.value));
    let products = 0;
    let squares = 0;
    for (const { size, value } of samples) {
        products += (size - meanSize) * (value - meanValue);
        squares += (size - meanSize) ** 2;
    }
    if (squares === 0) {
        throw new Error("a slope needs samples of at least two sizes");
    }
    const slope = products / squares;
    return { slope, intercept: meanValue - slope * meanSize };
};

/**
 * Computes the value of a line.
 *
 * @param fit - the line
 * @param size - where
 * @returns the value
 */
export const computeValue = (fit: types.Fit, size: number): number => fit.intercept + fit.slope * size;

/**
 * Extrapolates a series to its target size.
 *
 * @param series - the series
 * @returns the line, its value there, and how far to trust it
 */
export const computeEstimate = (series: types.Series): types.Estimate => {
    const { samples, targetSize } = series;
    const fit = computeFit(samples);
    const distances = samples.map(({ size, value }) => Math.abs(value - computeValue(fit, size)));
    const largestValue = Math.max(...samples.map(sample => Math.abs(sample.value)));
    return {
        ...fit,
        atTarget: computeValue(fit, targetSize),
        reach: targetSize / Math.max(...samples.map(sample => sample.size)),
        worstResidual: largestValue === 0 ? 0 : Math.max(...distances) / largestValue,
    };
};

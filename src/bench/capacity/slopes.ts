/**
 * Fits lines to measured series and extrapolates them.
 */
import * as types from "./Types.js";

const computeMean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Computes the median. For an even number of values this is the mean of the two middle values.
 *
 * @param values - the values, in any order
 * @returns the median, or NaN if there are no values
 */
export const computeMedian = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = sorted.length >> 1;
    const upper = sorted[middle] ?? NaN;
    return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2;
};

/**
 * Fits a line by least squares of the vertical distances.
 *
 * @param samples - samples of at least two different sizes
 * @returns the line
 * @throws an error if all samples have the same size
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
 * Computes the value of a line at a size.
 *
 * @param fit - the line
 * @param size - the size
 * @returns the value
 */
export const computeValue = (fit: types.Fit, size: number): number => fit.intercept + fit.slope * size;

/**
 * Extrapolates a series to its target size.
 *
 * @param series - the series
 * @returns the line, its value at the target size, the extrapolation factor and the worst residual
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

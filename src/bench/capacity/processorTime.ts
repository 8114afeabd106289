/**
 * Measures the processor time of functions in this process.
 */
import * as slopes from "./slopes.js";

const batches = 5;
/** Long enough for the resolution of `process.cpuUsage` to be negligible. */
const batchMs = 60;

const measureBatch = (action: () => void, count: number): number => {
    const before = process.cpuUsage();
    for (let index = 0; index < count; index++) {
        action();
    }
    const used = process.cpuUsage(before);
    return (used.user + used.system) / 1000;
};

/** Doubles the count until a batch takes long enough; this also lets the JIT compile the code. */
const findCount = (action: () => void): number => {
    let count = 1;
    while (measureBatch(action, count) < batchMs) {
        count *= 2;
    }
    return count;
};

/**
 * Measures the processor time of a function, including garbage collection.
 *
 * @param action - the function
 * @returns milliseconds per call, as the median of several batches
 */
export const measureCpuMs = (action: () => void): number => {
    const count = findCount(action);
    return slopes.computeMedian(Array.from({ length: batches }, () => measureBatch(action, count) / count));
};

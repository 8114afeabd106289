/**
 * Measures how the work of a function grows with the bytes that it gets.
 */

/** Factor between the two numbers of bytes that are compared. */
export const growth = 4;
/** Linear work grows as the bytes do, quadratic work by the square of that; the bound lies between the two. */
export const maxWorkGrowth = 2 * growth;

const minMeasuredMs = 2;
const maxRounds = 40;
const maxMeasuringMs = 20_000;

/**
 * Compares the work for some bytes with that for `growth` times as many. The lowest times of several rounds count, so that
 * other work on the machine has little influence.
 *
 * @param smallBytes - the smaller number of bytes
 * @param run - does the work for a number of bytes
 * @returns how often the work of the smaller number is contained in that of the larger one
 */
export const measureWorkGrowth = (smallBytes: number, run: (bytes: number) => void): number => {
    const measure = (bytes: number, repetitions: number): number => {
        const startedAtMs = performance.now();
        for (let count = 0; count < repetitions; count++) {
            run(bytes);
        }
        return performance.now() - startedAtMs;
    };
    const startedAtMs = performance.now();
    let repetitions = 1;
    while (measure(smallBytes, repetitions) < minMeasuredMs) {
        repetitions *= 2;
    }
    let [smallMs, largeMs] = [Infinity, Infinity];
    for (let round = 0; round < maxRounds; round++) {
        smallMs = Math.min(smallMs, measure(smallBytes, repetitions));
        largeMs = Math.min(largeMs, measure(growth * smallBytes, repetitions));
        if (largeMs < maxWorkGrowth * smallMs || performance.now() - startedAtMs > maxMeasuringMs) {
            break;
        }
    }
    return largeMs / smallMs;
};

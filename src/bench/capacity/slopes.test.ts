import test from "ava";
import * as fc from "fast-check";
import * as slopes from "./slopes.js";

const createSeries = (samples: readonly [number, number][], targetSize: number) => ({
    name: "n",
    unit: "u",
    by: "b",
    samples: samples.map(([size, value]) => ({ size, value })),
    targetSize,
});

test("a fit recovers a straight line from any set of samples", t => {
    const numbers = fc.integer({ min: -1000, max: 1000 });
    const sizes = fc.uniqueArray(fc.integer({ min: 0, max: 1000 }), { minLength: 2, maxLength: 8 });
    fc.assert(
        fc.property(numbers, numbers, sizes, (slope, intercept, measured) => {
            const samples = measured.map(size => ({ size, value: intercept + slope * size }));
            const fit = slopes.computeFit(samples);
            return Math.abs(fit.slope - slope) < 1e-6 && Math.abs(fit.intercept - intercept) < 1e-4;
        }),
        { seed: 7 },
    );
    t.pass();
});

test("a fit of samples of a single size fails instead of returning a wrong slope", t => {
    t.throws(() => slopes.computeFit([{ size: 5, value: 1 }]), { message: /two sizes/ });
    const twice = [
        { size: 5, value: 1 },
        { size: 5, value: 3 },
    ];
    t.throws(() => slopes.computeFit(twice), { message: /two sizes/ });
});

test("an estimate contains the extrapolation factor beyond the largest size", t => {
    const series = createSeries(
        [
            [40, 90],
            [10, 30],
            [20, 50],
        ],
        100,
    );
    const estimate = slopes.computeEstimate(series);
    t.is(estimate.atTarget, 210);
    t.is(estimate.reach, 2.5);
    t.is(estimate.worstResidual, 0);
});

test("a nonlinear series has a large residual, which shows that its extrapolation is unreliable", t => {
    const square = createSeries(
        [1, 2, 4, 8].map((size): [number, number] => [size, size * size]),
        16,
    );
    t.true(slopes.computeEstimate(square).worstResidual > 0.05);
});

test("the median is not affected by a single outlier", t => {
    t.is(slopes.computeMedian([3, 1, 1000]), 3);
    t.is(slopes.computeMedian([4, 2]), 3);
    t.is(slopes.computeMedian([]), NaN);
});

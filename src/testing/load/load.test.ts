import test from "ava";
import * as random from "../../common/random.js";
import * as arrivals from "./arrivals.js";
import * as latencies from "./latencies.js";
import * as tables from "./tables.js";

test("the mean interval matches the rate, and intervals depend only on the seed", t => {
    const listIntervals = (seed: number): number[] => {
        const generator = random.createRandom(seed);
        return Array.from({ length: 20_000 }, () => arrivals.pickIntervalMs(100, generator));
    };
    const intervals = listIntervals(3);
    const meanMs = intervals.reduce((sum, interval) => sum + interval, 0) / intervals.length;
    t.true(Math.abs(meanMs - 10) < 0.3, `mean is ${meanMs}`);
    t.deepEqual(listIntervals(3), intervals);
});

test("a slow response does not delay later arrivals, and calls receive their intended times in order", async t => {
    const intended: number[] = [];
    let release = (): void => undefined;
    const blocked = new Promise<void>(resolve => (release = resolve));
    const options = { ratePerSecond: 500, durationMs: 100, random: random.createRandom(1), isPolling: true };
    const running = arrivals.runArrivals(options, atMs => {
        intended.push(atMs);
        return blocked;
    });
    while (intended.length < 10) {
        await new Promise(resolve => setImmediate(resolve));
    }
    release();
    await running;
    t.deepEqual(
        intended,
        [...intended].sort((left, right) => left - right),
    );
});

test("the summary contains the percentiles of the recorded latencies", t => {
    const set = latencies.createLatencies();
    Array.from({ length: 1000 }, (_, index) => set.record(index + 1));
    const summary = set.toSummary();
    t.is(summary.count, 1000);
    t.true(Math.abs(summary.p50Ms - 500) < 1);
    t.true(Math.abs(summary.p99Ms - 990) < 1);
});

test("a table aligns columns of numbers to the right", t => {
    t.is(
        tables.formatTable(
            ["a", "ms"],
            [
                ["x", 1.5],
                ["long", 10],
            ],
        ),
        "a        ms\n----  -----\nx     1.500\nlong     10",
    );
});

import test from "ava";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as routeDurations from "./routeDurations.js";

test("the longest of the last requests counts, also if it is in progress or was not served", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const durations = routeDurations.createRouteDurations(scheduler);
    const run = async (durationMs: number, isServed: boolean): Promise<void> => {
        const measured = durations.begin("jobs");
        await scheduler.advance(durationMs);
        measured.finish(isServed);
        measured.finish(isServed);
    };
    await run(100, true);
    await run(400, false);
    t.deepEqual(durations.get("jobs"), { samples: 1, longestMs: 400 });
    t.deepEqual(durations.get("others"), { samples: 0, longestMs: 0 });
    durations.begin("jobs");
    await scheduler.advance(600);
    t.is(durations.get("jobs").longestMs, 600);
});

test("durations of long ago are dropped", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const durations = routeDurations.createRouteDurations(scheduler);
    for (let count = 0; count < 200; count++) {
        const measured = durations.begin("jobs");
        await scheduler.advance(count === 0 ? 5_000 : 10);
        measured.finish(true);
    }
    const { samples, longestMs } = durations.get("jobs");
    t.is(longestMs, 10);
    t.true(samples >= 64);
});

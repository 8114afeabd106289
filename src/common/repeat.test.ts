import test from "ava";
import * as virtualScheduler from "../testing/virtualScheduler.js";
import * as repeat from "./repeat.js";

// Guards against a process that goes on after an unexpected error without its heartbeats.
test("an action that throws runs again after the next interval", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    let runs = 0;
    const series = repeat.repeatAction(scheduler, 100, () => {
        runs++;
        if (runs === 1) {
            throw new Error("unexpected");
        }
    });
    await t.throwsAsync(scheduler.advance(150), { message: "unexpected" });
    await scheduler.advance(300);
    t.is(runs, 4);
    series.dispose();
    await scheduler.advance(500);
    t.is(runs, 4);
});

test("an action can end its own series", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    let runs = 0;
    const series = repeat.repeatAction(scheduler, 100, () => {
        runs++;
        series.dispose();
    });
    await scheduler.advance(1_000);
    t.is(runs, 1);
});

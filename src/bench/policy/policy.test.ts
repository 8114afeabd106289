import test from "ava";
import * as runScenario from "./runScenario.js";
import * as scenarios from "./scenarios.js";
import * as simScheduler from "./simScheduler.js";
import * as policyTypes from "./Types.js";

const createShortScenario = (name: string, label: string): policyTypes.Scenario => {
    const rows = scenarios.experiments.find(experiment => experiment.name === name)?.rows ?? [];
    const row = rows.find(candidate => candidate.labels.includes("Fraserbank") && candidate.labels.includes(label));
    if (row === undefined) {
        throw new Error(`no row ${label}`);
    }
    return { ...row.scenario, durationMs: 12_000 };
};

test("actions run in order of time, including actions scheduled while others run", async t => {
    const scheduler = simScheduler.createSimScheduler();
    const order: string[] = [];
    for (const delayMs of [5, 1, 4, 2, 3, 1]) {
        scheduler.schedule(delayMs, () => order.push(String(scheduler.now())));
    }
    scheduler.schedule(2, () => scheduler.schedule(0.5, () => order.push("late")));
    scheduler.schedule(3, () => order.push("cancelled")).dispose();
    await scheduler.runUntil(10);
    t.deepEqual(order, ["1", "1", "2", "late", "3", "4", "5"]);
});

test("a run is reproducible, and owners never exceed slots or cold slots", async t => {
    const scenario = createShortScenario("cold", "owners, cold leases");
    const first = await runScenario.runScenario(scenario, 3);
    t.deepEqual(await runScenario.runScenario(scenario, 3), first);
    t.is(first.calls, first.latenciesMs.length + first.refused, "no call is lost");
    t.is(first.beyondSlots, 0);
    t.is(first.beyondColdSlots, 0);
    t.true(first.allWarmAtMs !== undefined);
});

test("the experiment distinguishes policies: without owners, calls arrive at targets with all slots busy", async t => {
    const result = await runScenario.runScenario(createShortScenario("policy", "two random, all zones"), 3);
    t.true(result.beyondSlots > 0);
});

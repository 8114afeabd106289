import test from "ava";
import * as plan from "./plan.js";
import * as types from "./Types.js";

const size: plan.SoakSize = { vms: 5, targets: 12, zones: 3, services: 2, faultsMs: 18_000 };
const seeds = Array.from({ length: 60 }, (_, index) => index + 1);

const listFaults = (): readonly types.Fault[] =>
    seeds.flatMap(seed => plan.createPlan(seed, size).map(({ fault }) => fault));

test("a seed gives the same plan again", t => {
    t.deepEqual(plan.createPlan(7, size), plan.createPlan(7, size));
    t.notDeepEqual(plan.createPlan(7, size), plan.createPlan(8, size));
});

// Guards against plans that leave out what a copied refusal needs: copies, and two ids at one address.
test("plans include copies of responses, and targets that start again at their address or another one", t => {
    const faults = listFaults();
    const modes = faults.flatMap(fault => (fault.kind === "target" || fault.kind === "service" ? [fault.mode] : []));
    t.true(modes.includes("response-copies"));
    const restartModes = faults.flatMap(fault => (fault.kind === "restart" ? [fault.mode] : []));
    t.true(restartModes.includes("response-copies"));
    t.true(restartModes.includes(undefined));
    const crashes = faults.flatMap(fault => (fault.kind === "crash" ? [fault.keepsAddress] : []));
    t.true(crashes.includes(true));
    t.true(crashes.includes(false));
});

import * as timers from "node:timers/promises";
import test from "ava";
import * as graph from "xstate/graph";
import * as model from "./quotaModel.js";
import * as modelEvents from "./quotaModelEvents.js";

interface Snapshot {
    readonly status: "active";
    readonly output: undefined;
    readonly error: undefined;
    readonly state: model.ModelState;
}

const toSnapshot = (state: model.ModelState): Snapshot => ({
    status: "active",
    output: undefined,
    error: undefined,
    state,
});

class InvariantViolation extends Error {
    constructor(readonly trace: readonly string[]) {
        super(`more requests in a window than the quota allows after ${trace.join(" ")}`);
    }
}

/** Counts all reachable states; throws at the first one that violates the invariant. */
const countStates = (settings: model.ModelSettings): number => {
    const initial = modelEvents.createInitialState(settings);
    const names = new WeakMap<model.ModelState, string>();
    const formatState = (state: model.ModelState): string => {
        const name = names.get(state) ?? modelEvents.formatState(state);
        names.set(state, name);
        return name;
    };
    const foundStates = new Set([formatState(initial)]);
    const successors = new WeakMap<modelEvents.ModelEvent, Snapshot>();

    // The explorer queues every edge. Omitting edges to known states keeps its queue short.
    const listNewEvents = (state: model.ModelState): readonly modelEvents.ModelEvent[] =>
        modelEvents.listEvents(state, settings).filter(event => {
            const next = modelEvents.applyModelEvent(state, event, settings);
            if (modelEvents.isExceeded(next)) {
                throw new InvariantViolation(next.trace);
            }
            const countBefore = foundStates.size;
            foundStates.add(formatState(next));
            successors.set(event, toSnapshot(next));
            return foundStates.size > countBefore;
        });

    const logic = {
        getInitialSnapshot: () => toSnapshot(initial),
        transition: (snapshot: Snapshot, event: modelEvents.ModelEvent) => successors.get(event) ?? snapshot,
        getPersistedSnapshot: (snapshot: Snapshot) => snapshot,
    };
    const map = graph.getAdjacencyMap(logic, {
        events: snapshot => listNewEvents(snapshot.state),
        serializeState: snapshot => formatState(snapshot.state),
        limit: Infinity,
    });
    return Object.keys(map).length;
};

interface Scenario {
    readonly name: string;
    readonly settings: Omit<model.ModelSettings, "fault">;
}

const toScenario = (name: string, disturbances: readonly model.Disturbance[], horizon: number, isParted = false) => ({
    name,
    settings: { disturbances, horizon, isParted },
});

const inTouch: Scenario = toScenario("two VMs in touch", [], 4);
const partition: Scenario = toScenario("a partition begins and ends", ["leave"], 3);
const twoLedgers: Scenario = toScenario("two ledgers of a partition", ["leave"], 3, true);
const death: Scenario = toScenario("VMs and the ledger die and return", ["restart"], 4);
const pause: Scenario = toScenario("paused VMs", ["pause"], 3);
/** Too long for a check of all states, but a violation is found soon. */
const longPause: Scenario = toScenario("long pause", ["pause"], 4);
const takeBack: Scenario = toScenario("charges that are taken back", ["takeBack"], 3);
const lowerQuota: Scenario = toScenario("a quota that falls", ["quota"], 3);

for (const { name, settings } of [inTouch, partition, twoLedgers, death, pause, takeBack, lowerQuota]) {
    test.serial(`requests in a window stay within the quota and its tolerance: ${name}`, async t => {
        // Lets the test runner see the progress between two checks that take seconds.
        await timers.setImmediate();
        const states = countStates({ ...settings, fault: "none" });
        t.log(`${String(states)} states`);
        t.true(states > 1_000);
    });
}

// Guards against a model that is too weak to show what each mechanism is for.
const faults: readonly (readonly [model.ModelFault, Scenario])[] = [
    ["credit not divided", inTouch],
    ["early expiry of debt", inTouch],
    ["use of late grants", inTouch],
    ["whole rate for each ledger", partition],
    ["whole burst for each ledger", twoLedgers],
    ["credit before the leases of another ledger end", twoLedgers],
    ["full bucket at the start", death],
    ["no restart after a pause", longPause],
    ["token used again by the VM", takeBack],
    ["return of old tokens", takeBack],
    ["credit of the former quota", lowerQuota],
];
for (const [fault, { settings }] of faults) {
    test.serial(`the model check detects the fault: ${fault}`, async t => {
        await timers.setImmediate();
        const violation = t.throws(() => countStates({ ...settings, fault }), { instanceOf: InvariantViolation });
        t.log(violation.trace.join(" "));
    });
}

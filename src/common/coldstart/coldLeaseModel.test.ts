import test from "ava";
import * as graph from "xstate/graph";
import * as model from "./coldLeaseModel.js";
import * as modelIdentity from "./modelIdentity.js";

const lease = { leaseMs: 2, marginMs: 1, renewEveryMs: 1, pollMs: 1 };

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
        super(`more calls than slots after ${trace.join(" ")}`);
    }
}

/** Counts all reachable states; throws at the first one that violates the invariant. */
const countStates = (fault: model.ModelFault): number => {
    const settings: model.ModelSettings = { lease, coldSlots: 1, maxWrites: 2, fault };
    const format = modelIdentity.createStateFormatter(settings);
    const stateNames = new WeakMap<model.ModelState, string>();
    const formatState = (state: model.ModelState): string => {
        const name = stateNames.get(state) ?? format(state);
        stateNames.set(state, name);
        return name;
    };
    const initial = model.createInitialState(settings);
    const foundStates = new Set([formatState(initial)]);
    const successors = new WeakMap<model.ModelEvent, Snapshot>();

    // The explorer queues every edge. Omitting edges to known states keeps its queue short.
    const listNewEvents = (state: model.ModelState): readonly model.ModelEvent[] =>
        model.listEvents(state, settings).filter(event => {
            const next = model.applyModelEvent(state, event, settings);
            if (model.countCalls(next) > settings.coldSlots) {
                throw new InvariantViolation(model.listTrace(next));
            }
            const countBefore = foundStates.size;
            foundStates.add(formatState(next));
            successors.set(event, toSnapshot(next));
            return foundStates.size > countBefore;
        });

    const logic = {
        getInitialSnapshot: () => toSnapshot(initial),
        transition: (snapshot: Snapshot, event: model.ModelEvent) => successors.get(event) ?? snapshot,
        getPersistedSnapshot: (snapshot: Snapshot) => snapshot,
    };
    const map = graph.getAdjacencyMap(logic, {
        events: snapshot => listNewEvents(snapshot.state),
        serializeState: snapshot => formatState(snapshot.state),
    });
    return Object.keys(map).length;
};

test("calls at a cold target never exceed its slots, despite delayed, lost or refused requests and paused VMs", t => {
    const states = countStates("none");
    t.log(`${String(states)} states`);
    t.true(states > 1_000);
});

const faults: model.ModelFault[] = ["countFromResponse", "noWait", "releaseInFlight", "longCall", "assumeCommitted"];
for (const fault of faults) {
    test(`the model check detects the fault ${fault}`, t => {
        const violation = t.throws(() => countStates(fault), { instanceOf: InvariantViolation });
        t.log(violation.trace.join(" "));
    });
}

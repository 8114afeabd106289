import test from "ava";
import * as graph from "xstate/graph";
import * as model from "./revisionModel.js";

const permutations = [
    [0, 1, 2],
    [0, 2, 1],
    [1, 0, 2],
    [1, 2, 0],
    [2, 0, 1],
    [2, 1, 0],
] as const;

const formatVm = (vm: model.ModelVm, order: readonly number[], rules: model.ModelRules): string => {
    const { startedAtMs, inUse, pending } = vm.state;
    const digests = order.map(index => {
        const digest = vm.digests[index];
        return digest === undefined ? "" : [digest.revision, +digest.synced, digest.seenAtMs].join(",");
    });
    const message = vm.message && [
        vm.message.from === "table" ? "t" : order.indexOf(vm.message.from),
        vm.message.requestedAt,
        vm.message.content && JSON.stringify(Object.values(vm.message.content)),
    ];
    return [
        startedAtMs,
        inUse.revision,
        inUse.confirmedAtMs,
        pending.map(entry => [entry.revision, entry.atMs].join(",")).join("+"),
        digests.join("/"),
        message?.join(","),
        +vm.hasReverted,
        rules.acceptsPastAdoption ? +vm.hasEverAdopted : "",
    ].join(";");
};

/** Formats a state independently of the numbering of the VMs, so that symmetric states are explored once. */
const formatState = (state: model.ModelState, rules: model.ModelRules): string => {
    const { ticks, restarts, tableReads, pulls } = state.remaining;
    const texts = permutations.map(order =>
        order.map(index => formatVm(state.vms[index] as model.ModelVm, order, rules)).join("|"),
    );
    texts.sort();
    return [state.now, state.committed, state.acceptedAt, ticks, restarts, tableReads, pulls, texts[0]].join(" ");
};

interface Exploration {
    readonly states: number;
    readonly violation: string | undefined;
    readonly trace: readonly string[];
}

interface Visit {
    readonly event: string;
    readonly before: string | undefined;
}

const explore = (bounds: model.ModelBounds, rules: model.ModelRules): Exploration => {
    const keys = new WeakMap<model.ModelState, string>();
    const visits = new Map<string, Visit>();
    let violation: string | undefined;
    let violatedKey: string | undefined;
    const toSnapshot = (state: model.ModelState) => state as never;
    const logic = {
        getInitialSnapshot: () => toSnapshot(model.createModelState(bounds)),
        transition: (state: never, event: model.ModelEvent) => toSnapshot(model.computeNextState(state, event, rules)),
    };
    graph.getAdjacencyMap(
        logic as never,
        {
            events: ((state: model.ModelState) => (violation === undefined ? model.listEvents(state) : [])) as never,
            serializeEvent: (event: unknown) => JSON.stringify(event) as never,
            serializeState: (state: model.ModelState, event: unknown, previous: model.ModelState | undefined) => {
                const key = keys.get(state) ?? formatState(state, rules);
                keys.set(state, key);
                if (!visits.has(key)) {
                    visits.set(key, { event: JSON.stringify(event), before: previous && keys.get(previous) });
                }
                return key as never;
            },
            stopWhen: (state: model.ModelState) => {
                if (violation === undefined) {
                    violation = model.findViolation(state);
                    violatedKey = violation === undefined ? undefined : keys.get(state);
                }
                return violation !== undefined;
            },
        } as never,
    );
    const trace: string[] = [];
    for (let key = violatedKey; key !== undefined; key = visits.get(key)?.before) {
        trace.unshift(visits.get(key)?.event ?? "start");
    }
    return { states: visits.size, violation, trace };
};

/** Bounds that can be explored fully within seconds. docs/configuration-spread.md lists larger ones. */
const soundBounds: readonly model.ModelBounds[] = [
    { ticks: 3, restarts: 0, tableReads: 1, pulls: 1, delays: 1 },
    { ticks: 4, restarts: 1, tableReads: 0, pulls: 1, delays: 1 },
    { ticks: 4, restarts: 1, tableReads: 0, pulls: 2, delays: 0 },
];

/** Larger bounds for a manual run, as JSON. */
const manualBounds = process.env["TARRAGONPATH_MODEL_BOUNDS"];

for (const bounds of manualBounds === undefined ? soundBounds : [JSON.parse(manualBounds) as model.ModelBounds]) {
    test(`the rules satisfy the invariants in all states within ${JSON.stringify(bounds)}`, t => {
        const result = explore(bounds, model.soundRules);
        t.log(`${result.states} states`);
        t.is(result.violation, undefined, result.trace.join("\n"));
    });
}

const brokenRules: readonly [keyof model.ModelRules, model.ModelBounds][] = [
    ["countsUnsynced", { ticks: 3, restarts: 1, tableReads: 0, pulls: 1, delays: 0 }],
    ["datesAtResponse", { ticks: 3, restarts: 0, tableReads: 0, pulls: 1, delays: 1 }],
    ["adoptsLower", { ticks: 1, restarts: 0, tableReads: 0, pulls: 1, delays: 1 }],
    ["syncsByOldConfirmation", { ticks: 3, restarts: 1, tableReads: 0, pulls: 1, delays: 0 }],
    ["acceptsPastAdoption", { ticks: 4, restarts: 1, tableReads: 0, pulls: 2, delays: 0 }],
];

for (const [rule, bounds] of brokenRules) {
    test(`the model check detects the broken rule ${rule}`, t => {
        const result = explore(bounds, { ...model.soundRules, [rule]: true });
        t.log(`${result.states} states; ${result.violation}: ${result.trace.join(" ")}`);
        t.not(result.violation, undefined);
    });
}

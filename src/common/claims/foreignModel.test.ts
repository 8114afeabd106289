import test from "ava";
import * as explorer from "./model/explorer.js";
import * as foreignModel from "./model/foreignModel.js";
import * as rowClaim from "./rowClaim.js";

const maxStates = 2_000_000;

const boundsList: readonly foreignModel.ForeignBounds[] = [
    { calls: 2, crashes: 1, faults: 3 },
    { calls: 3, crashes: 1, faults: 1 },
];

for (const bounds of boundsList) {
    test(`foreign keys: at most one start and correct responses, within ${JSON.stringify(bounds)}`, t => {
        const model = foreignModel.createForeignModel(foreignModel.foreignRules, bounds);
        const result = explorer.runExploration(model, maxStates);
        t.log(JSON.stringify(result));
        t.is(result.kind, "holds");
    });
}

const runBrokenModel = (
    change: Partial<foreignModel.ForeignRules>,
    bounds: foreignModel.ForeignBounds = { calls: 2, crashes: 0, faults: 1 },
): explorer.Exploration =>
    explorer.runExploration(
        foreignModel.createForeignModel({ ...foreignModel.foreignRules, ...change }, bounds),
        maxStates,
    );

test("foreign keys: the model check detects a send without reading back after an unknown write outcome", t => {
    const result = runBrokenModel({
        applyRowObservation: (claim, observation) =>
            rowClaim.applyRowObservation(claim, observation.kind === "unknown" ? { kind: "committed" } : observation),
    });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

test("foreign keys: the model check detects an unconditional retry after an unknown write outcome", t => {
    const result = runBrokenModel({
        isRetryConditional: false,
        applyRowObservation: (claim, observation) =>
            observation.kind === "unknown"
                ? { claim: { ...claim, mayExist: true }, step: { kind: "write" } }
                : rowClaim.applyRowObservation(claim, observation),
    });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

test("foreign keys: the model check detects a takeover of the claim of a paused writer", t => {
    const result = runBrokenModel({
        applyRowObservation: (claim, observation) =>
            rowClaim.applyRowObservation(
                claim,
                observation.kind === "row" && observation.row?.end.kind === "running"
                    ? { kind: "committed" }
                    : observation,
            ),
    });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

test("foreign keys: the model check detects an unconditional removal of a row", t => {
    const result = runBrokenModel({ isRemovalConditional: false }, { calls: 3, crashes: 0, faults: 1 });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

test("foreign keys: the model check detects a table service that reuses the versions of removed rows", t => {
    const result = runBrokenModel({ areVersionsReused: true }, { calls: 3, crashes: 0, faults: 1 });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

import test from "ava";
import * as arbiter from "./arbiter.js";
import * as explorer from "./model/explorer.js";
import * as issuedModel from "./model/issuedModel.js";

const callCount = 3;
const maxStates = 1_000_000;

test("issued keys: at most one start and correct responses, despite crashes and lost or late messages", t => {
    const model = issuedModel.createIssuedModel(issuedModel.issuedRules, callCount);
    const result = explorer.runExploration(model, maxStates);
    t.log(`${callCount} calls, 1 crash of the arbiter, 3 epochs: ${JSON.stringify(result)}`);
    t.is(result.kind, "holds");
});

const runBrokenModel = (change: Partial<issuedModel.IssuedRules>): explorer.Exploration =>
    explorer.runExploration(
        issuedModel.createIssuedModel({ ...issuedModel.issuedRules, ...change }, callCount),
        maxStates,
    );

test("issued keys: the model check detects that an expired key runs", t => {
    const result = runBrokenModel({ computeEpochStatus: () => "live" });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

test("issued keys: the model check detects that a running key is dropped", t => {
    const result = runBrokenModel({
        applyKeyEvent: (state, event) =>
            arbiter.applyKeyEvent(
                event.kind === "begin" && state.kind === "running" ? arbiter.notRunState : state,
                event,
            ),
    });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "the key started twice");
});

test("issued keys: the model check detects that not-run is reported when the arbiter is gone", t => {
    const result = runBrokenModel({ arbiterGoneError: "no_target" });
    t.log(result);
    t.is(result.kind === "refuted" && result.violation, "a call that was reported not-run has started");
});

import test from "ava";
import * as checker from "./checker.js";
import * as types from "./Types.js";

const allowances = checker.defaultAllowances;

const createTargetEvent = (event: Partial<types.TargetEvent>): types.TargetEvent => ({
    kind: "started",
    atMs: 0,
    target: "t1",
    zone: "a",
    boot: "b1",
    cold: false,
    running: 1,
    requestId: "c1.1",
    key: "k1",
    ...event,
});

const createResponseEvent = (event: Partial<types.ResponseEvent> = {}): types.ResponseEvent => ({
    kind: "answered",
    atMs: 10,
    call: "c1",
    requestId: "c1.1",
    service: "bookings",
    entry: "e1",
    isIdempotent: false,
    key: "k1",
    outcome: "ran",
    answer: { isWhole: true, isOwn: true },
    ...event,
});

const listRules = (history: Partial<types.History>): string[] => {
    const whole = { targets: [], callers: [], removals: [], limits: [{ target: "t1", coldSlots: 1 }], ...history };
    return checker.checkHistory(whole, allowances).map(violation => violation.rule);
};

test("a history in which each call ran once has no violations", t => {
    const finished = createTargetEvent({ kind: "finished" });
    t.deepEqual(listRules({ targets: [createTargetEvent({}), finished], callers: [createResponseEvent()] }), []);
});

test("detects a non-idempotent key that starts at two targets, also under two request ids", t => {
    const second = createTargetEvent({ target: "t2", requestId: "c1.2" });
    const callers = [createResponseEvent(), createResponseEvent({ requestId: "c1.2" })];
    t.deepEqual(listRules({ targets: [createTargetEvent({}), second], callers }), ["at-most-once"]);
    const idempotent = callers.map(event => ({ ...event, isIdempotent: true }));
    t.deepEqual(listRules({ targets: [createTargetEvent({}), second], callers: idempotent }), []);
});

test("detects a start before or after a 'not run' response, and allows a later try of the call", t => {
    const refused = createResponseEvent({ outcome: "not-run" });
    const ran = createResponseEvent({ requestId: "c1.2" });
    t.deepEqual(listRules({ targets: [createTargetEvent({ atMs: 5 })], callers: [refused] }), ["not-run"]);
    t.deepEqual(listRules({ targets: [createTargetEvent({ atMs: 50 })], callers: [refused] }), ["not-run"]);
    t.deepEqual(listRules({ targets: [createTargetEvent({ requestId: "c1.2" })], callers: [refused, ran] }), []);
});

test("detects truncated responses and responses to other calls", t => {
    t.deepEqual(listRules({ callers: [createResponseEvent({ answer: { isWhole: false, isOwn: false } })] }), [
        "own-answer",
    ]);
    t.deepEqual(listRules({ callers: [createResponseEvent({ answer: { isWhole: true, isOwn: false } })] }), [
        "own-answer",
    ]);
});

test("detects a start in a removed zone after the allowance and before the zone returns", t => {
    const removals = [{ zone: "a", acceptedAtMs: 1000, returnedAtMs: 9000 }];
    const listRulesAt = (atMs: number): string[] => listRules({ targets: [createTargetEvent({ atMs })], removals });
    t.deepEqual(listRulesAt(1000 + allowances.removalMs), []);
    t.deepEqual(listRulesAt(1001 + allowances.removalMs), ["removed-zone"]);
    t.deepEqual(listRulesAt(9000), []);
});

test("detects more calls than the cold slots, but ignores those that began while the target was warm", t => {
    const createColdStart = (run: number, atMs: number): types.TargetEvent =>
        createTargetEvent({ cold: true, run, atMs });
    t.deepEqual(listRules({ targets: [createColdStart(1, 1), createColdStart(2, 2)] }), ["cold-slots"]);
    const finished = createTargetEvent({ kind: "finished", run: 1, atMs: 2 });
    t.deepEqual(listRules({ targets: [createColdStart(1, 1), finished, createColdStart(2, 3)] }), []);
    const turned = createTargetEvent({ kind: "turnedCold", atMs: 2 });
    const warm = createTargetEvent({ run: 1, atMs: 1 });
    const afterDetectionMs = 3 + allowances.coldDetectionMs;
    t.deepEqual(listRules({ targets: [warm, turned, createColdStart(2, 3), createColdStart(3, 4)] }), []);
    t.deepEqual(listRules({ targets: [warm, turned, createColdStart(2, 3), createColdStart(3, afterDetectionMs)] }), [
        "cold-slots",
    ]);
});

test("detects probes beyond the budget", t => {
    const createProbes = (intervalMs: number): types.TargetEvent[] =>
        Array.from({ length: 5 }, (_, index) => createTargetEvent({ kind: "probed", atMs: index * intervalMs }));
    t.deepEqual(listRules({ targets: createProbes(2000) }), []);
    t.deepEqual(listRules({ targets: createProbes(500) }), ["probe-budget"]);
});

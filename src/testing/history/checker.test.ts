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

const createAnswer = (event: Partial<types.AnsweredEvent> = {}): types.AnsweredEvent => ({
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

test("a history of calls that ran once has no violation", t => {
    const finished = createTargetEvent({ kind: "finished" });
    t.deepEqual(listRules({ targets: [createTargetEvent({}), finished], callers: [createAnswer()] }), []);
});

test("a non-idempotent key that starts at two targets is caught, also under two request ids", t => {
    const second = createTargetEvent({ target: "t2", requestId: "c1.2" });
    const callers = [createAnswer(), createAnswer({ requestId: "c1.2" })];
    t.deepEqual(listRules({ targets: [createTargetEvent({}), second], callers }), ["at-most-once"]);
    const idempotent = callers.map(event => ({ ...event, isIdempotent: true }));
    t.deepEqual(listRules({ targets: [createTargetEvent({}), second], callers: idempotent }), []);
});

test("a start before or after the answer 'not run' is caught, and a later sending of the call is allowed", t => {
    const refused = createAnswer({ outcome: "not-run" });
    const ran = createAnswer({ requestId: "c1.2" });
    t.deepEqual(listRules({ targets: [createTargetEvent({ atMs: 5 })], callers: [refused] }), ["not-run"]);
    t.deepEqual(listRules({ targets: [createTargetEvent({ atMs: 50 })], callers: [refused] }), ["not-run"]);
    t.deepEqual(listRules({ targets: [createTargetEvent({ requestId: "c1.2" })], callers: [refused, ran] }), []);
});

test("truncated answers and answers of other calls are caught", t => {
    t.deepEqual(listRules({ callers: [createAnswer({ answer: { isWhole: false, isOwn: false } })] }), ["own-answer"]);
    t.deepEqual(listRules({ callers: [createAnswer({ answer: { isWhole: true, isOwn: false } })] }), ["own-answer"]);
});

test("a start in a removed zone is caught after the allowance and before the return", t => {
    const removals = [{ zone: "a", acceptedAtMs: 1000, returnedAtMs: 9000 }];
    const listAt = (atMs: number): string[] => listRules({ targets: [createTargetEvent({ atMs })], removals });
    t.deepEqual(listAt(1000 + allowances.removalMs), []);
    t.deepEqual(listAt(1001 + allowances.removalMs), ["removed-zone"]);
    t.deepEqual(listAt(9000), []);
});

test("more calls than the cold slots are caught, but not those that began while the target was warm", t => {
    const cold = (run: number, atMs: number): types.TargetEvent => createTargetEvent({ cold: true, run, atMs });
    t.deepEqual(listRules({ targets: [cold(1, 1), cold(2, 2)] }), ["cold-slots"]);
    const finished = createTargetEvent({ kind: "finished", run: 1, atMs: 2 });
    t.deepEqual(listRules({ targets: [cold(1, 1), finished, cold(2, 3)] }), []);
    const turned = createTargetEvent({ kind: "turnedCold", atMs: 2 });
    const warm = createTargetEvent({ run: 1, atMs: 1 });
    const afterNoticeMs = 3 + allowances.coldNoticeMs;
    t.deepEqual(listRules({ targets: [warm, turned, cold(2, 3), cold(3, 4)] }), []);
    t.deepEqual(listRules({ targets: [warm, turned, cold(2, 3), cold(3, afterNoticeMs)] }), ["cold-slots"]);
});

test("probes beyond the budget are caught", t => {
    const listProbes = (intervalMs: number): types.TargetEvent[] =>
        Array.from({ length: 5 }, (_, index) => createTargetEvent({ kind: "probed", atMs: index * intervalMs }));
    t.deepEqual(listRules({ targets: listProbes(2000) }), []);
    t.deepEqual(listRules({ targets: listProbes(500) }), ["probe-budget"]);
});

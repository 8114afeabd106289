import test from "ava";
import * as checker from "./checker.js";
import * as types from "./Types.js";

const bounds: types.SoakBounds = {
    contactMs: 3_000,
    drainMs: 2_000,
    configurationMs: 2_000,
    zoneOutMs: 5_000,
    recoveryMs: 5_000,
    retryShare: 0.2,
    retryWindowMs: 10_000,
    retryExtra: 2,
    coldPerSecond: 5,
};

const createCall = (id: string, fields: Partial<types.CallerRecord> = {}): types.CallerRecord => ({
    id,
    kind: "non-idempotent",
    method: "POST",
    path: "/book/1",
    bodyDigest: "d",
    vm: 0,
    sentAtMs: 20_000,
    endedAtMs: 20_100,
    outcome: { kind: "answered", status: 200, isSealed: true, body: `body of ${id}` },
    ...fields,
});

const createRun = (id: string, fields: Partial<types.RunRecord> = {}): types.RunRecord => ({
    id,
    atMs: 20_050,
    target: "t1",
    service: "ledger",
    zone: "zone-a",
    method: "POST",
    path: "/book/1",
    bodyDigest: "d",
    body: `body of ${id}`,
    status: 200,
    ...fields,
});

const createArrival = (id: string, fields: Partial<types.ArrivalRecord> = {}): types.ArrivalRecord => ({
    id,
    atMs: 20_040,
    target: "t1",
    service: "ledger",
    isCold: false,
    ...fields,
});

/** Adds a served request after the faults, without which every history breaks the rule of recovery. */
const findRules = (history: Partial<types.SoakHistory>): readonly types.SoakRule[] => {
    const full: types.SoakHistory = {
        arrivals: [],
        orders: [],
        disturbances: [],
        calmFromMs: 40_000,
        endedAtMs: 50_000,
        ...history,
        calls: [...(history.calls ?? []), createCall("last", { path: "/read/1", sentAtMs: 49_000, endedAtMs: 49_100 })],
        runs: [
            ...(history.runs ?? []),
            createRun("last", { path: "/read/1", target: "t9", zone: "zone-z", atMs: 49_050 }),
        ],
    };
    return checker.checkHistory(full, bounds).map(violation => violation.rule);
};

const answer = (status: number, isSealed: boolean, body = ""): types.CallerOutcome => ({
    kind: "answered",
    status,
    isSealed,
    body,
});

test("a request that ran once and was answered breaks no rule", t => {
    t.deepEqual(findRules({ calls: [createCall("a")], runs: [createRun("a")], arrivals: [createArrival("a")] }), []);
});

test("a request that may not be repeated and ran twice is found, another one is not", t => {
    const runs = [createRun("a"), createRun("a", { target: "t2" })];
    t.deepEqual(findRules({ calls: [createCall("a")], runs }), ["twice"]);
    t.deepEqual(findRules({ calls: [createCall("a", { kind: "idempotent" })], runs }), []);
});

test("a refusal of a request that ran is found", t => {
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: answer(503, false) })], runs: [createRun("a")] }), [
        "refused",
    ]);
});

test("answers that are not the target's own are found", t => {
    const runs = [createRun("a")];
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: answer(200, true, "other") })], runs }), ["mixed"]);
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: answer(200, false, "body of a") })], runs }), ["mixed"]);
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: answer(500, true) })], runs }), ["mixed"]);
});

test("a request that nobody sent, or that was changed, is found", t => {
    t.deepEqual(findRules({ runs: [createRun("x")] }), ["unasked"]);
    t.deepEqual(findRules({ calls: [createCall("a")], runs: [createRun("a", { bodyDigest: "e" })] }), ["unasked"]);
});

test("requests against an order are found unless a VM was disturbed", t => {
    const history = { calls: [createCall("a")], runs: [createRun("a")] };
    const leaving = { kind: "leaving", atMs: 17_000, target: "t1" } as const;
    const zoneOut = { kind: "zone-out", atMs: 14_000, zone: "zone-a", endsAtMs: Infinity } as const;
    const moved = { kind: "route-moved", atMs: 17_000, path: "/book/", service: "other" } as const;
    t.deepEqual(findRules({ ...history, orders: [leaving] }), ["drain"]);
    t.deepEqual(findRules({ ...history, orders: [zoneOut] }), ["zone-out"]);
    t.deepEqual(findRules({ ...history, orders: [moved] }), ["route"]);
    const disturbances = [{ fromMs: 15_000, toMs: 16_000, vm: 0, keepsAnswers: false }];
    t.deepEqual(findRules({ ...history, orders: [leaving, moved], disturbances }), []);
});

test("a connection that was closed after the request ran is found unless the VM was hurt", t => {
    const history = { calls: [createCall("a", { outcome: { kind: "closed" } })], runs: [createRun("a")] };
    const createDisturbance = (keepsAnswers: boolean) => ({ fromMs: 19_000, toMs: 21_000, vm: 0, keepsAnswers });
    t.deepEqual(findRules(history), ["lost"]);
    t.deepEqual(findRules({ ...history, disturbances: [createDisturbance(true)] }), ["lost"]);
    t.deepEqual(findRules({ ...history, disturbances: [createDisturbance(false)] }), []);
});

test("requests that are denied or not answered are found", t => {
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: answer(404, false) })] }), ["denied"]);
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: { kind: "timeout" } })] }), ["unanswered"]);
});

test("too many repeats, and too many requests for a cold target, are found", t => {
    const repeats = Array.from({ length: 4 }, () => createArrival("a"));
    t.true(findRules({ arrivals: repeats }).includes("budget"));
    const cold = Array.from({ length: 6 }, (_, index) => createArrival(`a${index}`, { isCold: true }));
    t.deepEqual(findRules({ arrivals: cold }), ["cold"]);
    t.deepEqual(findRules({ arrivals: cold.slice(1) }), []);
});

test("service that does not come back is found", t => {
    const calls = [createCall("a", { sentAtMs: 48_000, outcome: { kind: "unconnected" } })];
    t.deepEqual(findRules({ calls }), ["recovery"]);
});

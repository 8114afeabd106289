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
    limitWindowMs: 4_000,
    limitOvershoot: 1.5,
    limitExtra: 5,
    pauseDelayMs: 500,
    pauseExtra: 2,
    partitionedShare: 2 / 3,
    partitionedExtra: 10,
    partitionedFailureShare: 0.02,
    crashLimit: 3,
    crashExtra: 3,
    quotaWindowMs: 5_000,
    quotaOvershoot: 0.1,
    quotaSlack: 20,
    quotaLowShare: 0.1,
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
    senderHost: "vm-0",
    isCold: false,
    limit: undefined,
    isLeaving: false,
    pauseMs: undefined,
    ...fields,
});

/** Adds a successful request after the faults, without which every history violates the rule `recovery`. */
const findRules = (history: Partial<types.SoakHistory>): readonly types.SoakRule[] => {
    const full: types.SoakHistory = {
        arrivals: [],
        crashes: [],
        committedChanges: [],
        disturbances: [],
        partitions: [],
        quotas: [],
        vmHosts: ["vm-0", "vm-1"],
        faultsEndedAtMs: 40_000,
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

const createResponse = (status: number, isSealed: boolean, body = ""): types.CallerOutcome => ({
    kind: "answered",
    status,
    isSealed,
    body,
});

test("a request that ran once and got its response violates no rule", t => {
    t.deepEqual(findRules({ calls: [createCall("a")], runs: [createRun("a")], arrivals: [createArrival("a")] }), []);
});

test("a second run is reported for a non-idempotent request, but not for an idempotent one", t => {
    const runs = [createRun("a"), createRun("a", { target: "t2" })];
    t.deepEqual(findRules({ calls: [createCall("a")], runs }), ["twice"]);
    t.deepEqual(findRules({ calls: [createCall("a", { kind: "idempotent" })], runs }), []);
});

test("a refusal of a request that ran is reported", t => {
    t.deepEqual(
        findRules({ calls: [createCall("a", { outcome: createResponse(503, false) })], runs: [createRun("a")] }),
        ["refused"],
    );
});

// Guards against checks that excuse a sending because another one under the same id ran, was served or was refused.
test("requests that are sent again under their id are judged sending by sending", t => {
    const refusal = createResponse(503, false);
    const first = createCall("a", { sentAtMs: 20_000, endedAtMs: 20_100, outcome: refusal });
    const second = createCall("a", { sentAtMs: 20_200, endedAtMs: 20_300 });
    const early = createRun("a", { atMs: 20_050 });
    const late = createRun("a", { atMs: 20_250 });
    t.deepEqual(findRules({ calls: [first, second], runs: [late] }), []);
    t.deepEqual(findRules({ calls: [first, second], runs: [early, late] }), ["refused"]);
    t.deepEqual(findRules({ calls: [first, second], runs: [late, late] }), ["twice"]);
    const refused = { ...second, outcome: refusal };
    t.deepEqual(findRules({ calls: [first, refused], runs: [early] }), ["refused"]);
    t.deepEqual(findRules({ calls: [first, refused], runs: [late] }), ["refused"]);
    const unconnected: types.CallerRecord = { ...second, outcome: { kind: "unconnected" } };
    t.deepEqual(findRules({ calls: [first, unconnected], runs: [late] }), ["refused"]);
});

test("the copy of an earlier response is reported as the response to a request that is sent again", t => {
    const kind = "idempotent";
    const calls = [
        createCall("a", { kind, outcome: createResponse(500, true) }),
        createCall("a", { kind, sentAtMs: 20_200, endedAtMs: 20_300, outcome: createResponse(500, true) }),
    ];
    const failed = createRun("a", { status: 500 });
    t.deepEqual(findRules({ calls, runs: [failed] }), ["mixed"]);
    t.deepEqual(findRules({ calls, runs: [failed, createRun("a", { atMs: 20_250 })] }), ["mixed"]);
    t.deepEqual(findRules({ calls, runs: [failed, createRun("a", { atMs: 20_250, status: 500 })] }), []);
});

test("a request that is sent again is no retry of the load balancer", t => {
    const times = [20_000, 20_200, 20_400, 20_600];
    const calls = times.map(sentAtMs => createCall("a", { sentAtMs, outcome: createResponse(503, false) }));
    const arrivals = times.map(sentAtMs => createArrival("a", { atMs: sentAtMs + 10 }));
    t.deepEqual(findRules({ calls, arrivals }), []);
    t.true(findRules({ calls: calls.slice(0, 1), arrivals }).includes("budget"));
});

test("responses that differ from what the target sent are reported", t => {
    const runs = [createRun("a")];
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: createResponse(200, true, "other") })], runs }), [
        "mixed",
    ]);
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: createResponse(200, false, "body of a") })], runs }), [
        "mixed",
    ]);
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: createResponse(500, true) })], runs }), ["mixed"]);
});

test("a request that no caller sent, or that was modified, is reported", t => {
    t.deepEqual(findRules({ runs: [createRun("x")] }), ["unasked"]);
    t.deepEqual(findRules({ calls: [createCall("a")], runs: [createRun("a", { bodyDigest: "e" })] }), ["unasked"]);
});

test("requests that ignore a committed change are reported unless a VM was disturbed", t => {
    const history = { calls: [createCall("a")], runs: [createRun("a")] };
    const leaving = { kind: "leaving", atMs: 17_000, target: "t1" } as const;
    const zoneOut = { kind: "zone-out", atMs: 14_000, zone: "zone-a", endsAtMs: Infinity } as const;
    const moved = { kind: "route-moved", atMs: 17_000, path: "/book/", service: "other" } as const;
    t.deepEqual(findRules({ ...history, committedChanges: [leaving] }), ["drain"]);
    t.deepEqual(findRules({ ...history, committedChanges: [zoneOut] }), ["zone-out"]);
    t.deepEqual(findRules({ ...history, committedChanges: [moved] }), ["route"]);
    const disturbances = [{ fromMs: 15_000, toMs: 16_000, vm: 0, completesRequests: false }];
    t.deepEqual(findRules({ ...history, committedChanges: [leaving, moved], disturbances }), []);
});

test("a connection closed after the request ran is reported unless the VM was interrupted", t => {
    const history = { calls: [createCall("a", { outcome: { kind: "closed" } })], runs: [createRun("a")] };
    const createDisturbance = (completesRequests: boolean) => ({
        fromMs: 19_000,
        toMs: 21_000,
        vm: 0,
        completesRequests,
    });
    t.deepEqual(findRules(history), ["lost"]);
    t.deepEqual(findRules({ ...history, disturbances: [createDisturbance(true)] }), ["lost"]);
    t.deepEqual(findRules({ ...history, disturbances: [createDisturbance(false)] }), []);
});

test("denied requests and requests without a response are reported", t => {
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: createResponse(404, false) })] }), ["denied"]);
    t.deepEqual(findRules({ calls: [createCall("a", { outcome: { kind: "timeout" } })] }), ["unanswered"]);
});

test("too many retries, and too many requests to a cold target, are reported", t => {
    const retries = Array.from({ length: 4 }, () => createArrival("a"));
    t.true(findRules({ arrivals: retries }).includes("budget"));
    const cold = Array.from({ length: 6 }, (_, index) => createArrival(`a${index}`, { isCold: true }));
    t.deepEqual(findRules({ arrivals: cold }), ["cold"]);
    t.deepEqual(findRules({ arrivals: cold.slice(1) }), []);
});

test("a service that does not recover is reported", t => {
    const calls = [createCall("a", { sentAtMs: 48_000, outcome: { kind: "unconnected" } })];
    t.deepEqual(findRules({ calls }), ["recovery"]);
});

test("more requests to a target than the limit that it named are reported, except those of disturbed VMs", t => {
    const limit = { perSecond: 1, sinceMs: 17_000 };
    const arrivals = Array.from({ length: 12 }, (_, index) =>
        createArrival(`a${index}`, { atMs: 20_100 + index * 300, limit }),
    );
    const calls = arrivals.map(({ id }) => createCall(id, { outcome: createResponse(503, false) }));
    t.deepEqual(findRules({ arrivals, calls }), ["limit"]);
    t.deepEqual(findRules({ arrivals: arrivals.slice(1), calls }), []);
    const early = arrivals.map(arrival => ({ ...arrival, limit: { ...limit, sinceMs: 17_200 } }));
    t.deepEqual(findRules({ arrivals: early, calls }), []);
    const disturbances = [{ fromMs: 19_000, toMs: 19_500, vm: 0, completesRequests: true }];
    t.deepEqual(findRules({ arrivals, calls, disturbances }), []);
});

test("requests to a target that has told the VM that it is leaving are reported", t => {
    const calls = [createCall("a"), createCall("b", { sentAtMs: 22_200, endedAtMs: 22_300 })];
    const runs = [createRun("a"), createRun("b", { atMs: 22_250 })];
    const arrivals = [createArrival("a", { isLeaving: true }), createArrival("b", { atMs: 22_240, isLeaving: true })];
    t.deepEqual(findRules({ calls, runs, arrivals }), ["leaving"]);
    const otherVm = calls.map(call => ({ ...call, vm: call.id === "a" ? 1 : 0 }));
    t.deepEqual(findRules({ calls: otherVm, runs, arrivals }), []);
    const disturbances = [{ fromMs: 21_000, toMs: 21_500, vm: 0, completesRequests: false }];
    t.deepEqual(findRules({ calls, runs, arrivals, disturbances }), []);
});

test("more than two requests in a pause that a target has asked for are reported", t => {
    const arrivals = [0, 600, 1_200, 1_800].map((afterMs, index) =>
        createArrival(`a${index}`, { atMs: 20_040 + afterMs, pauseMs: index === 0 ? 2_000 : undefined }),
    );
    const calls = arrivals.map(({ id }) => createCall(id, { outcome: createResponse(503, false) }));
    t.deepEqual(findRules({ arrivals, calls }), ["pause"]);
    t.deepEqual(findRules({ arrivals: arrivals.slice(0, 3), calls }), []);
    const atOtherVm = calls.map((call, index) => ({ ...call, vm: index === 3 ? 1 : 0 }));
    t.deepEqual(findRules({ arrivals, calls: atOtherVm }), ["pause"], "passed on to the VM that was asked");
    const fromOtherVm = arrivals.map((arrival, index) => ({ ...arrival, senderHost: index === 3 ? "vm-1" : "vm-0" }));
    t.deepEqual(findRules({ arrivals: fromOtherVm, calls }), []);
});

test("a VM without targets that serves much less than the others is reported", t => {
    const partitions = [{ vms: [1], isTotal: false, fromMs: 16_000, toMs: 30_000 }];
    const createCalls = (vm: number, status: number, count: number) =>
        Array.from({ length: count }, (_, index) => {
            const outcome = status === 200 ? createCall(`${vm}-${index}`).outcome : createResponse(status, false);
            return createCall(`${vm}-${index}`, { vm, outcome });
        });
    const others = createCalls(0, 200, 40);
    const runs = others.map(({ id }) => createRun(id));
    t.deepEqual(findRules({ calls: [...others, ...createCalls(1, 503, 12)], runs, partitions }), ["partition"]);
    t.deepEqual(findRules({ calls: [...others, ...createCalls(1, 503, 10)], runs, partitions }), []);
    t.deepEqual(findRules({ calls: createCalls(1, 503, 12), partitions }), ["partition"]);
    const failing = createCalls(0, 503, 40);
    t.deepEqual(findRules({ calls: [...failing, ...createCalls(1, 503, 12)], partitions }), []);
});

test("a request that has crashed three targets must not reach targets in more than three requests later", t => {
    const path = "/crash/reset/1";
    const createHistory = (lateCount: number) => {
        const times = [20_000, 20_100, 20_200, ...Array.from({ length: lateCount }, (_, index) => 23_300 + index)];
        return {
            calls: times.map(sentAtMs => createCall(`r${sentAtMs}`, { path, sentAtMs, outcome: { kind: "closed" } })),
            arrivals: times.map(atMs => createArrival(`r${atMs}`, { atMs })),
            crashes: times.map(atMs => ({ id: `r${atMs}`, atMs })),
        };
    };
    const disturbance = { fromMs: 20_500, toMs: 20_600, vm: 0, completesRequests: false };
    t.false(findRules(createHistory(3)).includes("crash"));
    t.true(findRules(createHistory(4)).includes("crash"));
    t.false(findRules({ ...createHistory(4), disturbances: [disturbance] }).includes("crash"));
});

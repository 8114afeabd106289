import test from "ava";
import * as callerChecks from "./callerChecks.js";
import * as types from "./Types.js";

const bounds = { contactMs: 3_000, configurationMs: 2_000 } as types.SoakBounds;

const createCall = (fields: Partial<types.CallerRecord> = {}): types.CallerRecord => ({
    id: "a",
    kind: "idempotent",
    method: "GET",
    path: "/read/1",
    bodyDigest: "d",
    key: "key-1",
    needsKey: true,
    vm: 0,
    sentAtMs: 20_000,
    endedAtMs: 20_100,
    outcome: { kind: "answered", status: 401, isSealed: false, body: "" },
    ...fields,
});

const createRun = (fields: Partial<types.RunRecord> = {}): types.RunRecord => ({
    id: "a",
    atMs: 20_050,
    target: "t1",
    service: "lookup",
    zone: "zone-a",
    method: "GET",
    path: "/read/1",
    bodyDigest: "d",
    organisation: "one",
    hasKey: false,
    body: "",
    status: 200,
    ...fields,
});

const createHistory = (fields: Partial<types.SoakHistory>): types.SoakHistory => ({
    calls: [createCall()],
    runs: [],
    arrivals: [],
    crashes: [],
    committedChanges: [],
    disturbances: [],
    partitions: [],
    quotas: [],
    vmHosts: [],
    faultsEndedAtMs: 40_000,
    endedAtMs: 50_000,
    ...fields,
});

const setKey = (atMs: number, organisation: string | undefined): types.CommittedChange => ({
    ...{ kind: "key", atMs, key: "key-1", organisation },
});

const countForeign = (
    committedChanges: readonly types.CommittedChange[],
    run: Partial<types.RunRecord> = {},
    more: Partial<types.SoakHistory> = {},
): number =>
    callerChecks.findForeignRuns(createHistory({ committedChanges, runs: [createRun(run)], ...more }), bounds).length;

const disturbances: readonly types.Disturbance[] = [{ fromMs: 15_500, toMs: 15_600, vm: 1, completesRequests: true }];

test("a run for another organisation than that which held the key, for none, or with the key is reported", t => {
    const held = [setKey(-Infinity, "one")];
    t.is(countForeign(held), 0);
    t.is(countForeign(held, { organisation: "two" }), 1);
    t.is(countForeign(held, { organisation: undefined }), 1);
    t.is(countForeign(held, { hasKey: true }), 1);
    t.is(countForeign([]), 1, "nobody holds the key");
    t.is(countForeign(held, {}, { calls: [createCall({ key: undefined })] }), 1);
    const open = { calls: [createCall({ needsKey: false })] };
    t.is(countForeign(held, { organisation: undefined }, open), 0);
    t.is(countForeign(held, {}, open), 1);
    t.is(countForeign(held, { organisation: undefined, hasKey: true }, open), 1);
});

// Guards against a check that accepts a former holder of a key for good.
test("a former holder of a key counts until the bound, and longer only if a VM was disturbed", t => {
    t.is(countForeign([setKey(-Infinity, "one"), setKey(18_500, "two")]), 0);
    t.is(countForeign([setKey(-Infinity, "one"), setKey(17_500, "two")]), 1);
    t.is(countForeign([setKey(-Infinity, "one"), setKey(17_500, undefined)]), 1);
    t.is(countForeign([setKey(-Infinity, "one"), setKey(17_500, undefined)], {}, { disturbances }), 0);
    t.is(countForeign([setKey(20_040, "one")]), 0);
    t.is(countForeign([setKey(20_060, "one")]), 1, "the run came before the key");
});

test("a request may be denied only while nobody held its key, as far as its VM could know", t => {
    const mayBeDenied = (
        committedChanges: readonly types.CommittedChange[],
        call: Partial<types.CallerRecord> = {},
        more: Partial<types.SoakHistory> = {},
    ): boolean => callerChecks.mayBeDenied(createHistory({ committedChanges, ...more }), bounds, createCall(call));
    t.false(mayBeDenied([setKey(-Infinity, "one")]));
    t.false(mayBeDenied([setKey(-Infinity, "one")], {}, { disturbances }));
    t.true(mayBeDenied([]));
    t.true(mayBeDenied([], { key: undefined }));
    t.false(mayBeDenied([], { needsKey: false }));
    t.true(mayBeDenied([setKey(18_500, "one")]));
    t.false(mayBeDenied([setKey(17_500, "one")]));
    t.true(mayBeDenied([setKey(17_500, "one")], {}, { disturbances }));
    t.true(mayBeDenied([setKey(-Infinity, "one"), setKey(20_050, undefined)]));
});

test("a request that ran although its key was refused is reported", t => {
    t.is(callerChecks.findDeniedRuns(createHistory({ runs: [createRun()] }), bounds).length, 1);
    t.is(callerChecks.findDeniedRuns(createHistory({ runs: [createRun({ id: "b" })] }), bounds).length, 0);
});

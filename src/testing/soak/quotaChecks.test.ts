import test from "ava";
import * as quotaChecks from "./quotaChecks.js";
import * as types from "./Types.js";

const bounds = {
    contactMs: 3_000,
    configurationMs: 2_000,
    quotaWindowMs: 5_000,
    quotaOvershoot: 0.1,
    quotaSlack: 20,
    quotaLowShare: 0.1,
} as types.SoakBounds;
/** Allows 10 x 5 s + 10 requests in a window, and 86 with the tolerance. */
const quotas = [{ organisation: "one", perSecond: 10, burst: 10 }];

const createCall = (index: number, fields: Partial<types.CallerRecord> = {}): types.CallerRecord => ({
    id: `a${index}`,
    kind: "idempotent",
    method: "GET",
    path: "/read/1",
    bodyDigest: "d",
    key: "key-1",
    needsKey: true,
    vm: index % 2,
    sentAtMs: 20_000 + index,
    endedAtMs: 20_100 + index,
    outcome: { kind: "answered", status: 200, isSealed: true, body: "" },
    ...fields,
});

const createRun = (index: number, fields: Partial<types.RunRecord> = {}): types.RunRecord => ({
    id: `a${index}`,
    atMs: 20_050 + index,
    target: "t1",
    service: "lookup",
    zone: "zone-a",
    method: "GET",
    path: "/read/1",
    bodyDigest: "d",
    organisation: "one",
    body: "",
    status: 200,
    ...fields,
});

const createHistory = (fields: Partial<types.SoakHistory>): types.SoakHistory => ({
    calls: [],
    runs: [],
    arrivals: [],
    crashes: [],
    committedChanges: [{ kind: "key", atMs: -Infinity, key: "key-1", organisation: "one" }],
    disturbances: [],
    partitions: [],
    quotas,
    vmHosts: [],
    faultsEndedAtMs: 40_000,
    endedAtMs: 50_000,
    ...fields,
});

const toIndexes = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index);

const countExcess = (
    count: number,
    toCall: (index: number) => Partial<types.CallerRecord>,
    toRuns: (index: number) => readonly types.RunRecord[],
): number => {
    const calls = toIndexes(count).map(index => createCall(index, toCall(index)));
    const runs = toIndexes(count).flatMap(toRuns);
    return quotaChecks.findQuotaExcess(createHistory({ calls, runs }), bounds).length;
};

// Guards against VMs that charge a quota apart from each other: the requests of both count together.
test("more requests in a window than the quota and its tolerance are reported", t => {
    t.is(
        countExcess(
            86,
            () => ({}),
            index => [createRun(index)],
        ),
        0,
    );
    t.is(
        countExcess(
            87,
            () => ({}),
            index => [createRun(index)],
        ),
        1,
    );
    t.is(
        countExcess(
            87,
            () => ({}),
            index => [createRun(index, { organisation: "two" })],
        ),
        0,
    );
    t.is(
        countExcess(
            50,
            () => ({}),
            index => [createRun(index), createRun(index, { target: "t2" })],
        ),
        0,
        "hedges",
    );
});

test("requests count only in a window in which they were both sent and run", t => {
    const spread = (index: number): number => 20_000 + index * 60;
    const run = (index: number): readonly types.RunRecord[] => [createRun(index, { atMs: spread(index) + 20 })];
    t.is(
        countExcess(200, index => ({ sentAtMs: spread(index) }), run),
        0,
    );
    const runLate = (index: number): readonly types.RunRecord[] => [createRun(index, { atMs: 25_000 + index })];
    t.is(
        countExcess(87, index => ({ sentAtMs: 20_000 + index }), runLate),
        0,
    );
    t.is(
        countExcess(87, index => ({ sentAtMs: 21_000 + index }), runLate),
        1,
    );
});

const refusal: types.CallerOutcome = { kind: "answered", status: 429, isSealed: false, body: "" };

// Guards against refusals that a VM gives while it has lost its ledger, although nobody is over the quota.
test("a refusal of an organisation far below its quota is reported, another one not", t => {
    const countFalse = (sent: number, refused: Partial<types.CallerRecord> = {}): number => {
        const others = toIndexes(sent).map(index => createCall(index));
        const calls = [...others, createCall(sent, { outcome: refusal, ...refused })];
        return quotaChecks.findFalseQuotaRefusals(createHistory({ calls }), bounds).length;
    };
    t.is(countFalse(5), 1);
    t.is(countFalse(6), 0);
    t.is(countFalse(6, { sentAtMs: 26_000, endedAtMs: 26_100 }), 1, "the others were sent long before");
    t.is(countFalse(5, { outcome: { ...refusal, isSealed: true } }), 0, "refused by a target");
    t.is(countFalse(6, { needsKey: false }), 1, "no quota applies");
    t.is(countFalse(6, { key: "key-2" }), 1, "nobody holds the key");
});

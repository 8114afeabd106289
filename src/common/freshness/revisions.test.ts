import test from "ava";
import * as fastCheck from "fast-check";
import * as ids from "../ids.js";
import * as freshness from "./freshness.js";
import * as revisions from "./revisions.js";
import * as types from "./Types.js";

const confirm = (revision: number, atMs: number): types.Confirmation => ({ revision: ids.toRevision(revision), atMs });

const digest = (vm: string, revision: number, seenAtMs: number, synced = true): [string, types.VmDigest] => [
    vm,
    { vm: ids.toVmId(vm), revision: ids.toRevision(revision), synced, seenAtMs },
];

const computeMajority = (listed: readonly string[], ...digests: [string, types.VmDigest][]) =>
    revisions.computeMajorityConfirmation(
        listed.map(ids.toVmId),
        new Map(digests.map(([vm, entry]) => [ids.toVmId(vm), entry])),
    );

test("a confirmation of a revision that is not in use takes effect when the revision is adopted", t => {
    let state = revisions.createRevisionState(0);
    state = revisions.applyConfirmation(state, confirm(3, 100));
    t.deepEqual(freshness.computeVerdict(state.inUse, 100, 3000), { kind: "unsynced" });
    state = revisions.applyAdoption(state, ids.toRevision(2));
    t.is(state.inUse.confirmedAtMs, undefined);
    state = revisions.applyAdoption(state, ids.toRevision(3));
    t.deepEqual(state, { startedAtMs: 0, inUse: { revision: ids.toRevision(3), confirmedAtMs: 100 }, pending: [] });
    t.deepEqual(freshness.computeVerdict(state.inUse, 3100, 3000), { kind: "stale", sinceMs: 3100 });
});

test("a confirmation from before the start does not sync a restarted VM", t => {
    const state = revisions.createRevisionState(1000);
    t.is(revisions.applyConfirmation(state, confirm(0, 1000)), state);
});

test("a majority is dated by its oldest digest and excludes unsynced and unlisted VMs", t => {
    const listed = ["a", "b", "c", "d"];
    t.is(computeMajority(listed, digest("a", 1, 5), digest("b", 1, 6)), undefined);
    t.is(computeMajority(listed, digest("a", 1, 5), digest("b", 1, 6), digest("c", 2, 7, false)), undefined);
    t.is(computeMajority(listed, digest("a", 1, 5), digest("b", 1, 6), digest("x", 2, 7)), undefined);
    t.deepEqual(
        computeMajority(listed, digest("a", 9, 1), digest("b", 2, 6), digest("c", 3, 7), digest("d", 1, 5)),
        confirm(3, 5),
    );
    t.is(computeMajority([]), undefined);
});

test("the revision in use and its confirmation never move backwards", t => {
    const steps = fastCheck.array(
        fastCheck.record({ adopt: fastCheck.boolean(), revision: fastCheck.nat(9), atMs: fastCheck.nat(50) }),
    );
    fastCheck.assert(
        fastCheck.property(steps, list => {
            let state = revisions.createRevisionState(10);
            for (const { adopt, revision, atMs } of list) {
                const next = adopt
                    ? revisions.applyAdoption(state, ids.toRevision(revision))
                    : revisions.applyConfirmation(state, confirm(revision, atMs));
                t.true(next.inUse.revision >= state.inUse.revision);
                t.true((next.inUse.confirmedAtMs ?? 0) >= (state.inUse.confirmedAtMs ?? 0));
                t.true(next.pending.every(entry => entry.revision > next.inUse.revision));
                state = next;
            }
        }),
        { seed: 7, numRuns: 300 },
    );
});

import test from "ava";
import * as ids from "../../common/ids.js";
import * as sharedState from "../../common/routes/sharedState.js";
import * as routes from "../../common/routes/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as hubLink from "./hubLink.js";
import * as storeFollower from "./storeFollower.js";
import * as types from "./Types.js";

const bounds = { heartbeatMs: 1_500, contactMs: 3_000 };

/** Creates a follower of a store whose changes of targets are scripted; an error in the script fails the call. */
const createTestFollower = (
    script: (types.TableChanges | Error)[],
    initialTargets: readonly routes.Registration[] = [],
) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = sharedState.createSharedState({ scheduler, logger: silentLogger.createSilentLogger() });
    let snapshots = 0;
    let snapshotTargets = initialTargets;
    let isSilent = false;
    const store: types.StateStore = {
        fetchSnapshot: table => {
            snapshots++;
            const version = snapshots > 2 ? 4 : 1;
            const changes =
                table === "targets" ? snapshotTargets.map(entry => fixture.createTargetChange(1, entry)) : [];
            return Promise.resolve({ table, version: fixture.createVersion(version), changes });
        },
        fetchChanges: (table, after) => {
            if (isSilent) {
                return new Promise(() => undefined);
            }
            const next = table === "targets" ? script.shift() : undefined;
            if (next instanceof Error) {
                return Promise.reject(next);
            }
            return new Promise(resolve => {
                const respond = (): void => {
                    if (!isSilent) {
                        resolve(next ?? { kind: "changes", version: after, changes: [] });
                    }
                };
                scheduler.schedule(100, respond);
            });
        },
        registerPeer: () => Promise.resolve(),
        fetchPeers: () => Promise.resolve([]),
        countMalformedRows: () => 0,
        onDidRestore: () => ({ dispose: () => undefined }),
        dispose: () => undefined,
    };
    const published: routes.StateChange[] = [];
    const follower = storeFollower.createStoreFollower({
        store,
        state,
        scheduler,
        logger: silentLogger.createSilentLogger(),
        getBounds: () => bounds,
        handleUpdate: update => published.push(...update.changes),
    });
    const listIds = (): string[] => [...state.listTargets()].map(target => target.id);
    const setSnapshot = (targets: readonly routes.Registration[]): void => void (snapshotTargets = targets);
    const setSilent = (): void => void (isSilent = true);
    return { scheduler, follower, script, listIds, published, setSilent, setSnapshot, countSnapshots: () => snapshots };
};

test("a store that stops responding is detected within 1.3 s, and a store without changes is not overdue", async t => {
    const setup = createTestFollower([]);
    setup.follower.start();
    for (let step = 0; step < 100; step++) {
        await setup.scheduler.advance(100);
        t.true(setup.follower.computeOverdueMs() < hubLink.maxOverdueMs);
    }
    setup.setSilent();
    await setup.scheduler.advance(1_300);
    t.true(setup.follower.computeOverdueMs() >= hubLink.maxOverdueMs);
    t.true(setup.follower.computeAgeMs() < 2_200);
    setup.follower.dispose();
});

const removeTarget = (version: number, id: string): types.TableChanges => ({
    kind: "changes",
    version: fixture.createVersion(version),
    changes: [fixture.createTargetChange(version, undefined, ids.toTargetId(id))],
});

test("a follower fetches a snapshot, then changes, and reports both", async t => {
    const setup = createTestFollower(
        [removeTarget(5, "a")],
        ["a", "b"].map(id => fixture.createRegistration(id)),
    );
    setup.follower.start();
    await setup.scheduler.advance(10);
    t.deepEqual(setup.listIds(), ["a", "b"]);
    await setup.scheduler.advance(1_000);
    t.deepEqual(setup.listIds(), ["b"]);
    t.is(setup.published.length, 3);
    t.true(setup.follower.computeAgeMs() < 1_000);
});

/** Calls that fail while the store is unavailable for about 4 s, in which rows expire. */
const createOutage = (): Error[] => Array.from({ length: 6 }, () => new Error("down"));

test("a removal after an outage of the store counts as an expired row, so the target stays in use for a while", async t => {
    const setup = createTestFollower([...createOutage(), removeTarget(5, "a")], [fixture.createRegistration("a")]);
    setup.follower.start();
    await setup.scheduler.advance(6_000);
    t.is(setup.script.length, 0);
    t.deepEqual(setup.listIds(), ["a"]);
    await setup.scheduler.advance(4_000);
    t.deepEqual(setup.listIds(), []);
});

// Guards against removals that count as expiries after one failed call, so that all VMs use targets that have left.
test("a removal soon after a call whose connection was reset takes the target out of use at once", async t => {
    const setup = createTestFollower([new Error("reset"), removeTarget(5, "a")], [fixture.createRegistration("a")]);
    setup.follower.start();
    await setup.scheduler.advance(1_500);
    t.is(setup.script.length, 0);
    t.deepEqual(setup.listIds(), []);
    t.deepEqual(
        setup.published.filter(change => change.kind === "target" && change.isLapse === true),
        [],
    );
});

test("a call that failed before a follower was stopped says nothing about the store when it starts again", async t => {
    const setup = createTestFollower([new Error("reset")], [fixture.createRegistration("a")]);
    setup.follower.start();
    await setup.scheduler.advance(510);
    setup.follower.stop();
    t.is(setup.script.length, 0);
    await setup.scheduler.advance(10_000);
    setup.script.push(new Error("reset"), removeTarget(5, "a"));
    setup.follower.start();
    await setup.scheduler.advance(1_500);
    t.is(setup.script.length, 0);
    t.deepEqual(setup.listIds(), []);
});

// Guards against an outage that excuses each removal of the seconds after it, also of targets that leave later.
test("a target that leaves some seconds after an outage is taken out of use at once", async t => {
    const nothing = (version: number): types.TableChanges => ({
        kind: "changes",
        version: fixture.createVersion(version),
        changes: [],
    });
    const quiet = Array.from({ length: 6 }, (_, index) => nothing(index + 2));
    const setup = createTestFollower(
        [...createOutage(), ...quiet, removeTarget(9, "a")],
        [fixture.createRegistration("a")],
    );
    setup.follower.start();
    while (setup.script.length > 0) {
        await setup.scheduler.advance(100);
    }
    await setup.scheduler.advance(200);
    t.deepEqual(setup.listIds(), []);
});

test("rows that a snapshot lacks after an outage and lost history count as expired", async t => {
    const setup = createTestFollower([...createOutage(), { kind: "history-lost" }], [fixture.createRegistration("a")]);
    setup.follower.start();
    await setup.scheduler.advance(100);
    setup.setSnapshot([]);
    await setup.scheduler.advance(5_900);
    t.is(setup.script.length, 0);
    t.deepEqual(setup.listIds(), ["a"]);
    await setup.scheduler.advance(4_000);
    t.deepEqual(setup.listIds(), []);
});

/** Follows a store that is silent for a time: calls made meanwhile are lost, and end with their timeouts. */
const followSilentStore = async (fromMs: number, toMs: number) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = sharedState.createSharedState({ scheduler, logger: silentLogger.createSilentLogger() });
    const changed: routes.StateChange = {
        kind: "configuration",
        version: fixture.createVersion(5),
        configuration: fixture.createConfiguration(5),
    };
    const call = <T>(waitMs: number, timeoutMs: number, createResult: () => T): Promise<T> =>
        new Promise((resolve, reject) => {
            const isLost = scheduler.now() >= fromMs && scheduler.now() < toMs;
            const isLostLater = scheduler.now() + waitMs >= fromMs && scheduler.now() < fromMs;
            if (isLost || isLostLater) {
                scheduler.schedule(timeoutMs, () => reject(new Error("no response in time")));
            } else {
                scheduler.schedule(waitMs, () => resolve(createResult()));
            }
        });
    const follower = storeFollower.createStoreFollower({
        store: {
            fetchSnapshot: (table, timeoutMs) =>
                call(0, timeoutMs, () => ({ table, version: fixture.createVersion(1), changes: [] })),
            fetchChanges: (table, after, waitMs, timeoutMs) => {
                const hasChange = table === "operators" && scheduler.now() >= toMs && after.sequence < 5;
                return call(hasChange ? 0 : waitMs, timeoutMs, () =>
                    hasChange
                        ? { kind: "changes", version: fixture.createVersion(5), changes: [changed] }
                        : { kind: "changes", version: after, changes: [] },
                );
            },
            registerPeer: () => Promise.resolve(),
            fetchPeers: () => Promise.resolve([]),
            countMalformedRows: () => 0,
            onDidRestore: () => ({ dispose: () => undefined }),
            dispose: () => undefined,
        },
        state,
        scheduler,
        logger: silentLogger.createSilentLogger(),
        getBounds: () => bounds,
        handleUpdate: () => undefined,
    });
    follower.start();
    await scheduler.advance(toMs + contactMs);
    follower.dispose();
    return state.getConfiguration()?.version;
};

/** Time after which a VM must follow a store that responds again. */
const contactMs = 3_000;

// Guards against a call that is lost at the end of an outage and delays the configuration beyond that time.
test("changes are fetched in time after the store was silent, whenever that ended", async t => {
    for (let toMs = 5_000; toMs < 12_000; toMs += 130) {
        t.is(await followSilentStore(4_000, toMs), fixture.createConfiguration(5).version, `silent until ${toMs}`);
    }
});

test("when the store has lost its history, the whole table is fetched again", async t => {
    const setup = createTestFollower([{ kind: "history-lost" }], [fixture.createRegistration("a")]);
    setup.follower.start();
    await setup.scheduler.advance(2_000);
    t.is(setup.countSnapshots(), 3);
});

test("while the store is unavailable, the age of its view grows, and a stopped follower makes no calls", async t => {
    const setup = createTestFollower(Array.from({ length: 100 }, () => new Error("down")));
    setup.follower.start();
    await setup.scheduler.advance(5_000);
    t.true(setup.follower.computeAgeMs() > 4_000);
    setup.follower.stop();
    const before = setup.countSnapshots();
    await setup.scheduler.advance(5_000);
    t.is(setup.countSnapshots(), before);
    t.false(setup.follower.isRunning());
});

test("changes that arrive after a stop are reported, too, as a restart would not find them new", async t => {
    const setup = createTestFollower(
        [],
        ["a", "b"].map(id => fixture.createRegistration(id)),
    );
    setup.follower.start();
    await setup.scheduler.advance(10);
    setup.script.push(removeTarget(5, "a"));
    await setup.scheduler.advance(520);
    setup.follower.stop();
    await setup.scheduler.advance(1_000);
    t.deepEqual(setup.listIds(), ["b"]);
    t.deepEqual(setup.published.at(-1)?.version, fixture.createVersion(5));
});

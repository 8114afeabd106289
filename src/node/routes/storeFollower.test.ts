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

/** A store whose changes of targets are scripted; an error fails the call. */
const createWorld = (script: (types.TableChanges | Error)[], first: readonly routes.Registration[] = []) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = sharedState.createSharedState({ scheduler, logger: silentLogger.createSilentLogger() });
    let snapshots = 0;
    let isSilent = false;
    const store: types.StateStore = {
        fetchSnapshot: table => {
            snapshots++;
            const changes = table === "targets" ? first.map(entry => fixture.createTargetChange(1, entry)) : [];
            return Promise.resolve({ table, version: 1, changes });
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
                const answer = (): void => {
                    if (!isSilent) {
                        resolve(next ?? { kind: "changes", version: after, changes: [] });
                    }
                };
                scheduler.schedule(100, answer);
            });
        },
        registerPeer: () => Promise.resolve(),
        fetchPeers: () => Promise.resolve([]),
        dispose: () => undefined,
    };
    const told: routes.StateChange[] = [];
    const follower = storeFollower.createStoreFollower({
        store,
        state,
        scheduler,
        logger: silentLogger.createSilentLogger(),
        handleChanges: changes => told.push(...changes),
    });
    const listIds = (): string[] => [...state.listTargets()].map(target => target.id);
    const setSilent = (): void => void (isSilent = true);
    return { scheduler, follower, listIds, told, setSilent, countSnapshots: () => snapshots };
};

test("a store that stops to answer is noticed within 1.3 s, and a quiet one is not overdue", async t => {
    const world = createWorld([]);
    world.follower.start();
    for (let step = 0; step < 100; step++) {
        await world.scheduler.advance(100);
        t.true(world.follower.computeOverdueMs() < hubLink.longestOverdueMs);
    }
    world.setSilent();
    await world.scheduler.advance(1_300);
    t.true(world.follower.computeOverdueMs() >= hubLink.longestOverdueMs);
    t.true(world.follower.computeAgeMs() < 2_200);
    world.follower.dispose();
});

const removeTarget = (version: number, id: string): types.TableChanges => ({
    kind: "changes",
    version,
    changes: [fixture.createTargetChange(version, undefined, ids.toTargetId(id))],
});

test("it reads a snapshot, then changes, and tells of them", async t => {
    const world = createWorld(
        [removeTarget(5, "a")],
        ["a", "b"].map(id => fixture.createRegistration(id)),
    );
    world.follower.start();
    await world.scheduler.advance(10);
    t.deepEqual(world.listIds(), ["a", "b"]);
    await world.scheduler.advance(1_000);
    t.deepEqual(world.listIds(), ["b"]);
    t.is(world.told.length, 3);
    t.true(world.follower.computeAgeMs() < 1_000);
});

test("a removal soon after a failed call is a lapse, so that the target stays in use for a while", async t => {
    const world = createWorld([new Error("down"), removeTarget(5, "a")], [fixture.createRegistration("a")]);
    world.follower.start();
    await world.scheduler.advance(1_500);
    t.deepEqual(world.listIds(), ["a"]);
    await world.scheduler.advance(4_000);
    t.deepEqual(world.listIds(), []);
});

test("when the store has lost its history, the table is read anew", async t => {
    const world = createWorld([{ kind: "history-lost" }], [fixture.createRegistration("a")]);
    world.follower.start();
    await world.scheduler.advance(2_000);
    t.is(world.countSnapshots(), 3);
});

test("while the store is away its age grows, and a stopped follower makes no calls", async t => {
    const world = createWorld(Array.from({ length: 100 }, () => new Error("down")));
    world.follower.start();
    await world.scheduler.advance(5_000);
    t.true(world.follower.computeAgeMs() > 4_000);
    world.follower.stop();
    const before = world.countSnapshots();
    await world.scheduler.advance(5_000);
    t.is(world.countSnapshots(), before);
    t.false(world.follower.isRunning());
});

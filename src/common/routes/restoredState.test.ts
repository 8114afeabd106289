import test from "ava";
import * as ids from "../ids.js";
import * as random from "../random.js";
import * as shared from "../Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as storeOutage from "./storeOutage.js";
import * as sharedState from "./sharedState.js";
import * as types from "./Types.js";

const settleMs = 6_000;

const createSetup = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = sharedState.createSharedState({ scheduler, logger: silentLogger.createSilentLogger() });
    const settled: types.StateUpdate[] = [];
    state.onDidSettle(update => settled.push(update));
    const listIds = (): string[] => [...state.listTargets()].map(target => target.id).sort();
    return { scheduler, state, settled, listIds, getNumber: () => state.getConfiguration()?.version };
};

const toVersion = (era: number, sequence: number): types.RowVersion => ({ era, sequence });

const createConfiguration = (version: types.RowVersion, number: number): types.StateChange => ({
    kind: "configuration",
    version,
    configuration: fixture.createConfiguration(number),
});

const createZoneChange = (version: types.RowVersion, isOut: boolean): types.StateChange => ({
    kind: "zone",
    version,
    zone: fixture.zone,
    isOut,
});

const ready = (id: string, fields: Partial<types.Registration> = {}): types.Registration =>
    fixture.createRegistration(id, fields);

// Guards against changes that are ignored, as their versions were given out before the store returned from a copy.
test("a configuration of a new era is applied although its row's version is known from the era before", t => {
    const { state, getNumber } = createSetup();
    state.applySnapshot(
        { table: "operators", version: toVersion(1, 31), changes: [createConfiguration(toVersion(1, 31), 10)] },
        0,
    );
    state.applySnapshot(
        { table: "operators", version: toVersion(2, 30), changes: [createConfiguration(toVersion(2, 30), 10)] },
        0,
    );
    state.applyUpdate({
        table: "operators",
        version: toVersion(2, 31),
        changes: [createConfiguration(toVersion(2, 31), 12)],
    });
    t.is(getNumber(), 12);
});

// Guards against a confirmed configuration that comes back older until the operator has written it again.
test("a copy does not take a configuration back, on a VM that knows it and on one that joins that VM", t => {
    const { state, getNumber } = createSetup();
    const copy: types.StateSnapshot = {
        table: "operators",
        version: toVersion(2, 20),
        changes: [createConfiguration(toVersion(2, 20), 7)],
    };
    state.applySnapshot(
        { table: "operators", version: toVersion(1, 31), changes: [createConfiguration(toVersion(1, 31), 10)] },
        0,
    );
    state.applySnapshot(copy, 0);
    t.is(getNumber(), 10);
    const started = createSetup();
    started.state.applySnapshot(copy, 0);
    t.is(started.getNumber(), 7);
    state.listSnapshots().forEach(snapshot => started.state.applySnapshot(snapshot, 0));
    t.is(started.getNumber(), 10);
});

// Guards against zones and targets that are in use again, as a copy of the store is older than their removal.
test("a removal that a copy takes back stays in force until it is written again, or the copy has proved right", async t => {
    const { scheduler, state, settled, listIds } = createSetup();
    state.applySnapshot(
        { table: "operators", version: toVersion(1, 40), changes: [createZoneChange(toVersion(1, 39), true)] },
        0,
    );
    const known = [ready("stays"), ready("left"), ready("leaves"), ready("drains")];
    state.applySnapshot(
        {
            table: "targets",
            version: toVersion(1, 20),
            changes: known.map(target => fixture.createTargetChange(toVersion(1, 5), target)),
        },
        0,
    );
    const drained = fixture.createTargetChange(toVersion(1, 42), ready("drains", { state: "draining" }));
    const removals = ["left", "leaves"].map(id =>
        fixture.createTargetChange(toVersion(1, 41), undefined, ids.toTargetId(id)),
    );
    state.applyUpdate({ table: "targets", version: toVersion(1, 42), changes: [...removals, drained] });
    const rows = known.map(target => fixture.createTargetChange(toVersion(2, 5), target));
    state.applySnapshot({ table: "operators", version: toVersion(2, 30), changes: [] }, 0);
    state.applySnapshot({ table: "targets", version: toVersion(2, 30), changes: rows }, 0);
    t.true(state.isZoneOut(fixture.zone));
    t.deepEqual(listIds(), ["drains", "stays"]);
    t.is([...state.listTargets()].find(({ id }) => id === "drains")?.state, "draining");
    state.applyUpdate({
        table: "targets",
        version: toVersion(2, 31),
        changes: [fixture.createTargetChange(toVersion(2, 31), undefined, ids.toTargetId("left"))],
    });
    await scheduler.advance(settleMs - 1);
    t.true(state.isZoneOut(fixture.zone));
    t.deepEqual(listIds(), ["drains", "stays"]);
    await scheduler.advance(1);
    t.false(state.isZoneOut(fixture.zone));
    t.deepEqual(listIds(), ["drains", "leaves", "stays"]);
    t.is(settled.length, 2, "followers get what has settled");
});

test("a target that a copy does not have yet stays in use until it should have registered again", async t => {
    const { scheduler, state, listIds } = createSetup();
    const rows = ["a", "b"].map(id => fixture.createTargetChange(toVersion(1, 9), ready(id)));
    state.applySnapshot({ table: "targets", version: toVersion(1, 20), changes: rows }, 0);
    state.applySnapshot({ table: "targets", version: toVersion(2, 5), changes: [] }, 0);
    t.deepEqual(listIds(), ["a", "b"]);
    state.applyUpdate({
        table: "targets",
        version: toVersion(2, 6),
        changes: [fixture.createTargetChange(toVersion(2, 6), ready("a"))],
    });
    await scheduler.advance(2_500);
    t.deepEqual(listIds(), ["a"]);
});

test("late changes of an old era are ignored, and a second new era starts anew", async t => {
    const { scheduler, state, listIds } = createSetup();
    state.applySnapshot(
        {
            table: "targets",
            version: toVersion(1, 50),
            changes: [fixture.createTargetChange(toVersion(1, 9), ready("a"))],
        },
        0,
    );
    state.applyUpdate({
        table: "targets",
        version: toVersion(1, 51),
        changes: [fixture.createTargetChange(toVersion(1, 51), undefined, ids.toTargetId("a"))],
    });
    state.applySnapshot(
        {
            table: "targets",
            version: toVersion(2, 20),
            changes: [fixture.createTargetChange(toVersion(2, 9), ready("a"))],
        },
        0,
    );
    state.applyChanges([fixture.createTargetChange(toVersion(1, 60), ready("late"))]);
    await scheduler.advance(settleMs - 1_000);
    state.applySnapshot(
        {
            table: "targets",
            version: toVersion(3, 20),
            changes: [fixture.createTargetChange(toVersion(3, 9), ready("a"))],
        },
        0,
    );
    await scheduler.advance(1_000);
    t.deepEqual(listIds(), [], "what was held in the second era is obsolete");
    await scheduler.advance(settleMs);
    t.deepEqual(listIds(), ["a"]);
});

/** A store that returns from copies, whose rows the operator writes again. */
const createModelStore = (source: shared.Random) => {
    let era = 1;
    let sequence = 0;
    let number = 0;
    let log: types.StateChange[] = [];
    const write = (): types.StateChange => {
        sequence++;
        const change = createConfiguration(toVersion(era, sequence), number);
        log.push(change);
        return change;
    };
    return {
        change: () => {
            number += 1 + source.nextInt(3);
            return write();
        },
        restore: () => {
            log = log.slice(0, source.nextInt(log.length + 1));
            era++;
            sequence = log.at(-1)?.version.sequence ?? 0;
            return write();
        },
        createSnapshot: (): types.StateSnapshot => ({
            table: "operators",
            version: toVersion(era, sequence),
            changes: log.slice(-1).map(change => ({ ...change, version: toVersion(era, change.version.sequence) })),
        }),
        getNumber: () => number,
    };
};

// Guards against an order of messages, joins and restores in which VMs end up with different configurations.
test("VMs agree on the newest configuration and never go back, over 300 histories of restores, joins and late messages", t => {
    for (let seed = 1; seed <= 300; seed++) {
        const source = random.createRandom(seed);
        const store = createModelStore(source);
        const sent: types.StateChange[] = [store.change()];
        const vms = [createSetup(), createSetup(), createSetup()];
        const highest = vms.map(() => 0);
        for (let step = 0; step < 60; step++) {
            const index = source.nextInt(vms.length);
            const vm = vms[index];
            switch (source.nextInt(7)) {
                case 0:
                    sent.push(store.change());
                    break;
                case 1:
                    sent.push(store.restore());
                    break;
                case 2:
                    vm?.state.applySnapshot(store.createSnapshot(), source.nextInt(2) * storeOutage.expiryGraceMs);
                    break;
                case 3:
                    vms[source.nextInt(vms.length)]?.state
                        .listSnapshots()
                        .forEach(snapshot => vm?.state.applySnapshot(snapshot, 0));
                    break;
                case 4:
                    vms[index] = createSetup();
                    highest[index] = 0;
                    break;
                default:
                    vm?.state.applyChanges(random.shuffle(sent, source).slice(0, 3));
            }
            vms.forEach(({ getNumber }, at) => {
                t.true((getNumber() ?? 0) >= (highest[at] ?? 0), `seed ${seed}, step ${step}`);
                highest[at] = getNumber() ?? 0;
            });
        }
        vms.forEach(({ state }) => state.applySnapshot(store.createSnapshot(), 0));
        t.deepEqual(
            vms.map(({ getNumber }) => getNumber()),
            vms.map(() => store.getNumber()),
            `seed ${seed}`,
        );
    }
});

import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as ids from "../ids.js";
import * as routes from "./Types.js";
import * as sharedState from "./sharedState.js";

const listTargetIds = (state: sharedState.SharedState): string[] => [...state.listTargets()].map(target => target.id);

const createState = (scheduler = virtualScheduler.createVirtualScheduler()): sharedState.SharedState =>
    sharedState.createSharedState({ scheduler, logger: silentLogger.createSilentLogger() });

/** Creates the removal of a row that has expired; VMs of earlier versions send no time. */
const createLapse = (version: number, id: string, lapseMs?: number): routes.StateChange => ({
    kind: "target",
    version: fixture.createVersion(version),
    id: ids.toTargetId(id),
    registration: undefined,
    isLapse: true,
    ...(lapseMs === undefined ? {} : { lapseMs }),
});

test("an older row never replaces a newer one, regardless of the order of arrival", t => {
    const state = createState();
    const draining = fixture.createRegistration("a", { state: "draining" });
    state.applyChanges([fixture.createTargetChange(5, draining)]);
    state.applyChanges([fixture.createTargetChange(4, fixture.createRegistration("a"))]);
    t.deepEqual([...state.listTargets()], [draining]);
});

test("a configuration with a lower version does not replace the current one", t => {
    const state = createState();
    state.applyChanges([
        { kind: "configuration", version: fixture.createVersion(5), configuration: fixture.createConfiguration(9) },
    ]);
    state.applyChanges([
        { kind: "configuration", version: fixture.createVersion(6), configuration: fixture.createConfiguration(8) },
    ]);
    t.is(state.getConfiguration()?.version, 9);
});

// Guards against VMs that need no keys after an upgrade, until the operator writes the configuration again.
test("a row that a VM of an earlier version sent without organisations is completed, and not stripped of them", t => {
    const state = createState();
    const without = fixture.createConfiguration(9);
    const complete: routes.RouteConfiguration = { ...without, organisations: [] };
    const apply = (sequence: number, configuration: routes.RouteConfiguration): boolean =>
        state.applyChanges([{ kind: "configuration", version: fixture.createVersion(sequence), configuration }])
            .length > 0;
    t.true(apply(5, without));
    t.true(apply(5, complete));
    t.false(apply(5, without));
    t.is(state.getConfiguration(), complete);
    t.true(apply(6, without), "the operator has taken the organisations out");
    t.false(apply(5, complete));
    t.is(state.getConfiguration(), without);
});

test("a snapshot removes the rows that it does not contain, except those newer than the snapshot", t => {
    const state = createState();
    state.applyChanges([
        fixture.createTargetChange(3, fixture.createRegistration("old")),
        fixture.createTargetChange(9, fixture.createRegistration("new")),
        { kind: "zone", version: fixture.createVersion(2), zone: fixture.zone, isOut: true },
    ]);
    state.applySnapshot({ table: "targets", version: fixture.createVersion(7), changes: [] }, 0);
    t.deepEqual(listTargetIds(state), ["new"]);
    t.true(state.isZoneOut(fixture.zone));
    state.applySnapshot({ table: "operators", version: fixture.createVersion(10), changes: [] }, 0);
    t.false(state.isZoneOut(fixture.zone));
});

test("a row that is rewritten without changes has no effect", t => {
    const state = createState();
    state.applyChanges([fixture.createTargetChange(1, fixture.createRegistration("a"))]);
    t.deepEqual(state.applyChanges([fixture.createTargetChange(2, fixture.createRegistration("a"))]), []);
});

test("a target whose row expired stays in use for a grace period, and longer if it registers again", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = createState(scheduler);
    state.applyChanges([
        fixture.createTargetChange(1, fixture.createRegistration("back")),
        fixture.createTargetChange(1, fixture.createRegistration("gone")),
    ]);
    state.applyChanges([createLapse(2, "back"), createLapse(2, "gone")]);
    await scheduler.advance(1_000);
    t.deepEqual(listTargetIds(state), ["back", "gone"]);
    state.applyChanges([fixture.createTargetChange(3, fixture.createRegistration("back"))]);
    await scheduler.advance(10_000);
    t.deepEqual(listTargetIds(state), ["back"]);
});

// Guards against followers that count the time from when they hear of an expired row, and use its target for too long.
test("a target whose row expired stays in use for as long as the change says", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = createState(scheduler);
    state.applyChanges([fixture.createTargetChange(1, fixture.createRegistration("a"))]);
    state.applyChanges([createLapse(2, "a", 700)]);
    await scheduler.advance(600);
    t.deepEqual(listTargetIds(state), ["a"]);
    await scheduler.advance(200);
    t.deepEqual(listTargetIds(state), []);
});

// Guards against a VM that loses its hub after an outage, and with it all targets whose rows have expired.
test("a VM that knows a target keeps it if it joins a hub at which the target's row has expired", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const [hub, joined] = [createState(scheduler), createState(scheduler)];
    const registered = fixture.createTargetChange(1, fixture.createRegistration("a"));
    for (const state of [hub, joined]) {
        state.applyUpdate({ table: "targets", version: fixture.createVersion(1), changes: [registered] });
    }
    hub.applyUpdate({ table: "targets", version: fixture.createVersion(2), changes: [createLapse(2, "a", 1_000)] });
    await scheduler.advance(400);
    hub.listSnapshots().forEach(snapshot => joined.applySnapshot(snapshot));
    await scheduler.advance(500);
    t.deepEqual(listTargetIds(joined), ["a"]);
    await scheduler.advance(200);
    t.deepEqual(listTargetIds(joined), []);
    t.deepEqual(hub.listSnapshots().find(({ table }) => table === "targets")?.changes, []);
});

// Guards against a target that starts again under its id, and is taken out of use when the expiry of its old row is due.
test("a target that registers again after its row expired is not taken out of use", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state = createState(scheduler);
    state.applyChanges([fixture.createTargetChange(1, fixture.createRegistration("a"))]);
    state.applyChanges([createLapse(2, "a", 1_000)]);
    await scheduler.advance(500);
    state.applyChanges([fixture.createTargetChange(3, fixture.createRegistration("a", { startedAtMs: 2 }))]);
    await scheduler.advance(5_000);
    t.deepEqual(listTargetIds(state), ["a"]);
});

test("a row that is removed, not expired, takes its target out of use at once", t => {
    const state = createState();
    state.applyChanges([fixture.createTargetChange(1, fixture.createRegistration("a"))]);
    state.applyChanges([fixture.createTargetChange(2, undefined, ids.toTargetId("a"))]);
    t.deepEqual(listTargetIds(state), []);
});

test("a peer that joins gets all existing rows", t => {
    const source = createState();
    source.applyChanges([
        { kind: "configuration", version: fixture.createVersion(1), configuration: fixture.createConfiguration(3) },
        { kind: "zone", version: fixture.createVersion(2), zone: fixture.zone, isOut: true },
        fixture.createTargetChange(3, fixture.createRegistration("a")),
        fixture.createTargetChange(4, undefined, ids.toTargetId("b")),
    ]);
    const joined = createState();
    source.listSnapshots().forEach(snapshot => joined.applySnapshot(snapshot, 0));
    t.deepEqual(listTargetIds(joined), ["a"]);
    t.is(joined.getConfiguration()?.version, 3);
    t.true(joined.isZoneOut(fixture.zone));
});

test("a row rewritten at a newer version is not replaced by a late change with a version in between", t => {
    const state = createState();
    const ready = fixture.createRegistration("a");
    state.applyChanges([fixture.createTargetChange(5, ready)]);
    state.applyChanges([fixture.createTargetChange(9, ready)]);
    state.applyChanges([fixture.createTargetChange(7, { ...ready, state: "draining" })]);
    t.is([...state.listTargets()][0]?.state, "ready");
});

test("after a snapshot, an outdated source does not bring back a row that was removed before it", t => {
    const outdated = createState();
    outdated.applyChanges([
        fixture.createTargetChange(3, fixture.createRegistration("left")),
        { kind: "zone", version: fixture.createVersion(4), zone: fixture.zone, isOut: true },
        fixture.createTargetChange(5, fixture.createRegistration("kept")),
    ]);
    // A VM that has just started knows nothing of the removals at versions 6 and 7.
    const restarted = createState();
    const kept = fixture.createTargetChange(5, fixture.createRegistration("kept"));
    restarted.applySnapshot({ table: "targets", version: fixture.createVersion(8), changes: [kept] }, 0);
    restarted.applySnapshot({ table: "operators", version: fixture.createVersion(8), changes: [] }, 0);
    outdated.listSnapshots().forEach(snapshot => restarted.applySnapshot(snapshot, 0));
    t.deepEqual(listTargetIds(restarted), ["kept"]);
    t.false(restarted.isZoneOut(fixture.zone));
    restarted.applyChanges([fixture.createTargetChange(9, fixture.createRegistration("left"))]);
    t.deepEqual(listTargetIds(restarted).sort(), ["kept", "left"]);
});

test("a snapshot of a source whose last changes came without a version up to which they are complete loses no row", t => {
    const source = createState();
    source.applySnapshot({ table: "targets", version: fixture.createVersion(5), changes: [] }, 0);
    source.applyChanges([fixture.createTargetChange(9, fixture.createRegistration("late"))]);
    const joined = createState();
    source.listSnapshots().forEach(snapshot => joined.applySnapshot(snapshot, 0));
    // Written between the two versions, and not known to the source yet.
    joined.applyChanges([fixture.createTargetChange(7, fixture.createRegistration("between"))]);
    t.deepEqual(listTargetIds(joined).sort(), ["between", "late"]);
});

test("an update moves the version up to which a table is complete", t => {
    const source = createState();
    source.applySnapshot({ table: "targets", version: fixture.createVersion(5), changes: [] }, 0);
    const added = fixture.createTargetChange(7, fixture.createRegistration("a"));
    source.applyUpdate({ table: "targets", version: fixture.createVersion(9), changes: [added] });
    t.deepEqual(
        source.listSnapshots().find(snapshot => snapshot.table === "targets")?.version,
        fixture.createVersion(9),
    );
    source.applyChanges([fixture.createTargetChange(8, fixture.createRegistration("outdated"))]);
    t.deepEqual(listTargetIds(source), ["a"]);
});

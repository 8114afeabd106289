import test from "ava";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as fixtures from "./fixture.js";
import * as types from "./Types.js";

const self = fixtures.createMember("vm-a", "a");
const peer = fixtures.createMember("vm-b", "b");
const answered = (latencyMs = 10): types.AttemptReport => ({ kind: "answered", latencyMs, report: undefined });

const createSetup = (shape: Partial<fixtures.ServiceShape> = {}) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const configuration = fixtures.createConfiguration({ ...fixtures.smallShape, ...shape });
    const members = [self, peer];
    const logger = silentLogger.createSilentLogger();
    const fixture = fixtures.createDispatcherFixture({ self, members, configuration, scheduler, logger, seed: 7 });
    const acquire = (request: Partial<types.SlotRequest> = {}): Promise<types.SlotGrant> =>
        fixture.dispatcher.acquire({
            call: ids.toCallId("c"),
            service: ids.toServiceName("bookings"),
            deadlineAtMs: scheduler.now() + 1_000,
            exclude: [],
            excludeMembers: [],
            mayForward: true,
            signal: new AbortController().signal,
            ...request,
        });
    return { ...fixture, scheduler, configuration, acquire };
};

type Setup = ReturnType<typeof createSetup>;

const acquireLocal = async (
    setup: Setup,
    request: Partial<types.SlotRequest> = {},
): Promise<types.SlotGrant & { kind: "local" }> => {
    const grant = await setup.acquire(request);
    if (grant.kind !== "local") {
        throw new Error(`expected a local grant, got ${JSON.stringify(grant)}`);
    }
    return grant;
};

const createWarmSetup = (shape: Partial<fixtures.ServiceShape> = {}): Setup => {
    const setup = createSetup(shape);
    setup.setWarm();
    return setup;
};

const countInFlight = (setup: Setup): readonly number[] => setup.dispatcher.listTargets().map(view => view.inFlight);

/** Changes the configuration in the same order as the daemon: the configuration first, then the owners. */
const changeTargets = (
    setup: Setup,
    change: (target: config.TargetConfig) => config.TargetConfig | undefined,
): void => {
    const next = fixtures.createChangedConfiguration(setup.configuration, change);
    setup.setConfiguration(next);
    setup.setOwnership(fixtures.createOwnership(next, [self, peer]));
};

test("a target never gets more calls than it has slots; further calls wait and are served in order", async t => {
    const setup = createWarmSetup();
    const grants = [];
    for (let index = 0; index < 4; index++) {
        grants.push(await acquireLocal(setup));
    }
    t.deepEqual(countInFlight(setup), [2, 2]);
    const order: number[] = [];
    const waiting = [1, 2].map(number => acquireLocal(setup).then(grant => (order.push(number), grant)));
    await setup.scheduler.advance(1);
    t.deepEqual(order, []);
    grants[3]?.release(answered());
    grants[3]?.release(answered());
    await setup.scheduler.advance(1);
    t.deepEqual(order, [1], "a second release of the same grant must not free a second slot");
    grants[0]?.release(answered());
    await Promise.all(waiting);
    t.deepEqual(countInFlight(setup), [2, 2]);
});

test("the queue is bounded by its limit and by the deadline, and an aborted call leaves it", async t => {
    const setup = createWarmSetup({ targets: 1, slots: 1, queueLimit: 2 });
    await acquireLocal(setup);
    const abort = new AbortController();
    const abortedGrant = setup.acquire({ signal: abort.signal });
    const expiredGrant = setup.acquire({ deadlineAtMs: setup.scheduler.now() + 50 });
    t.like(await setup.acquire(), { kind: "refused", error: "queue_full" });
    t.like(await setup.acquire({ deadlineAtMs: setup.scheduler.now() + 5 }), {
        kind: "refused",
        error: "deadline_exceeded_not_run",
    });
    abort.abort(new Error("caller left"));
    await t.throwsAsync(abortedGrant, { message: "caller left" });
    await setup.scheduler.advance(60);
    t.like(await expiredGrant, { kind: "refused", error: "deadline_exceeded_not_run" });
});

test("targets out of service, draining or moved get no new calls, and calls in flight keep their slots", async t => {
    const setup = createWarmSetup();
    const first = await acquireLocal(setup);
    const id = first.target.id;
    const isUnused = async (): Promise<boolean> => {
        const grants = [];
        for (let index = 0; index < 2; index++) {
            grants.push(await acquireLocal(setup));
        }
        grants.forEach(grant => grant.release(answered()));
        return grants.every(grant => grant.target.id !== id);
    };
    changeTargets(setup, target => (target.id === id ? { ...target, out: true } : target));
    t.true(await isUnused());
    changeTargets(setup, target => (target.id === id ? { ...target, zone: ids.toZoneName("b") } : target));
    t.true(await isUnused(), "the target has moved to the zone of another owner");
    changeTargets(setup, target => (target.id === id ? undefined : target));
    t.true(await isUnused());
    changeTargets(setup, target => target);
    const again = [await acquireLocal(setup), await acquireLocal(setup), await acquireLocal(setup)];
    t.is(again.filter(grant => grant.target.id === id).length, 1, "the first call still holds one of two slots");
    again.forEach(grant => grant.release(answered()));
    first.release(answered());
    setup.dispatcher.applyReport(id, { state: "draining", busy: undefined, boot: undefined });
    t.true(await isUnused());
    const topology = {
        ...setup.configuration.topology,
        vmsOut: [ids.toVmId("target-vm-0"), ids.toVmId("target-vm-1")],
    };
    setup.setConfiguration({ ...setup.configuration, topology });
    t.like(await setup.acquire(), { kind: "refused", error: "no_target" });
});

test("a call for a cell of another owner is forwarded to it, unless it was already forwarded", async t => {
    const setup = createSetup({ zones: ["b"] });
    t.like(await setup.acquire(), { kind: "remote", cell: "bookings/b", member: { info: { vm: "vm-b" } } });
    t.like(await setup.acquire({ mayForward: false }), { kind: "refused", error: "no_target" });
    t.like(await setup.acquire({ service: ids.toServiceName("none") }), { kind: "refused", error: "unknown_service" });
});

test("waiting calls are forwarded to the new owner of their cell", async t => {
    const setup = createWarmSetup({ targets: 1, slots: 1 });
    await acquireLocal(setup);
    const forwardedGrant = setup.acquire();
    const refusedGrant = setup.acquire({ mayForward: false });
    const other = fixtures.createMember("vm-c", "a");
    setup.setOwnership(fixtures.createOwnership(setup.configuration, [other]));
    t.like(await forwardedGrant, { kind: "remote", member: { info: { vm: "vm-c" } } });
    t.like(await refusedGrant, { kind: "refused", error: "no_target" });
});

import test from "ava";
import * as fastCheck from "fast-check";
import * as random from "../random.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as ids from "../ids.js";
import * as membership from "../membership/Types.js";
import * as fixtures from "./fixture.js";
import * as pickTarget from "./pickTarget.js";
import * as types from "./Types.js";

const self = fixtures.createMember("vm-a", "a");
const peer = fixtures.createMember("vm-b", "b");
const target = ids.toTargetId("t0");

const createSetup = (shape: Partial<fixtures.ServiceShape> = {}, seed = 3) => {
    const scheduler = virtualScheduler.createVirtualScheduler(10_000);
    const configuration = fixtures.createConfiguration({ ...fixtures.smallShape, ...shape });
    const members = [self, peer];
    const logger = silentLogger.createSilentLogger();
    const fixture = fixtures.createDispatcherFixture({ self, members, configuration, scheduler, logger, seed });
    const acquire = (request: Partial<types.SlotRequest> = {}): Promise<types.SlotGrant> =>
        fixture.dispatcher.acquire({
            call: ids.toCallId("c"),
            service: ids.toServiceName("bookings"),
            deadlineAtMs: scheduler.now() + 30_000,
            exclude: [],
            excludeMembers: [],
            mayForward: true,
            signal: new AbortController().signal,
            ...request,
        });
    const findView = (id = target): types.TargetView | undefined =>
        fixture.dispatcher.listTargets().find(view => view.target.id === id);
    return { ...fixture, scheduler, acquire, findView };
};

test("the free target with the lowest expected time is picked, not one with a stalled call or failures", t => {
    const base = { limit: 4, inFlight: 1, latencyMs: 10, oldestStartMs: 90, failures: 0 };
    const pick = (...candidates: readonly pickTarget.Candidate[]): number =>
        candidates.indexOf(pickTarget.pickTarget(candidates, 0, 100, () => true) ?? base);
    t.is(pick({ ...base, inFlight: 2 }, base), 1);
    t.is(pick({ ...base, oldestStartMs: 0 }, base), 1);
    t.is(pick({ ...base, failures: 1, latencyMs: 6, oldestStartMs: 99 }, base), 1);
    t.is(pick({ ...base, limit: 1 }, { ...base, limit: 0, inFlight: 0 }), -1);
});

const createLoad = (load: Partial<membership.CellLoad>): membership.CellLoad => ({
    cell: ids.toCellId(ids.toServiceName("bookings"), ids.toZoneName("b")),
    owner: peer.info.vm,
    freeSlots: 2,
    queued: 0,
    expectedWaitMs: 0,
    measuredAtMs: 10_000,
    ...load,
});

test("a call spills over only if its wait exceeds the link delay plus the remote wait, and only once", async t => {
    const createBusy = async (linkDelayMs: number) => {
        const setup = createSetup({ zones: ["a", "b"], targets: 2, slots: 1, queueLimit: 100, linkDelayMs });
        setup.setWarm();
        await setup.acquire();
        return setup;
    };
    const isRemote = async (setup: Awaited<ReturnType<typeof createBusy>>, mayForward = true): Promise<boolean> =>
        Promise.race([
            setup.acquire({ mayForward }).then(grant => grant.kind === "remote"),
            setup.scheduler.advance(1).then(() => false),
        ]);
    const near = await createBusy(4);
    near.setCellLoads([createLoad({})]);
    t.false(await isRemote(near, false));
    t.true(await isRemote(near), "the wait for two calls of 10 ms exceeds the 8 ms of the link");
    const loaded = await createBusy(4);
    loaded.setCellLoads([createLoad({ freeSlots: 0, expectedWaitMs: 50 })]);
    t.false(await isRemote(loaded));
    const far = await createBusy(50);
    far.setCellLoads([createLoad({})]);
    t.false(await isRemote(far));
});

test("forwarded calls count against the free slots of the last published load", async t => {
    const setup = createSetup({ zones: ["a", "b"], targets: 2, slots: 1, queueLimit: 100, linkDelayMs: 2 });
    setup.setWarm();
    await setup.acquire();
    setup.setCellLoads([createLoad({ freeSlots: 2 })]);
    let remote = 0;
    for (let call = 0; call < 20; call++) {
        const grant = setup.acquire().then(result => (remote += result.kind === "remote" ? 1 : 0));
        await Promise.race([grant, setup.scheduler.advance(0)]);
    }
    t.true(remote >= 2 && remote < 15, `${String(remote)} calls were forwarded on one measurement`);
});

test("a cold target gets calls only under its lease, one at a time, and they must end before the lease", async t => {
    const setup = createSetup({ targets: 1, slots: 4 });
    const first = setup.acquire();
    const second = setup.acquire();
    await setup.scheduler.advance(100);
    t.deepEqual(setup.requestedLeases, [target]);
    t.is(setup.findView()?.inFlight, 0);
    setup.leaseEndsMs.set(target, setup.scheduler.now() + 8_000);
    setup.announceTaken(target);
    const grant = await first;
    t.is(setup.findView()?.inFlight, 1);
    t.like(grant, { kind: "local", endsAtMs: setup.scheduler.now() + 7_750 });
    if (grant.kind === "local") {
        setup.leaseEndsMs.set(target, setup.scheduler.now() + 300);
        grant.release({ kind: "answered", latencyMs: 5, report: { state: "cold", busy: 0, boot: undefined } });
        await setup.scheduler.advance(100);
        t.is(setup.findView()?.inFlight, 0, "the lease ends too soon for another call");
    }
    await setup.scheduler.advance(1);
    setup.setWarm();
    await second;
    t.deepEqual(setup.releasedLeases, [target], "the lease is released once the target is warm");
});

test("a lease is kept while a call that needed it is in flight", async t => {
    const setup = createSetup({ targets: 1 });
    setup.leaseEndsMs.set(target, setup.scheduler.now() + 8_000);
    const grant = await setup.acquire();
    setup.setOwnership(fixtures.createOwnership(fixtures.createConfiguration(fixtures.smallShape), [peer]));
    t.deepEqual(setup.releasedLeases, []);
    if (grant.kind === "local") {
        grant.release({ kind: "cancelled" });
    }
    t.deepEqual(setup.releasedLeases, [target]);
});

test("a target that refuses or fails fast does not attract the calls", async t => {
    const setup = createSetup({ targets: 2, slots: 4 });
    setup.setWarm();
    let failingTargetCalls = 0;
    for (let call = 0; call < 200; call++) {
        const grant = await setup.acquire();
        if (grant.kind === "local") {
            const isBad = grant.target.id === target;
            failingTargetCalls += isBad ? 1 : 0;
            await setup.scheduler.advance(isBad ? 0 : 5);
            const refusal = { kind: call % 2 === 0 ? "refused" : "broken", report: undefined } as const;
            grant.release(isBad ? refusal : { kind: "answered", latencyMs: 5, report: undefined });
        }
    }
    t.true(failingTargetCalls < 20, `${String(failingTargetCalls)} of 200 calls went to the failing target`);
});

test("a slow target gets one call at a time, unless the wait exceeds its latency", async t => {
    const setup = createSetup({ targets: 2, slots: 2, queueLimit: 100 });
    setup.setWarm();
    const other = ids.toTargetId("t1");
    const call = async (latencyMs: number, exclude: types.TargetView["target"]["id"]): Promise<void> => {
        const grant = await setup.acquire({ exclude: [exclude] });
        if (grant.kind === "local") {
            grant.release({ kind: "answered", latencyMs, report: undefined });
        }
        await setup.scheduler.advance(60);
    };
    for (let count = 0; count < 20; count++) {
        await call(10, target);
        await call(100, other);
    }
    t.is(setup.findView()?.state.kind, "slow");
    await Promise.all([setup.acquire(), setup.acquire(), setup.acquire()]);
    t.is(setup.findView()?.inFlight, 1);
    for (let count = 0; count < 2; count++) {
        void setup.acquire({ mayForward: false });
    }
    await setup.scheduler.advance(30);
    t.is(setup.findView()?.inFlight, 1, "the wait of two calls is shorter than the latency of the slow target");
    for (let count = 0; count < 30; count++) {
        void setup.acquire({ mayForward: false });
    }
    await setup.scheduler.advance(30);
    t.is(setup.findView()?.inFlight, 2);
});

test("under random calls, outcomes and reports, no target exceeds its slots and no call is lost", async t => {
    const property = fastCheck.asyncProperty(fastCheck.integer(), async seed => {
        const setup = createSetup({ targets: 4, slots: 2, queueLimit: 6, zones: ["a"] }, seed);
        const source = random.createRandom(seed);
        const grants: types.SlotGrant[] = [];
        let open = 0;
        setup.setWarm();
        for (let step = 0; step < 150; step++) {
            const choice = source.nextInt(10);
            if (choice < 5) {
                open++;
                const deadlineAtMs = setup.scheduler.now() + 20 + source.nextInt(400);
                void setup.acquire({ deadlineAtMs }).then(grant => (open--, grants.push(grant)));
            } else if (choice < 9) {
                const grant = grants.splice(source.nextInt(Math.max(1, grants.length)), 1)[0];
                if (grant?.kind === "local") {
                    const kinds = ["broken", "silent", "unreachable", "cancelled"] as const;
                    const kind = kinds[source.nextInt(8)];
                    grant.release(kind ? { kind } : { kind: "answered", latencyMs: 9, report: undefined });
                }
            } else {
                const report = { state: "draining", busy: undefined, boot: undefined } as const;
                setup.dispatcher.applyReport(ids.toTargetId(`t${String(source.nextInt(4))}`), report);
                await setup.scheduler.advance(1);
                setup.setWarm();
            }
            await setup.scheduler.advance(source.nextInt(20));
            if (setup.dispatcher.listTargets().some(view => view.inFlight > view.target.slots)) {
                return false;
            }
        }
        await setup.scheduler.advance(1_000);
        return open === 0;
    });
    await t.notThrowsAsync(fastCheck.assert(property, { seed: 5, numRuns: 30 }));
});

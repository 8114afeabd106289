import test from "ava";
import * as fixtures from "../../common/routing/fixture.js";
import * as ids from "../../common/ids.js";
import * as random from "../../common/random.js";
import * as routing from "../../common/routing/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as prober from "./prober.js";

const createSetup = (shape: Partial<fixtures.ServiceShape>, memberZone: string) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const logger = silentLogger.createSilentLogger();
    const self = fixtures.createMember("vm-a", memberZone);
    const configuration = fixtures.createConfiguration({ ...fixtures.smallShape, ...shape });
    const fixture = fixtures.createDispatcherFixture({
        self,
        members: [self],
        configuration,
        scheduler,
        logger,
        seed: 1,
    });
    // The member also owns the cells of zones without members.
    const ownership = { listCellOwners: () => [self], findTargetOwner: () => self };
    const probes: string[] = [];
    const probeResponse = { state: "warm" as routing.TargetReport["state"], isReached: true, mayProbe: true };
    const lifetime = prober.createProber({
        ...fixture,
        scheduler,
        random: random.createRandom(2),
        logger,
        mayProbe: () => probeResponse.mayProbe,
        sendProbe: target => {
            probes.push(target.id);
            const report = { state: probeResponse.state, busy: 0, boot: ids.toBootId("b1") };
            return Promise.resolve(
                probeResponse.isReached ? { kind: "answered", report, latencyMs: 6 } : { kind: "failed" },
            );
        },
    });
    const listStates = (): readonly string[] => fixture.dispatcher.listTargets().map(view => view.state.kind);
    return { ...fixture, scheduler, probes, probeResponse, lifetime, ownership, listStates };
};

test("new targets are probed after 2 s, then at most 0.5 times per second each, and never after dispose", async t => {
    const setup = createSetup({ targets: 3 }, "a");
    await setup.scheduler.advance(1_900);
    t.deepEqual(setup.probes, []);
    await setup.scheduler.advance(800);
    t.deepEqual([...setup.probes].sort(), ["t0", "t1", "t2"]);
    t.deepEqual(setup.listStates(), ["warm", "warm", "warm"]);
    await setup.scheduler.advance(20_000);
    t.true(setup.probes.length > 3 * 6 && setup.probes.length <= 3 * 11, `${String(setup.probes.length)} probes`);
    setup.lifetime.dispose();
    setup.probes.length = 0;
    await setup.scheduler.advance(20_000);
    t.deepEqual(setup.probes, []);
});

test("the owner that replaces a lost one knows the state of its targets within 300 ms of virtual time", async t => {
    const setup = createSetup({ targets: 6, zones: ["b"] }, "a");
    const lost = fixtures.createMember("vm-b", "b");
    setup.setOwnership({ listCellOwners: () => [lost], findTargetOwner: () => lost });
    await setup.scheduler.advance(5_000);
    t.deepEqual(setup.probes, []);
    setup.setOwnership(setup.ownership);
    await setup.scheduler.advance(300);
    t.true(setup.listStates().filter(state => state === "warm").length >= 2, "2 KB are enough for two probes");
});

test("targets that report in responses to calls, and targets of other owners, are not probed", async t => {
    const setup = createSetup({ targets: 2, zones: ["a", "b"] }, "a");
    await setup.scheduler.advance(1_000);
    setup.probes.length = 0;
    for (let second = 0; second < 10; second++) {
        setup.setWarm();
        await setup.scheduler.advance(1_000);
    }
    t.deepEqual(setup.probes, []);
});

test("probes between zones stay within 2 KB per second, however many targets there are", async t => {
    const setup = createSetup({ targets: 60, zones: ["b"] }, "a");
    setup.setOwnership(setup.ownership);
    setup.probeResponse.state = "cold";
    await setup.scheduler.advance(30_000);
    const bytes = setup.probes.length * prober.probeBytes;
    t.true(bytes <= 2_048 * 31 && bytes > 2_048 * 20, `${String(bytes)} bytes in 30 s`);
    t.true(new Set(setup.probes).size > 40, "no target goes without probes for long");
});

test("changes of the owner add no probes beyond the rate limit of a target", async t => {
    const setup = createSetup({ targets: 1 }, "a");
    const lost = { listCellOwners: () => [], findTargetOwner: () => undefined };
    setup.probeResponse.state = "cold";
    for (let change = 0; change < 20; change++) {
        setup.setOwnership(change % 2 === 0 ? lost : setup.ownership);
        await setup.scheduler.advance(1_000);
    }
    t.true(setup.probes.length <= 10, `${String(setup.probes.length)} probes in 20 s`);
});

test("a target whose probes fail for more than 5 s is cold when it responds again", async t => {
    const setup = createSetup({ targets: 1 }, "a");
    await setup.scheduler.advance(2_700);
    t.deepEqual(setup.listStates(), ["warm"]);
    setup.probeResponse.isReached = false;
    await setup.scheduler.advance(10_000);
    setup.probeResponse.isReached = true;
    await setup.scheduler.advance(3_000);
    t.deepEqual(setup.listStates(), ["warming"]);
});

// With all links between entry VMs cut, each considered itself the owner and probed all targets.
test("an entry VM that does not see a majority of the others sends no probes", async t => {
    const setup = createSetup({ targets: 3 }, "a");
    setup.probeResponse.mayProbe = false;
    await setup.scheduler.advance(20_000);
    t.deepEqual(setup.probes, []);
    setup.probeResponse.mayProbe = true;
    await setup.scheduler.advance(3_000);
    t.is(new Set(setup.probes).size, 3);
});

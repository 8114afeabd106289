import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as ids from "../ids.js";
import * as random from "../random.js";
import * as shared from "../Types.js";
import * as targetPool from "./targetPool.js";
import * as targetSet from "./targetSet.js";
import * as types from "./Types.js";

const createSetup = (registrations: readonly types.Registration[]) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const zonesOut = new Set<shared.ZoneName>();
    const limits = fixture.createTargetLimits(scheduler);
    const set = targetSet.createTargetSet(scheduler);
    const pool = targetPool.createTargetPool({
        scheduler,
        random: random.createRandom(7),
        logger: silentLogger.createSilentLogger(),
        zone: fixture.zone,
        set,
        limits,
        isZoneOut: zone => zonesOut.has(zone),
        getService: () => fixture.createConfiguration(1).services[0],
        vm: fixture.vm,
        getRateView: fixture.createLoneRateView,
    });
    pool.setTargets(registrations);
    const route = fixture.createRoute();
    const pick = (
        exclude: readonly string[] = [],
        acceptableLatencyMs = Infinity,
        isRepeat = false,
    ): targetPool.PickResult =>
        pool.pick({
            service: fixture.service,
            route,
            bodyBytes: 0,
            exclude: new Set(exclude.map(ids.toTargetId)),
            acceptableLatencyMs,
            isRepeat,
        });
    const pickId = (exclude: readonly string[] = []): string => {
        const result = pick(exclude);
        return result.kind === "target" ? result.reservation.registration.id : result.kind;
    };
    return { set, pool, limits, scheduler, zonesOut, pick, pickId };
};

const report = (slowdown: number): types.LoadReport => ({ running: 0, waiting: 0, slots: 2, slowdown });

test("targets that are draining, in a zone out of service or already tried are not picked", t => {
    const { zonesOut, pickId } = createSetup([
        fixture.createRegistration("draining", { state: "draining" }),
        fixture.createRegistration("out", { zone: fixture.otherZone }),
        fixture.createRegistration("tried"),
    ]);
    zonesOut.add(fixture.otherZone);
    t.is(pickId(["tried"]), "none");
    t.is(pickId(), "tried");
});

test("no target gets more concurrent requests than it has slots", t => {
    const { pickId } = createSetup([fixture.createRegistration("a"), fixture.createRegistration("b")]);
    const picked = [pickId(), pickId(), pickId(), pickId()].sort();
    t.deepEqual(picked, ["a", "a", "b", "b"]);
    t.is(pickId(), "full");
});

test("requests of other VMs that the target reports take up slots too", t => {
    const { pool, scheduler, pickId } = createSetup([fixture.createRegistration("a")]);
    pool.applyReport(ids.toTargetId("a"), { running: 2, waiting: 0, slots: 2, slowdown: 1 }, scheduler.now());
    t.is(pickId(), "full");
});

test("a target that reports a slowdown is avoided until the report is old", async t => {
    const { pool, scheduler, pick, pickId } = createSetup([
        fixture.createRegistration("slow"),
        fixture.createRegistration("quick", { zone: fixture.otherZone }),
    ]);
    pool.applyReport(ids.toTargetId("slow"), report(7), scheduler.now());
    pool.applyReport(ids.toTargetId("quick"), report(1), scheduler.now());
    t.is(pickId(), "quick");
    await scheduler.advance(5_000);
    const result = pick();
    t.is(result.kind === "target" ? result.reservation.registration.id : "", "slow");
});

test("a slow target is not picked while a fast one exists but is full, unless the wait is over", t => {
    const { pool, scheduler, pick } = createSetup([
        fixture.createRegistration("slow"),
        fixture.createRegistration("quick"),
    ]);
    pool.applyReport(ids.toTargetId("slow"), report(7), scheduler.now());
    pool.applyReport(ids.toTargetId("quick"), report(1), scheduler.now());
    const acceptableLatencyMs = fixture.createRoute().objectiveMs;
    const first = pick([], acceptableLatencyMs);
    t.is(first.kind === "target" ? first.reservation.registration.id : "", "quick");
    t.is(pick([], acceptableLatencyMs).kind, "target");
    t.is(pick([], acceptableLatencyMs).kind, "full");
    const last = pick();
    t.is(last.kind === "target" ? last.reservation.registration.id : "", "slow");
});

test("a slow target is picked if no other could respond in time", t => {
    const { pool, scheduler, pick } = createSetup([fixture.createRegistration("slow")]);
    pool.applyReport(ids.toTargetId("slow"), report(7), scheduler.now());
    t.is(pick([], fixture.createRoute().objectiveMs).kind, "target");
});

test("an overdue attempt indicates that its target has become slow", async t => {
    const { pool, scheduler, pickId } = createSetup([
        fixture.createRegistration("a"),
        fixture.createRegistration("b", { zone: fixture.otherZone }),
    ]);
    pool.applyReport(ids.toTargetId("a"), report(1), scheduler.now());
    pool.applyReport(ids.toTargetId("b"), report(1), scheduler.now());
    t.is(pickId(), "a");
    await scheduler.advance(400);
    t.is(pickId(), "b");
});

/** Sends as many requests as possible through each VM; returns the most that the cold target got in a second. */
const sendToColdTarget = async (vmCount: number, durationMs: number) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const vms = Array.from({ length: vmCount }, (_, index) => ids.toVmId(`vm-${index}`));
    const pools = vms.map((vm, index) =>
        targetPool.createTargetPool({
            scheduler,
            random: random.createRandom(index + 1),
            logger: silentLogger.createSilentLogger(),
            zone: fixture.zone,
            set: targetSet.createTargetSet(scheduler),
            limits: fixture.createTargetLimits(scheduler),
            vm,
            getRateView: () => ({ owners: vms, share: 1 }),
            isZoneOut: () => false,
            getService: () => fixture.createConfiguration(1).services[0],
        }),
    );
    pools.forEach(pool => pool.setTargets([fixture.createRegistration("cold", { coldLeftMs: 60_000 })]));
    const sentAtMs: number[] = [];
    const sendAll = (pool: targetPool.TargetPool): void => {
        const request = { service: fixture.service, route: fixture.createRoute(), bodyBytes: 0, isRepeat: false };
        for (;;) {
            const result = pool.pick({ ...request, exclude: new Set(), acceptableLatencyMs: Infinity });
            if (result.kind !== "target") {
                return;
            }
            sentAtMs.push(scheduler.now());
            result.reservation.finish(
                { kind: "answered", latencyMs: 1, isFailure: false, responseBytes: 10 },
                undefined,
            );
        }
    };
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
        await scheduler.advance(50);
        pools.forEach(sendAll);
    }
    const counts = sentAtMs.map(fromMs => sentAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length);
    return { sent: sentAtMs.length, most: Math.max(...counts) };
};

// Guards against more requests to a cold target the more VMs are active, as when each VM may send one per second.
for (const vmCount of [1, 2, 5, 30, 100]) {
    test(`a cold target gets its rate, and at most half as much again in a second, from ${vmCount} active VMs`, async t => {
        const perSecond = fixture.createConfiguration(1).services[0]?.coldPerSecond ?? 0;
        const { sent, most } = await sendToColdTarget(vmCount, 6_000);
        t.true(most <= perSecond * 1.5, `${most} in a second`);
        // The VMs begin one second after their start.
        t.true(sent >= perSecond * 4, `${sent} in all`);
    });
}

test("a target that restarts under the same id is treated as a new one", t => {
    const { pool, pickId } = createSetup([fixture.createRegistration("a")]);
    t.is(pickId(), "a");
    t.is(pickId(), "a");
    t.is(pickId(), "full");
    pool.setTargets([fixture.createRegistration("a", { startedAtMs: 2 })]);
    t.is(pickId(), "a");
});

test("a target is ejected after three consecutive failures while there are others", t => {
    const { pick, pickId } = createSetup([
        fixture.createRegistration("bad"),
        fixture.createRegistration("good", { zone: fixture.otherZone, slots: 100 }),
    ]);
    for (let count = 0; count < 3; count++) {
        const result = pick(["good"]);
        t.is(result.kind, "target");
        if (result.kind === "target") {
            result.reservation.finish({ kind: "broken" }, undefined);
        }
    }
    t.is(pickId(), "good");
    t.is(pickId(["good"]), "bad");
});

/** Sends requests one after the other, all of which "bad" refuses and "good" serves; returns how many "bad" got. */
const countRefused = async (
    outcome: types.AttemptOutcome,
    load: types.LoadReport | undefined,
): Promise<{ readonly refused: number; readonly setup: ReturnType<typeof createSetup> }> => {
    const setup = createSetup([fixture.createRegistration("bad"), fixture.createRegistration("good", { slots: 8 })]);
    let refused = 0;
    for (let count = 0; count < 40; count++) {
        const result = setup.pick();
        if (result.kind === "target" && result.reservation.registration.id === "bad") {
            refused++;
            result.reservation.finish(outcome, load);
        } else if (result.kind === "target") {
            const { reservation } = result;
            setup.scheduler.schedule(100, () =>
                reservation.finish({ kind: "answered", latencyMs: 100, isFailure: false, responseBytes: 1 }, undefined),
            );
        }
        await setup.scheduler.advance(20);
    }
    return { refused, setup };
};

test("a target that refuses requests although it has free slots does not attract all requests", async t => {
    const { refused } = await countRefused({ kind: "refused" }, report(1));
    t.true(refused <= 4, `${refused} of 40`);
});

test("a target that is not the one of its row gets nothing for a while, or until its row changes", async t => {
    const { refused, setup } = await countRefused({ kind: "misdirected" }, undefined);
    t.is(refused, 1);
    setup.pool.setTargets([fixture.createRegistration("bad", { startedAtMs: 2 })]);
    t.is(setup.pickId(), "bad");
});

test("a refusal by a target that is full says nothing about its health", async t => {
    const setup = createSetup([fixture.createRegistration("a")]);
    for (let count = 0; count < 5; count++) {
        const result = setup.pick();
        if (result.kind === "target") {
            result.reservation.finish({ kind: "refused" }, { running: 2, waiting: 3, slots: 2, slowdown: 1 });
        }
        await setup.scheduler.advance(1_000);
    }
    setup.pool.setTargets([
        fixture.createRegistration("a"),
        fixture.createRegistration("b", { zone: fixture.otherZone }),
    ]);
    await setup.scheduler.advance(1_000);
    t.is(setup.pickId(), "a");
});

test("what a limited target takes is left to first attempts; if nothing is left, the caller learns when", async t => {
    const target = fixture.createRegistration("a");
    const { limits, scheduler, pick } = createSetup([target]);
    limits.recordResponse(target, { kind: "limited", perSecond: 2 }, scheduler.now());
    await fixture.settleLimits(limits, scheduler);
    t.deepEqual(pick([], Infinity, true), { kind: "limited", waitMs: Infinity, retryAfterMs: 500 });
    t.is(pick().kind, "target");
    t.deepEqual(pick(), { kind: "limited", waitMs: 500, retryAfterMs: 500 });
});

test("a target without a limit is preferred to waiting for one with a limit, also if it is full", t => {
    const target = fixture.createRegistration("a");
    const { limits, scheduler, pickId } = createSetup([target, fixture.createRegistration("b")]);
    limits.recordResponse(target, { kind: "limited", perSecond: 0 }, scheduler.now());
    t.deepEqual([pickId(), pickId(), pickId()], ["b", "b", "full"]);
});

test("a target that is leaving is not picked", t => {
    const { set, pickId } = createSetup([fixture.createRegistration("a")]);
    const entry = set.find(ids.toTargetId("a"));
    t.is(pickId(), "a");
    if (entry !== undefined) {
        entry.isLeaving = true;
    }
    t.is(pickId(), "none");
});

test("a target that has asked for a pause gets neither requests nor probes, and the caller learns when it does", async t => {
    const { set, pool, scheduler, pick, pickId } = createSetup([fixture.createRegistration("a")]);
    const entry = set.find(ids.toTargetId("a"));
    if (entry !== undefined) {
        entry.pausedUntilMs = 4_000;
    }
    await scheduler.advance(1_000);
    t.deepEqual(pick(), { kind: "limited", waitMs: 2_000, retryAfterMs: 2_000 });
    t.deepEqual(
        pool.listStale(150, () => true),
        [],
    );
    await scheduler.advance(2_000);
    t.is(pool.listStale(150, () => true).length, 1);
    t.is(pickId(), "a");
});

test("a limited target is probed rarely, and by its owner, so that the end of its limit is noticed", async t => {
    const target = fixture.createRegistration("a");
    const { pool, limits, scheduler } = createSetup([target, fixture.createRegistration("b")]);
    limits.recordResponse(target, { kind: "limited", perSecond: 0 }, scheduler.now());
    const listIds = (mayProbe: boolean): string[] => pool.listStale(150, () => mayProbe).map(({ id }) => id);
    await scheduler.advance(1_000);
    t.deepEqual(listIds(true), ["b"]);
    t.deepEqual(listIds(false), []);
    await scheduler.advance(1_000);
    t.deepEqual(listIds(false), ["a"]);
});

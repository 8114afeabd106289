import test from "ava";
import * as ids from "../ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as activeVmPlanner from "./activeVmPlanner.js";
import * as clientZones from "./clientZones.js";
import * as demandMeter from "./demandMeter.js";
import * as targetPool from "./targetPool.js";

test("shares of clients follow the lookups of all VMs, in coarse steps", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const zones = clientZones.createClientZones(scheduler);
    const counter = clientZones.createLookupCounter();
    for (let count = 0; count < 20; count++) {
        counter.record(fixture.zone);
    }
    counter.record(undefined);
    counter.take().forEach(([zone, count]) => zones.record(zone, count));
    t.deepEqual(counter.take(), []);
    // Too few to tell.
    t.is(zones.computeShares(), undefined);
    zones.record(fixture.otherZone, 58);
    t.deepEqual(
        [...(zones.computeShares() ?? [])],
        [
            [fixture.zone, 0.25],
            [fixture.otherZone, 0.75],
        ],
    );
    await scheduler.advance(60_000);
    t.is(zones.computeShares(), undefined);
});

// Guards against messages of a peer that fill memory or make the shares meaningless.
test("malformed counts and very many zones do not count, and zones that are made up give way", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const zones = clientZones.createClientZones(scheduler);
    const counter = clientZones.createLookupCounter();
    counter.record(ids.toZoneName("z".repeat(10_000)));
    t.deepEqual(counter.take(), []);
    [NaN, Infinity, -5, 0].forEach(count => zones.record(fixture.zone, count));
    t.is(zones.computeShares(), undefined);
    for (let index = 0; index < 1_000; index++) {
        zones.record(ids.toZoneName(`zone-${index}`), 10);
    }
    t.true((zones.computeShares()?.size ?? 0) <= 16);
    await scheduler.advance(60_000);
    zones.record(fixture.zone, 50);
    t.deepEqual([...(zones.computeShares() ?? [])], [[fixture.zone, 1]]);
});

test("demand is reported by service, in steps that small changes do not leave", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const meter = demandMeter.createDemandMeter(scheduler);
    const rare = ids.toServiceName("rare");
    const reports = new Set<string>();
    meter.record(rare, 10, 10);
    for (let step = 0; step < 1_000; step++) {
        await scheduler.advance(20);
        meter.record(fixture.service, 80 + (step % 20), 9_000 + (step % 7) * 500);
        if (step > 500) {
            reports.add(JSON.stringify(meter.list()));
        }
    }
    t.is(reports.size, 1);
    const [report, ...others] = meter.list();
    t.deepEqual(others, []);
    t.is(report?.service, fixture.service);
    t.true((report?.perSecond ?? 0) > 35 && (report?.perSecond ?? 0) < 70);
    t.true((report?.bytes ?? 0) > 7_000 && (report?.bytes ?? 0) < 15_000);
    t.true((report?.workMs ?? 0) > 60 && (report?.workMs ?? 0) < 130);
});

test("responses of picked targets are recorded with the bytes of both directions, others are not", t => {
    const recorded: number[] = [];
    const ends: string[] = [];
    const meter = { record: (_service: unknown, _workMs: number, bytes: number) => void recorded.push(bytes) };
    const reservation = { finish: ({ kind }: { kind: string }) => void ends.push(kind) };
    const pick = demandMeter.watchPicks(
        () => ({ kind: "target", reservation }) as unknown as targetPool.PickResult,
        meter as unknown as demandMeter.DemandMeter,
    );
    for (const outcome of [
        { kind: "answered", latencyMs: 5, isFailure: false, responseBytes: 100 },
        { kind: "silent" },
    ] as const) {
        const result = pick({ service: fixture.service, bodyBytes: 20 } as targetPool.PickRequest);
        if (result.kind === "target") {
            result.reservation.finish(outcome, undefined);
        }
    }
    t.deepEqual(recorded, [120]);
    t.deepEqual(ends, ["answered", "silent"]);
});

// Guards against clients that are moved when a hub is lost, as the next one has no reports yet.
test("a plan that was adopted stays for some seconds without reports", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const logger = silentLogger.createSilentLogger();
    const planner = activeVmPlanner.createActiveVmPlanner({ clock: scheduler, logger });
    const plan = [ids.toVmId("a"), ids.toVmId("b")];
    planner.adopt(plan);
    const input = { peers: [], targets: new Map(), clientShares: undefined };
    await scheduler.advance(4_000);
    t.deepEqual(planner.update(input), plan);
    await scheduler.advance(2_000);
    t.deepEqual(planner.update(input), []);
});

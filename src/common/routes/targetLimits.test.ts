import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as targetLimits from "./targetLimits.js";
import * as types from "./Types.js";

const target = fixture.createRegistration("t1");
const limitTo = (perSecond: number): types.NamedLimit => ({ kind: "limited", perSecond });
const none: types.NamedLimit = { kind: "none" };

const createSetup = () => {
    const scheduler = virtualScheduler.createVirtualScheduler(10_000);
    const reports: targetLimits.LimitReport[] = [];
    let malformed = 0;
    const limits = targetLimits.createTargetLimits({
        clock: scheduler,
        logger: silentLogger.createSilentLogger(),
        vm: fixture.vm,
        getRateView: () => ({ owners: [fixture.vm], share: 1 }),
        handleMalformed: () => void malformed++,
    });
    limits.onDidChange(report => reports.push(report));
    return { scheduler, limits, reports, countMalformed: () => malformed };
};

test("a limit holds until a response to a later request does not name it", async t => {
    const { scheduler, limits } = createSetup();
    limits.recordResponse(target, limitTo(2), 9_900);
    await scheduler.advance(100);
    limits.recordResponse(target, none, 9_950);
    t.not(limits.check(target).kind, "unlimited");
    limits.recordResponse(target, none, 10_050);
    t.is(limits.check(target).kind, "unlimited");
    t.is(limits.count(), 0);
});

test("a malformed limit is counted, and neither names nor ends one", t => {
    const { limits, countMalformed } = createSetup();
    const malformed: types.NamedLimit = { kind: "malformed", text: "many" };
    limits.recordResponse(target, malformed, 10_000);
    t.is(limits.check(target).kind, "unlimited");
    limits.recordResponse(target, limitTo(2), 10_000);
    limits.recordResponse(target, malformed, 10_000);
    t.not(limits.check(target).kind, "unlimited");
    t.is(countMalformed(), 2);
});

test("a limit belongs to one run of a target", t => {
    const { limits } = createSetup();
    const restarted = { ...target, startedAtMs: 2 };
    limits.recordResponse(target, limitTo(0), 10_000);
    t.is(limits.check(target).kind, "exhausted");
    t.is(limits.check(restarted).kind, "unlimited");
    limits.retainTargets((id, startedAtMs) => id === restarted.id && startedAtMs === restarted.startedAtMs);
    t.is(limits.count(), 0);
});

test("a limit of 0 lets no request through and asks callers to come back after some seconds", t => {
    const { limits } = createSetup();
    limits.recordResponse(target, limitTo(0), 10_000);
    t.deepEqual(limits.check(target), { kind: "exhausted", perSecond: 0, waitMs: Infinity, retryAfterMs: 5_000 });
});

test("a huge limit does not limit", async t => {
    const { scheduler, limits } = createSetup();
    limits.recordResponse(target, limitTo(999_999_999_999_999), 10_000);
    await fixture.settleLimits(limits, scheduler);
    for (let count = 0; count < 1_000; count++) {
        t.is(limits.check(target).kind, "available");
        limits.recordRequest(target);
    }
});

test("values that change in each response hold at once, but are reported at most once per second", async t => {
    const { scheduler, limits, reports } = createSetup();
    for (let value = 1; value <= 100; value++) {
        limits.recordResponse(target, limitTo(value), scheduler.now());
        await scheduler.advance(20);
        t.like(limits.check(target), { perSecond: value });
    }
    t.is(reports.length, 2);
});

test("a peer that is told of a limit and of its end follows, in whatever order the reports come", t => {
    const { limits: first, reports } = createSetup();
    first.recordResponse(target, limitTo(2), 10_000);
    first.recordResponse(target, none, 10_001);
    first.recordResponse(target, limitTo(3), 10_002);
    const { limits: second } = createSetup();
    const [named, ended, renamed] = reports as [
        targetLimits.LimitReport,
        targetLimits.LimitReport,
        targetLimits.LimitReport,
    ];
    t.is(second.applyReports([renamed]).length, 1);
    t.is(second.applyReports([named, ended, renamed]).length, 0);
    t.like(second.check(target), { perSecond: 3 });
    t.deepEqual(second.listReports(), first.listReports());
});

test("of two changes that peers observe at the same time, the stricter limit holds", t => {
    const { limits } = createSetup();
    const report = { target: target.id, startedAtMs: target.startedAtMs, revision: 5 };
    limits.applyReports([{ ...report, perSecond: 4 }]);
    t.is(limits.applyReports([{ ...report, perSecond: null }]).length, 0);
    t.is(limits.applyReports([{ ...report, perSecond: 2 }]).length, 1);
    t.like(limits.check(target), { perSecond: 2 });
});

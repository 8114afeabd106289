import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as targetNotices from "./targetNotices.js";
import * as targetSet from "./targetSet.js";
import * as types from "./Types.js";

const createSetup = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const set = targetSet.createTargetSet(scheduler);
    const reports: types.LeavingReport[] = [];
    let malformedPauses = 0;
    const notices = targetNotices.createTargetNotices({
        set,
        clock: scheduler,
        logger: silentLogger.createSilentLogger(),
        handleMalformedPause: () => malformedPauses++,
    });
    notices.onDidLeave(report => reports.push(report));
    const registration = fixture.createRegistration("t1");
    set.setTargets([registration]);
    return { scheduler, set, notices, reports, registration, countMalformedPauses: () => malformedPauses };
};

const leavingNotice: types.TargetNotice = { ...fixture.noNotice, isLeaving: true };

test("a target that says that it is leaving is reported once, and stays so when its row returns", async t => {
    const { scheduler, set, notices, reports, registration } = createSetup();
    notices.recordResponse(registration, leavingNotice);
    notices.recordResponse(registration, leavingNotice);
    notices.recordResponse(registration, fixture.noNotice);
    t.deepEqual(reports, [{ target: registration.id, startedAtMs: registration.startedAtMs }]);
    set.setTargets([]);
    t.is(notices.countLeaving(), 0);
    await scheduler.advance(5_000);
    set.setTargets([{ ...registration }]);
    t.is(notices.countLeaving(), 1);
});

test("another run of the target is not leaving", t => {
    const { set, notices, registration } = createSetup();
    notices.recordResponse(registration, leavingNotice);
    const next = { ...registration, startedAtMs: registration.startedAtMs + 1 };
    set.setTargets([next]);
    t.is(notices.countLeaving(), 0);
    notices.recordResponse(registration, leavingNotice);
    t.is(notices.countLeaving(), 0);
});

test("reports of peers are applied once, and passed on to peers that join", t => {
    const { notices, reports, registration } = createSetup();
    const report = { target: registration.id, startedAtMs: registration.startedAtMs };
    t.deepEqual(notices.applyLeaving([report, { ...report, startedAtMs: 0 }]), [report]);
    t.deepEqual(notices.applyLeaving([report]), []);
    t.deepEqual(notices.listLeaving(), [report]);
    t.deepEqual(reports, []);
});

test("a pause lasts as long as the latest one that was asked for", t => {
    const { scheduler, set, notices, registration } = createSetup();
    const recordPause = (pause: types.RequestedPause) =>
        notices.recordResponse(registration, { ...fixture.noNotice, pause });
    recordPause({ kind: "pause", forMs: 2_000 });
    recordPause({ kind: "pause", forMs: 500 });
    recordPause({ kind: "none" });
    t.is(set.find(registration.id)?.pausedUntilMs, scheduler.now() + 2_000);
});

test("a malformed pause is counted and ignored", t => {
    const { set, notices, registration, countMalformedPauses } = createSetup();
    notices.recordResponse(registration, { ...fixture.noNotice, pause: { kind: "malformed", text: "soon" } });
    t.is(set.find(registration.id)?.pausedUntilMs, 0);
    t.is(countMalformedPauses(), 1);
});

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
    const notices = targetNotices.createTargetNotices({
        set,
        logger: silentLogger.createSilentLogger(),
    });
    notices.onDidLeave(report => reports.push(report));
    const registration = fixture.createRegistration("t1");
    set.setTargets([registration]);
    return { scheduler, set, notices, reports, registration };
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

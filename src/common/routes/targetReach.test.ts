import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as random from "../random.js";
import * as targetReach from "./targetReach.js";

const createSetup = (targetCount: number) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const targets = Array.from({ length: targetCount }, (_, index) =>
        fixture.createRegistration(`t${index}`, { zone: index % 2 === 0 ? fixture.zone : fixture.otherZone }),
    );
    const unreachable = new Set<string>();
    let failure: targetReach.CheckResult = "unreachable";
    const changes: boolean[] = [];
    const checkedZones = new Set<string>();
    const newConnections: string[] = [];
    let isActive = false;
    let checks = 0;
    const reach = targetReach.createTargetReach({
        scheduler,
        random: random.createRandom(5),
        logger: silentLogger.createSilentLogger(),
        zone: fixture.zone,
        listTargets: () => targets,
        isActive: () => isActive,
        check: (target, onNewConnection) => {
            checks++;
            if (onNewConnection) {
                newConnections.push(target.id);
            }
            checkedZones.add(target.zone);
            return new Promise(resolve =>
                scheduler.schedule(10, () => resolve(unreachable.has(target.id) ? failure : "response")),
            );
        },
    });
    reach.onDidChange(isCutOff => changes.push(isCutOff));
    reach.start();
    const setFailure = (next: targetReach.CheckResult): void => void (failure = next);
    const cut = (count = targetCount): void => targets.slice(0, count).forEach(({ id }) => unreachable.add(id));
    return {
        scheduler,
        reach,
        changes,
        unreachable,
        cut,
        setFailure,
        checkedZones,
        newConnections,
        setActive: () => void (isActive = true),
        countChecks: () => checks,
    };
};

test("a VM that reaches no target notices it within its check interval", async t => {
    const { scheduler, reach, changes, cut } = createSetup(8);
    await scheduler.advance(3_000);
    t.false(reach.isCutOff());
    cut();
    await scheduler.advance(1_100);
    t.true(reach.isCutOff());
    t.deepEqual(changes, [true]);
});

// Guards against VMs that start during a partition, and are used until they notice that they reach no target.
test("a VM that starts is used only once it has reached a target, which it finds out at once", async t => {
    const { scheduler, reach, unreachable, cut } = createSetup(8);
    cut();
    t.false(reach.isConfirmed());
    await scheduler.advance(200);
    t.true(reach.isCutOff());
    unreachable.clear();
    await scheduler.advance(1_100);
    t.true(reach.isConfirmed());
    const other = createSetup(8);
    await other.scheduler.advance(200);
    t.true(other.reach.isConfirmed());
});

test("a VM that reaches some targets is not cut off", async t => {
    const { scheduler, reach, cut } = createSetup(8);
    cut(5);
    await scheduler.advance(30_000);
    t.false(reach.isCutOff());
});

test("two targets that fail together do not show that the VM is cut off", async t => {
    const { scheduler, reach, cut } = createSetup(2);
    cut();
    await scheduler.advance(5_000);
    t.false(reach.isCutOff());
});

test("a VM returns after two checks in which it reached most targets", async t => {
    const { scheduler, reach, changes, unreachable, cut } = createSetup(6);
    cut();
    await scheduler.advance(1_100);
    unreachable.delete("t0");
    await scheduler.advance(3_000);
    t.true(reach.isCutOff());
    unreachable.clear();
    await scheduler.advance(400);
    t.true(reach.isCutOff());
    await scheduler.advance(700);
    t.deepEqual(changes, [true, false]);
});

test("a failure concerns its target if another one responds soon after, and is not checked then", async t => {
    const { scheduler, reach, countChecks } = createSetup(8);
    const before = countChecks();
    const confirmation = reach.confirm();
    await scheduler.advance(50);
    reach.recordResponse();
    await scheduler.advance(50);
    t.true(await confirmation);
    t.true(countChecks() - before <= 1);
});

test("failures without any response are checked at once, and together", async t => {
    const { scheduler, reach, cut, countChecks } = createSetup(8);
    cut();
    const before = countChecks();
    const confirmations = [reach.confirm(), reach.confirm()];
    await scheduler.advance(200);
    t.true(reach.isCutOff());
    t.true(countChecks() - before <= 7);
    await scheduler.advance(800);
    t.deepEqual(await Promise.all(confirmations), [false, false]);
});

test("at intervals, one target of the VM's zone is checked", async t => {
    const { scheduler, checkedZones, countChecks } = createSetup(8);
    await scheduler.advance(10_000);
    t.deepEqual([...checkedZones], [fixture.zone]);
    t.true(countChecks() >= 9 && countChecks() <= 11);
});

// Guards against VMs that leave the lookups because all targets are overloaded.
test("a VM whose targets respond to requests, but too late to checks, is not cut off", async t => {
    const { scheduler, reach, cut, setFailure } = createSetup(8);
    cut();
    setFailure("silent");
    for (let count = 0; count < 300; count++) {
        reach.recordResponse();
        await scheduler.advance(5);
    }
    t.false(reach.isCutOff());
    await scheduler.advance(2_500);
    t.true(reach.isCutOff());
});

test("a VM that can open no connection is cut off, although open ones live on", async t => {
    const { scheduler, reach, cut } = createSetup(8);
    cut();
    for (let count = 0; count < 300; count++) {
        reach.recordResponse();
        await scheduler.advance(5);
    }
    t.true(reach.isCutOff());
});

// Guards against a new connection to a target for each check of each VM, which costs targets more than the check.
test("a VM on standby keeps a connection for most of its checks, and a VM that clients use does not", async t => {
    const { scheduler, newConnections, countChecks, setActive } = createSetup(8);
    await scheduler.advance(20_500);
    t.true(countChecks() >= 20);
    t.true(newConnections.length <= 3, String(newConnections.length));
    const before = newConnections.length;
    setActive();
    await scheduler.advance(10_000);
    t.true(newConnections.length - before >= 9);
});

test("a VM that becomes active notices within its check interval that it can open no connection", async t => {
    const { scheduler, reach, cut, setActive } = createSetup(8);
    await scheduler.advance(2_000);
    cut();
    setActive();
    await scheduler.advance(1_100);
    t.true(reach.isCutOff());
});

// Guards against crashes that are not counted while new connections fail and open ones live on.
test("a failure concerns one target if others respond later, although the VM counts as cut off", async t => {
    const { scheduler, reach, cut } = createSetup(8);
    cut();
    await scheduler.advance(1_100);
    t.true(reach.isCutOff());
    const confirmation = reach.confirm();
    await scheduler.advance(500);
    reach.recordResponse();
    await scheduler.advance(500);
    t.true(await confirmation);
    const unconfirmed = reach.confirm();
    await scheduler.advance(1_000);
    t.false(await unconfirmed);
});

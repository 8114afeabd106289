import test from "ava";
import * as ids from "../ids.js";
import * as random from "../random.js";
import * as requestCrashes from "./requestCrashes.js";
import * as types from "./Types.js";

const retentionMs = 60_000;

const createSetup = (maxEntries = 100) => {
    const time = { nowMs: 0 };
    const crashes = requestCrashes.createRequestCrashes({
        clock: { now: () => time.nowMs },
        limit: 3,
        maxEntries,
        retentionMs,
    });
    return { time, ...crashes };
};

const service = ids.toServiceName("bookings");
const otherService = ids.toServiceName("profiles");
const services = [service, otherService];
const toRun = (name: string, startedAtMs = 1, ofService = service) => ({
    id: ids.toTargetId(name),
    service: ofService,
    startedAtMs,
});

test("a request is refused after three targets have ended under it, each counted once", t => {
    const setup = createSetup();
    t.is(setup.recordCrash("f", toRun("a")), 1);
    t.is(setup.recordCrash("f", toRun("a")), 1, "an equal request in flight at the same target");
    t.is(setup.recordCrash("f", toRun("a", 2)), 2, "the target had started again");
    t.false(setup.isBlocked("f"));
    t.is(setup.recordCrash("f", toRun("b")), 3);
    t.true(setup.isBlocked("f"));
    t.is(setup.countBlocked(), 1);
});

// Guards against harmless requests that are refused, as targets were killed while they ran equal ones.
test("a success clears crashes, on all VMs, also of a request that is refused", t => {
    const setup = createSetup();
    const peer = createSetup();
    ["a", "b", "c"].forEach(name => setup.recordCrash("f", toRun(name)));
    const late = setup.listReports();
    peer.applyReports(late);
    t.true(peer.isBlocked("f"));
    setup.recordSuccess("f", service);
    t.false(setup.isBlocked("f"));
    t.is(peer.applyReports(setup.listReports()).length, 1);
    t.false(peer.isBlocked("f"));
    t.is(peer.applyReports(late).length, 0, "a report from before the response");
    t.false(peer.isBlocked("f"));
});

// Guards against a request that crashes the targets of one part of a split route, and is served by those of another.
test("a success in one service clears no crashes in another, and crashes in all of them count together", t => {
    const setup = createSetup();
    const peer = createSetup();
    setup.recordCrash("f", toRun("a"));
    setup.recordCrash("f", toRun("b"));
    setup.recordSuccess("f", otherService);
    t.is(setup.recordCrash("f", toRun("c", 1, otherService)), 3);
    setup.recordSuccess("f", otherService);
    t.false(setup.isBlocked("f"));
    t.is(setup.recordCrash("f", toRun("d")), 3);
    peer.applyReports(setup.listReports());
    t.true(peer.isBlocked("f"));
});

test("entries expire although peers repeat them", t => {
    const setup = createSetup();
    const peer = createSetup();
    ["a", "b", "c"].forEach(name => setup.recordCrash("f", toRun(name)));
    setup.time.nowMs = retentionMs - 1_000;
    peer.applyReports(setup.listReports());
    t.true(peer.isBlocked("f"));
    peer.time.nowMs = 1_000;
    t.false(peer.isBlocked("f"));
    t.is(setup.applyReports(peer.listReports()).length, 0);
});

// Guards against a refused request that passes again, as many others have crashed a target since.
test("requests that are refused are kept when the registry is full", t => {
    const setup = createSetup(3);
    ["a", "b", "c"].forEach(name => setup.recordCrash("refused", toRun(name)));
    Array.from({ length: 10 }, (_, index) => setup.recordCrash(`other-${index}`, toRun("d")));
    t.true(setup.isBlocked("refused"));
    t.is(setup.listReports().length, 3);
});

test("VMs agree whatever the order in which reports arrive, and however often", t => {
    for (let seed = 1; seed <= 200; seed++) {
        const source = random.createRandom(seed);
        const vms = [createSetup(), createSetup(), createSetup()];
        const sent: types.CrashReport[] = [];
        vms.forEach(vm => vm.onDidChange(report => sent.push(report)));
        for (let step = 0; step < 30; step++) {
            const vm = vms[source.nextInt(vms.length)];
            switch (source.nextInt(4)) {
                case 0:
                    vm?.recordSuccess("f", services[source.nextInt(2)] ?? service);
                    break;
                case 1: {
                    const target = source.nextInt(6);
                    vm?.recordCrash("f", toRun("abcdef"[target] ?? "", 1, services[target % 2]));
                    break;
                }
                default:
                    vm?.applyReports(sent.filter(() => source.nextInt(3) === 0));
            }
        }
        vms.forEach(vm => vm.applyReports(random.shuffle(sent, source)));
        const states = vms.map(vm =>
            vm
                .listReports()
                .map(report => `${report.service} ${report.responses} ${[...report.targetRuns].sort().join()}`)
                .sort(),
        );
        t.deepEqual(states[1], states[0], `seed ${seed}`);
        t.deepEqual(states[2], states[0], `seed ${seed}`);
    }
});

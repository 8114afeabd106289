import * as net from "node:net";
import * as timers from "node:timers/promises";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as membershipFixture from "../../testing/routes/membershipFixture.js";

const { acquirePorts, createStore, scheduler, startVm, startVms, waitUntil } = membershipFixture;

test("one VM follows the store, and the others receive its changes", async t => {
    const { store, vms } = await startVms(4);
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 4 && vm.getVersion() === 1)));
    await new Promise(resolve => setTimeout(resolve, 2_500));
    const before = new Map(store.calls);
    await new Promise(resolve => setTimeout(resolve, 2_500));
    const callers = vms.filter(vm => (store.calls.get(vm.vm) ?? 0) > (before.get(vm.vm) ?? 0));
    t.is(callers.length, 1);
    store.setConfiguration(2);
    t.true(await waitUntil(() => vms.every(vm => vm.getVersion() === 2)));
    vms.forEach(vm => vm.member.dispose());
});

test("a VM with more cores that only knows a follower becomes the hub of all", async t => {
    const store = createStore();
    const [first = 0, second = 0, third = 0] = await acquirePorts(3);
    const hub = await startVm("hub", { store, port: first, seeds: [] });
    await new Promise(resolve => setTimeout(resolve, 2));
    const member = await startVm("member", { store, port: second, seeds: [first] });
    t.true(await waitUntil(() => member.member.listPeers().length === 2));
    const strong = await startVm("strong", { store, port: third, seeds: [second], cores: 2 });
    const all = [hub, member, strong];
    t.true(await waitUntil(() => all.every(vm => vm.member.listPeers().length === 3)));
    all.forEach(vm => vm.member.dispose());
});

test("when the hub stops, another VM becomes the hub", async t => {
    const { store, vms } = await startVms(3);
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 3)));
    vms[0]?.member.dispose();
    store.setConfiguration(2);
    const remaining = vms.slice(1);
    t.true(await waitUntil(() => remaining.every(vm => vm.getVersion() === 2 && vm.member.listPeers().length === 2)));
    remaining.forEach(vm => vm.member.dispose());
});

// Guards against VMs that direct clients only to themselves, although they reach no target, until they know the next hub.
test("while VMs that reach no target look for the next hub, they know the VMs that reach targets", async t => {
    const store = createStore();
    const [first = 0, second = 0, third = 0, fourth = 0] = await acquirePorts(4);
    const seeds = [first, second, third];
    const hub = await startVm("hub", { store, port: first, seeds });
    const next = await startVm("next", { store, port: second, seeds, isCutOff: true });
    const cutOff = await startVm("cut-off", { store, port: third, seeds, isCutOff: true });
    const serving = await startVm("serving", { store, port: fourth, seeds });
    const all = [hub, next, cutOff, serving];
    t.true(await waitUntil(() => all.every(vm => vm.member.listPeers().length === 4)));
    hub.member.dispose();
    const knowsServing = (vm: typeof hub): boolean => vm.member.listPeers().some(peer => peer.vm === serving.vm);
    // Here the next hub is found within milliseconds.
    for (const untilMs = Date.now() + 1_000; Date.now() < untilMs;) {
        await timers.setImmediate();
        if (!knowsServing(next) || !knowsServing(cutOff)) {
            t.fail("the VM that reaches targets is not known");
            break;
        }
    }
    const remaining = all.slice(1);
    t.true(await waitUntil(() => remaining.every(vm => vm.member.listPeers().length === 3)));
    remaining.forEach(vm => vm.member.dispose());
});

test("when only the hub cannot reach the store, the other VMs still receive changes", async t => {
    const { store, vms } = await startVms(3);
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 3 && vm.getVersion() === 1)));
    const [hub, ...others] = vms;
    store.unreachable.add(hub?.vm ?? ids.toVmId("none"));
    store.setConfiguration(2);
    t.true(await waitUntil(() => others.every(vm => vm.getVersion() === 2)));
    vms.forEach(vm => vm.member.dispose());
});

test("while the store is unavailable to all VMs, they still know their peers", async t => {
    const { store, vms } = await startVms(3);
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 3)));
    vms.forEach(vm => store.unreachable.add(vm.vm));
    await new Promise(resolve => setTimeout(resolve, 4_000));
    t.true(vms.every(vm => vm.member.listPeers().length === 3));
    store.unreachable.clear();
    store.setConfiguration(2);
    t.true(await waitUntil(() => vms.every(vm => vm.getVersion() === 2)));
    vms.forEach(vm => vm.member.dispose());
});

// Guards against VMs that refuse keys for good which were added while they could not know.
test("VMs are in touch while they or their hub know the store's newest state", async t => {
    const { store, vms } = await startVms(3);
    const areInTouch = (): boolean => vms.every(vm => vm.member.isInTouch());
    t.true(await waitUntil(areInTouch));
    const [hub, ...others] = vms;
    store.unreachable.add(hub?.vm ?? ids.toVmId("none"));
    t.true(await waitUntil(() => hub?.member.isInTouch() === false), "it follows no other VM, as it is the first one");
    t.true(await waitUntil(() => others.every(vm => vm.member.isInTouch())), "another VM has become their hub");
    vms.forEach(vm => store.unreachable.add(vm.vm));
    t.true(await waitUntil(() => vms.every(vm => !vm.member.isInTouch())));
    store.unreachable.clear();
    t.true(await waitUntil(areInTouch));
    vms.forEach(vm => vm.member.dispose());
});

test("a VM whose seeds are unreachable finds the hub through the store", async t => {
    const { store, vms } = await startVms(2);
    const hub = vms[0];
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 2)));
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const [port, unused] = await acquirePorts(2);
    const late = await startVm("late", { store, port: port ?? 0, seeds: [unused ?? 0] });
    t.true(await waitUntil(() => late.member.listPeers().length === 3 && hub?.member.listPeers().length === 3));
    [...vms, late].forEach(vm => vm.member.dispose());
});

test("a seed that starts listening late is followed within two seconds", async t => {
    const store = createStore();
    const [first = 0, second = 0] = await acquirePorts(2);
    const late = await startVm("late", { store, port: first, seeds: [first], isStarted: false });
    const early = await startVm("early", { store, port: second, seeds: [first] });
    await new Promise(resolve => setTimeout(resolve, 300));
    await late.member.start();
    t.true(await waitUntil(() => early.member.listPeers().length === 2, 2_000));
    [late, early].forEach(vm => vm.member.dispose());
});

// Guards against a start that takes up to 300 ms for each seed of a zone that is lost: seeds are tried one by one.
test("a VM without a configuration reads the store once a seed is silent, before it has tried all of them", async t => {
    const store = createStore();
    const [own = 0, ...seeds] = await acquirePorts(4);
    let givenUpSeeds = 0;
    const servers = seeds.map(port =>
        net
            .createServer(socket =>
                socket
                    .resume()
                    .on("error", () => undefined)
                    .once("close", () => givenUpSeeds++),
            )
            .listen(port),
    );
    const vm = await startVm("vm", { store, port: own, seeds });
    let givenUpBefore = Infinity;
    vm.state.onDidChangeConfiguration(() => (givenUpBefore = givenUpSeeds));
    t.true(await waitUntil(() => vm.getVersion() === 1));
    t.true(givenUpBefore < 2);
    vm.member.dispose();
    servers.forEach(server => server.close());
});

test("a hub that cannot reach the store at first is followed soon after it can", async t => {
    const store = createStore();
    const [first = 0, second = 0, third = 0] = await acquirePorts(3);
    store.unreachable.add(ids.toVmId("slow"));
    const slow = await startVm("slow", { store, port: first, seeds: [first] });
    const quick = await startVm("quick", { store, port: second, seeds: [first, second] });
    const other = await startVm("other", { store, port: third, seeds: [first, second] });
    t.true(await waitUntil(() => quick.getVersion() === 1 && quick.member.listPeers().length === 2));
    await new Promise(resolve => setTimeout(resolve, 500));
    store.unreachable.clear();
    const all = [slow, quick, other];
    t.true(await waitUntil(() => all.every(vm => vm.member.listPeers().length === 3), 3_000));
    all.forEach(vm => vm.member.dispose());
});

test("when a hub joins another hub, its followers do so too", async t => {
    const store = createStore();
    const [first = 0, second = 0, third = 0] = await acquirePorts(3);
    const hub = await startVm("hub", { store, port: first, seeds: [first] });
    const member = await startVm("member", { store, port: second, seeds: [first] });
    t.true(await waitUntil(() => member.member.listPeers().length === 2));
    const strong = await startVm("strong", { store, port: third, seeds: [first, third], cores: 2 });
    const all = [hub, member, strong];
    t.true(await waitUntil(() => all.every(vm => vm.member.listPeers().length === 3), 2_000));
    await new Promise(resolve => setTimeout(resolve, 500));
    t.true(all.every(vm => vm.member.listPeers().length === 3));
    all.forEach(vm => vm.member.dispose());
});

// Guards against VMs that learn of a target's limit only from their own requests, or never learn of its end.
test("a limit that one VM receives holds on all VMs, on one that joins later, and under a new hub; so does its end", async t => {
    const { store, vms } = await startVms(3);
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 3)));
    const target = fixture.createRegistration("t1");
    const [hub, first, second] = vms;
    first?.limits.recordResponse(target, { kind: "limited", perSecond: 2 }, scheduler.now());
    t.true(await waitUntil(() => vms.every(vm => vm.limits.count() === 1), 1_000));
    const [port = 0] = await acquirePorts(1);
    const seeds = vms.map(vm => vm.port);
    const joined = await startVm("vm-9", { store, port, seeds });
    t.true(await waitUntil(() => joined.limits.count() === 1));
    hub?.member.dispose();
    const remaining = [first, second, joined].filter(vm => vm !== undefined);
    t.true(await waitUntil(() => remaining.every(vm => vm.member.listPeers().length === 3)));
    second?.limits.recordResponse(target, { kind: "none" }, scheduler.now());
    t.true(await waitUntil(() => remaining.every(vm => vm.limits.count() === 0), 1_000));
    remaining.forEach(vm => vm.member.dispose());
});

// Guards against requests that crash further targets at VMs that have joined, restarted or found a new hub since.
test("crashes that VMs have seen count on all VMs, on one that joins later, and under a new hub", async t => {
    const { store, vms } = await startVms(3);
    t.true(await waitUntil(() => vms.every(vm => vm.member.listPeers().length === 3)));
    const [hub, first, second] = vms;
    first?.crashes.recordCrash("f", fixture.createRegistration("t1"));
    second?.crashes.recordCrash("f", fixture.createRegistration("t2"));
    t.true(await waitUntil(() => vms.every(vm => vm.crashes.listReports()[0]?.targetRuns.length === 2), 1_000));
    const [port = 0] = await acquirePorts(1);
    const joined = await startVm("vm-9", { store, port, seeds: vms.map(vm => vm.port) });
    t.true(await waitUntil(() => joined.crashes.listReports()[0]?.targetRuns.length === 2));
    hub?.member.dispose();
    // At this moment, no VM has a hub yet.
    joined.crashes.recordCrash("f", fixture.createRegistration("t3"));
    const remaining = [first, second, joined].filter(vm => vm !== undefined);
    t.true(await waitUntil(() => remaining.every(vm => vm.crashes.isBlocked("f"))));
    remaining.forEach(vm => vm.member.dispose());
});

// Guards against VMs that new ones cannot find, as the copy that the store has returned from lacks their rows.
test("a hub registers again after the store has returned from a copy", async t => {
    const { store, vms } = await startVms(1);
    const [hub] = vms;
    t.true(await waitUntil(() => store.registered.length === 1));
    store.restore();
    store.restore();
    t.true(await waitUntil(() => store.registered.length === 1, 3_000));
    await new Promise(resolve => setTimeout(resolve, 2_000));
    t.is(store.registered.length, 1);
    hub?.member.dispose();
});

// Guards against calls to the store that double with each restore.
test("a registration that shows that the store has returned from a copy starts no second series of lookups", async t => {
    const { store, vms } = await startVms(1);
    const [hub] = vms;
    store.restoreAtNextRegistration();
    t.true(await waitUntil(() => store.countLookups() === 1));
    await new Promise(resolve => setTimeout(resolve, 4_000));
    t.is(store.countLookups(), 1);
    hub?.member.dispose();
});

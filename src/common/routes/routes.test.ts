import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as ids from "../ids.js";
import * as activeVmSelection from "./activeVmSelection.js";
import * as rate from "./rate.js";
import * as routeTable from "./routeTable.js";
import * as types from "./Types.js";
import * as admissionQueue from "./admissionQueue.js";

test("finds the route of the host with the longest matching prefix", t => {
    const table = routeTable.createRouteTable({
        version: 1,
        routes: [
            fixture.createRoute({ name: "short", prefix: "/a/" }),
            fixture.createRoute({ name: "long", prefix: "/a/b/" }),
            fixture.createRoute({ name: "other", host: "other.org", prefix: "/a/b/c/" }),
        ],
    });
    t.is(table.find("example.org", "/a/b/c/d")?.name, "long");
    t.is(table.find("example.org", "/a/x")?.name, "short");
    t.is(table.find("example.org", "/ab"), undefined);
});

test("requests are split between services by weight", t => {
    const other = ids.toServiceName("other");
    const services = [
        { service: fixture.service, weight: 90 },
        { service: other, weight: 10 },
    ];
    const route = fixture.createRoute({ services });
    const table = routeTable.createRouteTable({ version: 1, routes: [route] });
    const picks = Array.from({ length: 200 }, () => table.pickService(route));
    t.is(picks.filter(service => service === other).length, 20);
});

const listActiveVmNames = (
    peers: readonly types.Peer[],
    demand: number,
    slots: activeVmSelection.SlotsByZone = new Map(),
): string[] =>
    activeVmSelection
        .selectActiveVms(
            peers.map(peer => ({ ...peer, requestsPerSecond: demand / peers.length })),
            slots,
        )
        .map(peer => peer.vm);

test("as few VMs as can handle the requests are active, those with the most cores first and the hub last", t => {
    const peers = [
        fixture.createPeer("weak", { cores: 0.25, startedAtMs: 1 }),
        fixture.createPeer("young", { startedAtMs: 3 }),
        fixture.createPeer("hub", { startedAtMs: 1 }),
        fixture.createPeer("old", { startedAtMs: 2 }),
        fixture.createPeer("leaving", { startedAtMs: 2, isReady: false }),
    ];
    t.deepEqual(listActiveVmNames(peers, 10), ["old"]);
    t.deepEqual(listActiveVmNames(peers, 200), ["old", "young"]);
    t.deepEqual(listActiveVmNames(peers, 10_000), ["old", "young", "weak", "hub"]);
});

test("active VMs are in the zones with the most slots", t => {
    const peers = [
        fixture.createPeer("hub"),
        fixture.createPeer("a", { startedAtMs: 2 }),
        fixture.createPeer("b1", { startedAtMs: 3, zone: fixture.otherZone }),
        fixture.createPeer("b2", { startedAtMs: 4, zone: fixture.otherZone }),
    ];
    const slots = new Map([
        [fixture.zone, 10],
        [fixture.otherZone, 15],
    ]);
    t.deepEqual(listActiveVmNames(peers, 10, slots), ["b1"]);
    t.deepEqual(listActiveVmNames(peers, 200, slots), ["b1", "a"]);
});

test("the hub is active if no other VM is ready", t => {
    t.deepEqual(listActiveVmNames([fixture.createPeer("hub")], 10), ["hub"]);
    t.deepEqual(listActiveVmNames([], 10), []);
});

test("a VM that reaches no target is active only if no VM reaches one", t => {
    const cutOff = fixture.createPeer("cut-off", { startedAtMs: 2, isCutOff: true });
    const other = fixture.createPeer("other", { startedAtMs: 3 });
    const hub = fixture.createPeer("hub");
    const select = (...peers: readonly types.Peer[]) =>
        activeVmSelection.selectActiveVms(peers, new Map()).map(peer => peer.vm as string);
    t.deepEqual(select(hub, cutOff, other), ["other"]);
    t.deepEqual(select(hub, cutOff), ["hub"]);
    t.deepEqual(select({ ...hub, isCutOff: true }, cutOff), ["cut-off"]);
    t.deepEqual(select(hub, cutOff, { ...other, isReady: false }), ["hub"]);
});

test("clients get the active VMs of their zone, or all if it has none", t => {
    const activeVms = [fixture.createPeer("a"), fixture.createPeer("b", { zone: fixture.otherZone })];
    t.deepEqual(
        activeVmSelection.pickActiveVms(activeVms, fixture.otherZone).map(peer => peer.vm),
        [ids.toVmId("b")],
    );
    t.is(activeVmSelection.pickActiveVms(activeVms, undefined).length, 2);
});

test("a VM with few requests always publishes the same rate", t => {
    const published = [0, 0.4, 1, 1.6, 2.5, 4.9].map(rate.roundRate);
    t.deepEqual([...new Set(published)], [0]);
    t.true(rate.roundRate(100) > 80 && rate.roundRate(100) < 125);
});

// Guards against a rate between two steps that is sent to all VMs several times a second.
test("a rate that varies by a twentieth is published once, and one that grows is published", t => {
    const publish = rate.createSteadyRounding();
    const published = Array.from({ length: 100 }, (_value, index) => publish(100 * (1 + 0.05 * Math.sin(index))));
    t.is(new Set(published).size, 1);
    t.true(publish(150) > 130 && publish(0) === 0);
    t.true(String(publish(77)).length <= 4);
});

test("a rate meter converges to the number of events per second", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const events = rate.createRateMeter(scheduler);
    for (let count = 0; count < 300; count++) {
        await scheduler.advance(50);
        events.record();
    }
    t.is(Math.round(events.compute()), 20);
});

test("waiting requests get free slots by priority, then in order of arrival", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const queue = admissionQueue.createAdmissionQueue<string>(scheduler);
    const { signal } = new AbortController();
    let free = 0;
    const order: string[] = [];
    const wait = (name: string, priority: number): void => {
        const take = (): string | undefined => (free-- > 0 ? name : undefined);
        const entry = { service: fixture.service, priority, maxWaitMs: 1_000, signal, take };
        void queue.wait(entry).then(value => order.push(value ?? `${name} expired`));
    };
    wait("second", 2);
    wait("third", 2);
    wait("first", 1);
    for (let count = 0; count < 2; count++) {
        free = 1;
        queue.dispatch(fixture.service);
        await scheduler.advance(1);
    }
    await scheduler.advance(2_000);
    t.deepEqual(order, ["first", "second", "third expired"]);
});

test("the last offer is made when the wait times out", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const queue = admissionQueue.createAdmissionQueue<string>(scheduler);
    const { signal } = new AbortController();
    const offers: boolean[] = [];
    const take = (isLast: boolean): string | undefined => {
        offers.push(isLast);
        return isLast ? "slow target" : undefined;
    };
    const waiting = queue.wait({ service: fixture.service, priority: 0, maxWaitMs: 100, signal, take });
    queue.dispatch(fixture.service);
    await scheduler.advance(100);
    t.is(await waiting, "slow target");
    t.deepEqual(offers, [false, false, true]);
    t.is(queue.count(fixture.service), 0);
});

test("the cost of a dispatch does not depend on the queue length", t => {
    const queue = admissionQueue.createAdmissionQueue<string>(virtualScheduler.createVirtualScheduler());
    let offers = 0;
    const take = (): undefined => void offers++;
    for (let count = 0; count < 500; count++) {
        const { signal } = new AbortController();
        void queue.wait({ service: fixture.service, priority: 1, maxWaitMs: 1_000, signal, take });
    }
    offers = 0;
    queue.dispatch(fixture.service);
    t.true(offers < 10);
});

test("an aborted wait takes no slot", async t => {
    const queue = admissionQueue.createAdmissionQueue<string>(virtualScheduler.createVirtualScheduler());
    const client = new AbortController();
    let isFree = false;
    const waiting = queue.wait({
        service: fixture.service,
        priority: 0,
        maxWaitMs: 1_000,
        signal: client.signal,
        take: () => (isFree ? "slot" : undefined),
    });
    client.abort();
    isFree = true;
    queue.dispatch(fixture.service);
    t.is(await waiting, undefined);
    t.is(queue.count(fixture.service), 0);
});

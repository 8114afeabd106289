import test from "ava";
import * as clusters from "../../bench/control/virtualCluster.js";
import * as ids from "../../common/ids.js";

const openCluster = (t: { teardown(action: () => void): void }, size: number, seed: number) => {
    const cluster = clusters.createVirtualCluster({ size, seed });
    t.teardown(() => cluster.dispose());
    const indexes = Array.from({ length: size }, (_, index) => index);
    const listRevisions = () => indexes.map(index => cluster.nodes.get(index)?.blackboard.freshness.get().revision);
    const listFresh = () => indexes.filter(index => cluster.isFresh(index));
    return { cluster, indexes, listRevisions, listFresh };
};

test("a change reaches all VMs within seconds, even if only one is told and the object store is down", async t => {
    const { cluster, indexes, listRevisions, listFresh } = openCluster(t, 15, 1);
    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(3000);
    t.deepEqual(new Set(listRevisions()), new Set([1]));
    t.deepEqual(listFresh(), indexes);
    const head = await cluster.commit({ "service/s": "two" });
    cluster.platform.setObjectsDown(true);
    await cluster.nodes.get(0)?.server.receive(
        JSON.stringify({
            jsonrpc: "2.0",
            id: 1,
            method: "config.announce",
            params: { head, sections: { [head.sections["service/s"] as string]: "two" } },
        }),
    );
    await cluster.scheduler.advance(4000);
    t.deepEqual(new Set(listRevisions()), new Set([2]));
});

test("all VMs stay fresh during a table outage, and a restarted VM gets the configuration from its peers", async t => {
    const { cluster, indexes, listRevisions, listFresh } = openCluster(t, 15, 2);
    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(3000);
    cluster.platform.setTableDown(true);
    cluster.platform.setObjectsDown(true);
    for (let second = 0; second < 60; second++) {
        await cluster.scheduler.advance(1000);
        t.deepEqual(listFresh(), indexes, `second ${second}`);
    }
    cluster.stop(4);
    await cluster.scheduler.advance(7000);
    t.false(cluster.nodes.get(0)?.blackboard.members.get().has(ids.toVmId("entry-4")));
    cluster.start(4);
    t.false(cluster.isFresh(4));
    await cluster.scheduler.advance(6000);
    t.deepEqual(listFresh(), indexes);
    t.deepEqual(new Set(listRevisions()), new Set([1]));
    t.is(cluster.nodes.get(0)?.blackboard.members.get().size, 15);
});

test("a partitioned VM is stale at the freshness deadline, and fresh on the new revision after it reconnects", async t => {
    const { cluster, listFresh } = openCluster(t, 5, 3);
    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(3000);
    cluster.setIsolated(2, true);
    await cluster.scheduler.advance(clusters.clusterSettings.freshnessMs);
    t.deepEqual(listFresh(), [0, 1, 3, 4]);
    await cluster.commit({ topology: "two" });
    await cluster.scheduler.advance(4000);
    t.is(cluster.nodes.get(2)?.blackboard.members.get().size, 1);
    cluster.setIsolated(2, false);
    await cluster.scheduler.advance(4000);
    t.deepEqual(listFresh(), [0, 1, 2, 3, 4]);
    t.is(cluster.nodes.get(2)?.blackboard.freshness.get().revision, ids.toRevision(2));
    t.is(cluster.nodes.get(2)?.blackboard.members.get().size, 5);
});

test("a paused VM is stale when it resumes and keeps its members until they can respond", async t => {
    const { cluster, listFresh } = openCluster(t, 5, 4);
    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(3000);
    cluster.setPaused(1, true);
    await cluster.scheduler.advance(20_000);
    t.deepEqual(listFresh(), [0, 2, 3, 4]);
    t.is(cluster.nodes.get(0)?.blackboard.members.get().size, 4);
    const sizes = new Set<number>();
    cluster.nodes.get(1)?.blackboard.members.onDidChange(members => sizes.add(members.size));
    cluster.setPaused(1, false);
    t.false(cluster.isFresh(1));
    await cluster.scheduler.advance(5000);
    t.deepEqual([...sizes], [5]);
    t.deepEqual(listFresh(), [0, 1, 2, 3, 4]);
});

test("without the table, half of the VMs cannot confirm a revision among themselves", async t => {
    const { cluster, listFresh } = openCluster(t, 4, 5);
    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(3000);
    cluster.platform.setTableDown(true);
    cluster.stop(2);
    cluster.stop(3);
    await cluster.scheduler.advance(6000);
    t.deepEqual(listFresh(), []);
    cluster.platform.setTableDown(false);
    await cluster.scheduler.advance(2000);
    t.deepEqual(listFresh(), [0, 1]);
});

test("an invalid committed revision is not adopted, and the majority stays fresh on the previous one", async t => {
    const { cluster, listRevisions, listFresh } = openCluster(t, 3, 6);
    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(3000);
    await cluster.commit({ topology: "invalid" });
    await cluster.scheduler.advance(5000);
    t.deepEqual(listRevisions(), [1, 1, 1].map(ids.toRevision));
    t.deepEqual(listFresh(), [0, 1, 2]);
    cluster.setIsolated(0, true);
    cluster.setIsolated(1, true);
    await cluster.scheduler.advance(5000);
    // Without a majority only the table can confirm a revision, and it would confirm only the invalid one.
    t.deepEqual(listFresh(), []);
    cluster.setIsolated(0, false);
    cluster.setIsolated(1, false);
    await cluster.commit({ topology: "three" });
    await cluster.scheduler.advance(3000);
    t.deepEqual(listRevisions(), [3, 3, 3].map(ids.toRevision));
    t.deepEqual(listFresh(), [0, 1, 2]);
});

test("a section whose text does not match its digest is discarded", async t => {
    const { cluster, listRevisions } = openCluster(t, 3, 7);
    const head = await cluster.commit({ topology: "one" });
    await cluster.platform.objects.put(head.sections["topology"] as string, "forged");
    await cluster.scheduler.advance(4000);
    t.deepEqual(listRevisions(), [0, 0, 0].map(ids.toRevision));
});

test("the leaving state, a new incarnation, loads and crash counts reach all members", async t => {
    const { cluster, indexes } = openCluster(t, 15, 8);
    await cluster.commit({ "service/s": "one" });
    await cluster.scheduler.advance(5000);
    const first = cluster.nodes.get(3);
    first?.writeLifecycle("leaving");
    t.is(first?.blackboard.members.get().get(ids.toVmId("entry-3"))?.info.state, "leaving");
    const cell = ids.toCellId(ids.toServiceName("s"), ids.toZoneName("a"));
    const owner = ids.toVmId("entry-5");
    const load = { cell, owner, freeSlots: 2, queued: 7, expectedWaitMs: 30, measuredAtMs: 0 };
    const fifth = cluster.nodes.get(5);
    if (fifth !== undefined) {
        fifth.loads = [load];
        fifth.crashes.set("f".repeat(64), 2);
    }
    await cluster.scheduler.advance(5000);
    for (const index of indexes.filter(other => other !== 5)) {
        const node = cluster.nodes.get(index);
        t.is(node?.blackboard.members.get().get(ids.toVmId("entry-3"))?.info.state, "leaving");
        t.like(node?.blackboard.cellLoads.get().get(cell), { 0: { owner, queued: 7 }, length: 1 });
        t.is(node?.crashes.get("f".repeat(64)), 2);
    }
    cluster.stop(3);
    const second = cluster.start(3);
    await cluster.scheduler.advance(5000);
    for (const index of indexes) {
        const info = cluster.nodes.get(index)?.blackboard.members.get().get(ids.toVmId("entry-3"))?.info;
        t.is(info?.incarnation, second.blackboard.self.incarnation);
        t.is(info?.state, "serving");
    }
});

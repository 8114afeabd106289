import test from "ava";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as coldLeases from "./coldLeases.js";

const target = ids.toTargetId("t1");

const createFixture = () => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const platform = memoryPlatform.createMemoryPlatform();
    let tokens = 0;
    const createLeases = (name: string) =>
        coldLeases.createColdLeases({
            incarnation: ids.toIncarnationId(name),
            table: platform.table,
            scheduler,
            createToken: () => `${name}${String(tokens++)}`,
            leaseMs: 10_000,
            logger: silentLogger.createSilentLogger(),
        });
    /** Requests the leases every second, as the dispatcher does while it needs them. */
    const advance = async (
        seconds: number,
        requesters: readonly ReturnType<typeof createLeases>[],
        targets = [target],
    ) => {
        for (let second = 0; second < seconds; second++) {
            requesters.forEach(leases => targets.forEach(id => leases.request(id)));
            await scheduler.advance(1_000);
        }
    };
    return { scheduler, platform, createLeases, advance };
};

test("only one incarnation holds the lease; a contender gets it after the lease duration and the margin", async t => {
    const { createLeases, advance } = createFixture();
    const holder = createLeases("a");
    const contender = createLeases("b");
    await advance(20, [holder, contender]);
    t.true(holder.getLeaseEndMs(target) !== undefined);
    t.is(contender.getLeaseEndMs(target), undefined);
    holder.dispose();
    for (let second = 0; second < 15; second++) {
        await advance(1, [contender]);
        t.false(holder.getLeaseEndMs(target) !== undefined && contender.getLeaseEndMs(target) !== undefined);
    }
    t.true(contender.getLeaseEndMs(target) !== undefined);
});

test("a released lease can be taken at once", async t => {
    const { createLeases, advance } = createFixture();
    const holder = createLeases("a");
    const contender = createLeases("b");
    await advance(2, [holder, contender]);
    holder.release(target);
    t.is(holder.getLeaseEndMs(target), undefined);
    await advance(2, [contender]);
    t.true(contender.getLeaseEndMs(target) !== undefined);
});

test("after a lost response the row is read to check the token; the lease is counted from before the write", async t => {
    const { scheduler, platform, createLeases, advance } = createFixture();
    const leases = createLeases("a");
    const startMs = scheduler.now();
    platform.addTransactFaults("loseAnswer");
    await advance(1, [leases]);
    t.is(leases.getLeaseEndMs(target), startMs + 10_000);
    const other = createFixture();
    const second = other.createLeases("b");
    other.platform.addTransactFaults("loseRequest", "loseRequest");
    await other.advance(1, [second]);
    t.true(second.getLeaseEndMs(target) !== undefined);
    t.is(other.platform.counts.transactions, 3);
});

test("during an outage a held lease expires and no lease is taken", async t => {
    const { platform, createLeases, advance } = createFixture();
    const leases = createLeases("a");
    await advance(1, [leases]);
    platform.setTableDown(true);
    await advance(12, [leases]);
    t.is(leases.getLeaseEndMs(target), undefined);
    platform.setTableDown(false);
    await advance(2, [leases]);
    t.true(leases.getLeaseEndMs(target) !== undefined);
});

test("leases are renewed in one transaction; a lease taken by another incarnation does not block the others", async t => {
    const { platform, createLeases, advance } = createFixture();
    const leases = createLeases("a");
    const targets = ["t1", "t2", "t3", "t4"].map(ids.toTargetId);
    await advance(1, [leases], targets);
    const before = platform.counts.transactions;
    await advance(9, [leases], targets);
    t.true(platform.counts.transactions - before <= 3, "one transaction per renewal of all targets");
    await platform.table.transact([], [{ key: "cold/t1", value: { holder: "x", token: "x" } }]);
    await advance(12, [leases], targets);
    t.deepEqual(
        targets.map(id => leases.getLeaseEndMs(id) !== undefined),
        [false, true, true, true],
    );
});

test("a lease that is no longer requested is not renewed", async t => {
    const { platform, createLeases, advance } = createFixture();
    const leases = createLeases("a");
    await advance(1, [leases]);
    await advance(20, []);
    const { transactions } = platform.counts;
    await advance(20, []);
    t.is(platform.counts.transactions, transactions);
    t.is(leases.getLeaseEndMs(target), undefined);
});

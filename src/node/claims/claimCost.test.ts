import * as v8 from "node:v8";
import * as vm from "node:vm";
import test from "ava";
import * as keyTable from "../../common/claims/keyTable.js";
import * as rowClaim from "../../common/claims/rowClaim.js";
import * as claims from "../../common/claims/Types.js";
import * as keys from "../../common/claims/keys.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as platform from "../platform/Types.js";
import * as claimController from "./claimController.js";

const service = ids.toServiceName("payments");
const signature = keys.computeSignature("POST", "/pay", 10);
const calls = 2_000;
// Each operation of the table service takes 10 ms, 5 ms each way.
const oneWayMs = 5;
// The ends of a batch are recorded before the next batch, so that no claim waits for another transaction.
const batchIntervalMs = 100;
const response: claims.KeptResponse = { status: 200, headers: [], body: new Uint8Array(100) };

const createFixture = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const store = memoryPlatform.createMemoryPlatform();
    const wait = (): Promise<void> => new Promise(resolve => void scheduler.schedule(oneWayMs, resolve));
    const delay = async <T>(action: () => Promise<T>): Promise<T> => {
        await wait();
        const result = await action();
        await wait();
        return result;
    };
    const table: platform.TableService = {
        read: key => delay(() => store.table.read(key)),
        readIfChanged: store.table.readIfChanged,
        scan: prefix => delay(() => store.table.scan(prefix)),
        transact: (conditions, writes) => delay(() => store.table.transact(conditions, writes)),
    };
    let tokens = 0;
    const controller = claimController.createClaimController({
        incarnation: ids.toIncarnationId("vm1"),
        scheduler,
        table,
        createToken: () => `token-${tokens++}`,
        limits: { maxKeys: calls, keptAnswerBytes: 1_000_000, keyRetentionMs: 600_000 },
        logger: silentLogger.createSilentLogger(),
    });
    return { scheduler, store, controller };
};

/** Runs the calls with a concurrency of `parallel` and measures the longest wait for a decision. */
const measureCalls = async (kind: "issued" | "foreign", parallel: number) => {
    const { scheduler, store, controller } = createFixture();
    const prefix = kind === "issued" ? controller.issueKeyPrefix()! : "order-";
    const waitsMs: number[] = [];
    const runCall = async (index: number): Promise<void> => {
        const startedAtMs = scheduler.now();
        const decision = await controller.begin({ service, key: `${prefix}${index}`, signature });
        waitsMs.push(scheduler.now() - startedAtMs);
        if (decision.kind === "run") {
            decision.claim.finish({ kind: "done", response });
        }
    };
    for (let index = 0; index < calls; index += parallel) {
        const batch = Array.from({ length: parallel }, (_, offset) => runCall(index + offset));
        await scheduler.advance(batchIntervalMs);
        await Promise.all(batch);
    }
    await scheduler.advance(1_000);
    const { transactions, reads, writes } = store.counts;
    return { kind, parallel, maxWaitMs: Math.max(...waitsMs), transactions, reads, writes };
};

test("an issued key needs no table operation; a foreign key needs one read and a share of two batched transactions", async t => {
    t.log(`${calls} calls, ${2 * oneWayMs} ms for each operation of the table service`);
    for (const parallel of [1, 10, 100]) {
        const issued = await measureCalls("issued", parallel);
        const foreign = await measureCalls("foreign", parallel);
        t.log(JSON.stringify(issued));
        t.log(JSON.stringify(foreign));
        t.deepEqual([issued.transactions, issued.reads, issued.maxWaitMs], [0, 0, 0]);
        t.is(foreign.reads, calls);
        t.is(foreign.writes, 2 * calls);
        t.is(foreign.transactions, (2 * calls) / parallel);
    }
});

const measureMemory = (): number => {
    v8.setFlagsFromString("--expose-gc");
    const collectGarbage = vm.runInNewContext("gc") as () => void;
    collectGarbage();
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

const keyCount = 200_000;

const measureBytesPerKey = (createState: (index: number) => claims.KeyState): number => {
    const before = measureMemory();
    const table = keyTable.createKeyTable({ maxKeys: keyCount, keptAnswerBytes: 0 });
    for (let index = 0; index < keyCount; index++) {
        table.set(0, keys.computeKeyId(service, `order-${index}`), createState(index));
    }
    return (measureMemory() - before) / table.measure().keys;
};

test("a key in the key table takes a fraction of the memory of one object per key", t => {
    // A map with one object per key takes 158 bytes per key.
    const maxEndedBytes = 64;
    const ended = measureBytesPerKey(() => ({ kind: "done", signature, status: 201 }));
    const running = measureBytesPerKey(attempt => ({
        kind: "running",
        signature: keys.computeSignature("POST", "/pay", attempt),
        attempt,
    }));
    t.log(`${keyCount} keys: ${ended.toFixed(1)} bytes per finished key, ${running.toFixed(1)} per running key`);
    t.true(ended < maxEndedBytes);
});

test("a claim row is small enough for a transaction of 100 rows", t => {
    const maxRowBytes = 400;
    const token = "0".repeat(36);
    const claim = rowClaim.createRowClaim(token, signature);
    const row = { ...rowClaim.createClaimRow(claim, "0".repeat(36)), end: { kind: "done", status: 200 } };
    const bytes = keys.formatClaimRowKey(service, "k").length + JSON.stringify(row).length;
    t.log(`${bytes} bytes including the key`);
    t.true(bytes < maxRowBytes);
});

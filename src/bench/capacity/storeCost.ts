/**
 * Measures table service operations for cold leases and foreign keys, and memory for issued keys.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as keyTable from "../../common/claims/keyTable.js";
import * as keys from "../../common/claims/keys.js";
import * as ids from "../../common/ids.js";
import * as claimControllers from "../../node/claims/claimController.js";
import * as coldLeases from "../../node/coldstart/coldLeases.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as slopes from "./slopes.js";
import * as types from "./Types.js";

const leaseCounts = [1, 10, 50, 153];
/** Targets in one of six zones, at the target size. */
const targetsPerZone = 153;
const startSeconds = 2;
const leaseSeconds = 30;
const claimCounts = [250, 500, 1000, 2000];
const keyCounts = [25_000, 50_000, 100_000, 200_000];
/** Keys remembered for ten minutes at 1,000 keyed calls per second. */
const keysAtTarget = 600_000;
const memoryRounds = 3;
const service = ids.toServiceName("payments");
const signature = keys.computeSignature("POST", "/pay", 10);
const logger = silentLogger.createSilentLogger();

type Counts = memoryPlatform.MemoryPlatform["counts"];

const computeRates = (after: Counts, before: Counts, seconds: number): Counts => ({
    transactions: (after.transactions - before.transactions) / seconds,
    reads: (after.reads - before.reads) / seconds,
    writes: (after.writes - before.writes) / seconds,
});

interface LeaseRun {
    readonly start: Counts;
    readonly perSecond: Counts;
}

const measureLeases = async (count: number): Promise<LeaseRun> => {
    const scheduler = virtualScheduler.createVirtualScheduler(1000);
    const store = memoryPlatform.createMemoryPlatform();
    let tokens = 0;
    const leases = coldLeases.createColdLeases({
        incarnation: ids.toIncarnationId("vm1"),
        table: store.table,
        scheduler,
        createToken: () => `token-${tokens++}`,
        leaseMs: 10_000,
        logger,
    });
    const targets = Array.from({ length: count }, (_, index) => ids.toTargetId(`t${index}`));
    const advance = async (seconds: number): Promise<void> => {
        for (let second = 0; second < seconds; second++) {
            targets.forEach(target => leases.request(target));
            await scheduler.advance(1000);
        }
    };
    await advance(startSeconds);
    const start = { ...store.counts };
    await advance(leaseSeconds);
    leases.dispose();
    return { start, perSecond: computeRates(store.counts, start, leaseSeconds) };
};

const toSeries = <T>(
    list: readonly (readonly [number, T])[],
    shared: Pick<types.Series, "name" | "unit" | "by" | "targetSize">,
    get: (value: T) => number,
): types.Series => ({ ...shared, samples: list.map(([size, value]) => ({ size, value: get(value) })) });

const measureLeaseSeries = async (): Promise<readonly types.Series[]> => {
    const list: [number, LeaseRun][] = [];
    for (const count of leaseCounts) {
        list.push([count, await measureLeases(count)]);
    }
    const shared = { by: "cold targets", targetSize: targetsPerZone };
    const createLeaseSeries = (name: string, unit: string, get: (run: LeaseRun) => number): types.Series =>
        toSeries(list, { ...shared, name: `cold leases: ${name}`, unit }, get);
    return [
        createLeaseSeries("reads at the start", "reads", run => run.start.reads),
        createLeaseSeries("rows written at the start", "rows", run => run.start.writes),
        createLeaseSeries("transactions at the start", "transactions", run => run.start.transactions),
        createLeaseSeries("reads while held", "reads/s", run => run.perSecond.reads),
        createLeaseSeries("rows written while held", "rows/s", run => run.perSecond.writes),
        createLeaseSeries(
            "transactions while held by one entry VM",
            "transactions/s",
            run => run.perSecond.transactions,
        ),
    ];
};

const keptResponse = { status: 200, headers: [], body: new Uint8Array(100) } as const;

/** Runs calls in groups of ten, each of which is batched into one transaction. */
const measureForeignKeys = async (calls: number): Promise<Counts> => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const store = memoryPlatform.createMemoryPlatform();
    let tokens = 0;
    const controller = claimControllers.createClaimController({
        incarnation: ids.toIncarnationId("vm1"),
        scheduler,
        table: store.table,
        createToken: () => `token-${tokens++}`,
        limits: { maxKeys: calls, keptAnswerBytes: 1_000_000, keyRetentionMs: 600_000 },
        logger,
    });
    const runCall = async (index: number): Promise<void> => {
        const decision = await controller.begin({ service, key: `order-${index}`, signature });
        if (decision.kind === "run") {
            decision.claim.finish({ kind: "done", response: keptResponse });
        }
    };
    for (let index = 0; index < calls; index += 10) {
        const group = Array.from({ length: 10 }, (_, offset) => runCall(index + offset));
        await scheduler.advance(100);
        await Promise.all(group);
    }
    controller.dispose();
    return { ...store.counts };
};

const measureClaimSeries = async (): Promise<readonly types.Series[]> => {
    const foreign: [number, Counts][] = [];
    for (const count of claimCounts) {
        foreign.push([count, await measureForeignKeys(count)]);
    }
    const shared = { by: "foreign keys", targetSize: 2000 };
    return [
        toSeries(foreign, { ...shared, name: "foreign keys: reads", unit: "reads" }, run => run.reads),
        toSeries(foreign, { ...shared, name: "foreign keys: rows written", unit: "rows" }, run => run.writes),
        toSeries(
            foreign,
            { ...shared, name: "foreign keys: transactions, ten at a time", unit: "transactions" },
            run => run.transactions,
        ),
    ];
};

const collectGarbage = (): void => {
    v8.setFlagsFromString("--expose-gc");
    const collect = vm.runInNewContext("gc") as () => void;
    collect();
    collect();
};

const readHeapBytes = (): number => {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
};

/** Retains all tables until the end: a table freed during a later measurement would reduce its result. */
const retainedTables: keyTable.KeyTable[] = [];

const measureKeyBytes = (count: number): number => {
    const before = readHeapBytes();
    const table = keyTable.createKeyTable({ maxKeys: count, keptAnswerBytes: 0 });
    for (let index = 0; index < count; index++) {
        table.set(0, keys.computeKeyId(service, `order-${index}`), { kind: "done", signature, status: 201 });
    }
    retainedTables.push(table);
    const bytes = readHeapBytes() - before;
    return table.measure().keys === count ? bytes : NaN;
};

const measureKeySeries = (): types.Series => ({
    name: "issued keys: memory",
    unit: "bytes",
    by: "remembered keys",
    targetSize: keysAtTarget,
    samples: keyCounts.map(size => ({
        size,
        value: slopes.computeMedian(Array.from({ length: memoryRounds }, () => measureKeyBytes(size))),
    })),
});

/**
 * Measures the use of the table service in virtual time, with immediate responses.
 *
 * @returns series by cold targets, foreign keys and remembered keys
 */
export const measureStoreCost = async (): Promise<types.Measurement> => ({
    series: [...(await measureLeaseSeries()), ...(await measureClaimSeries()), measureKeySeries()],
    figures: [],
});

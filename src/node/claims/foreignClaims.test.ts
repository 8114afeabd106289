import test from "ava";
import * as claims from "../../common/claims/Types.js";
import * as keys from "../../common/claims/keys.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as claimController from "./claimController.js";
import * as rowBatcher from "./rowBatcher.js";

const service = ids.toServiceName("payments");
const signature = keys.computeSignature("POST", "/pay", 10);
const response: claims.KeptResponse = { status: 201, headers: [["x", "y"]], body: new Uint8Array(5) };
const emptyResponse: claims.KeptResponse = { status: 201, headers: [], body: undefined };

const createFixture = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const platform = memoryPlatform.createMemoryPlatform();
    let tokens = 0;
    const createController = (incarnation: string, maxWaitingClaims = 1_000) =>
        claimController.createClaimController({
            incarnation: ids.toIncarnationId(incarnation),
            scheduler,
            table: platform.table,
            createToken: () => `token-${tokens++}`,
            limits: { maxKeys: 1_000, keptAnswerBytes: 1_000, keyRetentionMs: 120_000, maxWaitingClaims },
            logger: silentLogger.createSilentLogger(),
        });
    return { scheduler, platform, a: createController("vm1"), b: createController("vm2"), createController };
};

const beginKey = (controller: claims.ClaimController, key = "k") => controller.begin({ service, key, signature });

const beginRun = async (controller: claims.ClaimController, key = "k"): Promise<claims.Claim> => {
    const decision = await beginKey(controller, key);
    if (decision.kind !== "run") {
        throw new Error(`expected a run, got ${JSON.stringify(decision)}`);
    }
    return decision.claim;
};

const toKind = (decision: claims.ClaimDecision): string =>
    decision.kind === "refuse" ? decision.error : decision.kind;

test("a claim blocks other entry VMs until it ends; then they know its end", async t => {
    const { a, b, scheduler } = createFixture();
    const claim = await beginRun(a);
    t.is(toKind(await beginKey(b)), "key_in_progress");
    t.is(toKind(await beginKey(a)), "wait");
    claim.finish({ kind: "done", response });
    await scheduler.advance(1);
    t.deepEqual(await beginKey(b), { kind: "replay", response: emptyResponse });
    t.deepEqual(await beginKey(b), { kind: "replay", response: emptyResponse });
    t.deepEqual(await beginKey(a), { kind: "replay", response });
});

test("an end of may-have-run is recorded; after an end of not-run the key can run again at once, on any entry VM", async t => {
    const { a, b, scheduler, platform } = createFixture();
    (await beginRun(a)).finish({ kind: "notRun", error: "no_target" });
    // The request is resent before the row is removed.
    const again = await beginRun(a);
    again.finish({ kind: "notRun", error: "no_target" });
    await scheduler.advance(1);
    t.deepEqual(await platform.table.scan("claim/"), { kind: "found", rows: [] });
    (await beginRun(b)).finish({ kind: "mayHaveRun", error: "outcome_unknown" });
    await scheduler.advance(1);
    t.is(toKind(await beginKey(a)), "outcome_unknown");
});

test("concurrent claims share a transaction, and a conflict on one row does not fail the others", async t => {
    const { a, b, platform } = createFixture();
    await beginRun(b, "k3");
    const before = platform.counts.transactions;
    const decisions = await Promise.all(["k1", "k2", "k3", "k4"].map(key => beginKey(a, key)));
    t.deepEqual(decisions.map(toKind), ["run", "run", "key_in_progress", "run"]);
    t.is(platform.counts.transactions - before, 2);
    const many = await Promise.all(Array.from({ length: 250 }, (_, index) => beginKey(a, `m${index}`)));
    t.true(many.every(decision => decision.kind === "run"));
    t.is(platform.counts.transactions - before, 5);
});

test("after a write of unknown outcome the row is read: own token runs, absent row is rewritten, other token is refused", async t => {
    const { a, b, platform } = createFixture();
    platform.addTransactFaults("loseAnswer", "loseRequest");
    await beginRun(a, "k1");
    await beginRun(a, "k2");
    platform.addTransactFaults("loseAnswer");
    t.is(toKind(await beginKey(b, "k1")), "key_in_progress");
});

test("during an outage a key is refused as not run, and a claim of unknown outcome is removed after the outage", async t => {
    const { a, b, platform, scheduler } = createFixture();
    platform.setTableDown(true);
    t.is(toKind(await beginKey(a)), "claim_store_unavailable");
    platform.setTableDown(false);
    platform.addTransactFaults("loseAnswer");
    platform.setBeforeTransact(() => {
        // The outage begins after the write and before the row is read back.
        queueMicrotask(() => queueMicrotask(() => platform.setTableDown(true)));
        return Promise.resolve();
    });
    t.is(toKind(await beginKey(a)), "claim_store_unavailable");
    platform.setTableDown(false);
    t.is(toKind(await beginKey(b)), "key_in_progress");
    await scheduler.advance(2_000);
    await beginRun(b);
});

test("the ends of attempts during an outage are recorded after it", async t => {
    const { a, b, platform, scheduler } = createFixture();
    const claim = await beginRun(a, "k1");
    const other = await beginRun(a, "k2");
    platform.setTableDown(true);
    claim.finish({ kind: "done", response });
    other.finish({ kind: "notRun", error: "no_target" });
    await scheduler.advance(10_000);
    platform.setTableDown(false);
    platform.addTransactFaults("loseAnswer", "loseRequest");
    await scheduler.advance(10_000);
    t.is(toKind(await beginKey(b, "k1")), "replay");
    await beginRun(b, "k2");
});

test("claims beyond the limit are refused while the table service is slow", async t => {
    const { createController, platform } = createFixture();
    const controller = createController("vm3", 2);
    let resume = (): void => undefined;
    platform.setBeforeTransact(() => new Promise(resolve => (resume = resolve)));
    const pending = [beginKey(controller, "k1"), beginKey(controller, "k2")];
    t.is(toKind(await beginKey(controller, "k3")), "claim_store_unavailable");
    resume();
    t.deepEqual((await Promise.all(pending)).map(toKind), ["run", "run"]);
});

test("a key with a malformed row never runs, and updating an absent row is a conflict", async t => {
    const { a, platform } = createFixture();
    await platform.table.transact([], [{ key: keys.formatClaimRowKey(service, "k"), value: { future: true } }]);
    t.is(toKind(await beginKey(a)), "key_in_progress");
    const batcher = rowBatcher.createRowBatcher(platform.table, 10);
    const results = await Promise.all([batcher.write("x", 7, {}), batcher.write("y", 0, {})]);
    t.deepEqual(results, [{ kind: "conflict", row: undefined }, { kind: "committed" }]);
});

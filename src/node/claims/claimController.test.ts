import test from "ava";
import * as claims from "../../common/claims/Types.js";
import * as keys from "../../common/claims/keys.js";
import * as ids from "../../common/ids.js";
import * as memoryPlatform from "../../testing/memoryPlatform.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as claimController from "./claimController.js";
import * as types from "./Types.js";

const service = ids.toServiceName("payments");
const signature = keys.computeSignature("POST", "/pay", 10);
const minuteMs = 60_000;

const createResponse = (size: number): claims.KeptResponse => ({
    status: 201,
    headers: [],
    body: new Uint8Array(size),
});

const createFixture = (limits: Partial<types.ClaimLimits> = {}) => {
    const scheduler = virtualScheduler.createVirtualScheduler(5_000);
    const platform = memoryPlatform.createMemoryPlatform();
    let tokens = 0;
    const lines: string[] = [];
    const logLine = (message: string): void => void lines.push(message);
    let mayIssue = true;
    const createController = (incarnation: string) =>
        claimController.createClaimController({
            incarnation: ids.toIncarnationId(incarnation),
            scheduler,
            table: platform.table,
            createToken: () => `token-${tokens++}`,
            limits: { maxKeys: 100, keptAnswerBytes: 100_000, keyRetentionMs: 2 * minuteMs, ...limits },
            logger: { debug: logLine, info: logLine, warn: logLine, error: logLine },
            mayIssue: () => mayIssue,
        });
    const stopIssuing = (): void => void (mayIssue = false);
    return { scheduler, platform, createController, controller: createController("vm1"), lines, stopIssuing };
};

const beginKey = (controller: claims.ClaimController, key: string, keySignature = signature) =>
    controller.begin({ service, key, signature: keySignature });

const beginRun = async (controller: claims.ClaimController, key: string): Promise<claims.Claim> => {
    const decision = await beginKey(controller, key);
    if (decision.kind !== "run") {
        throw new Error(`expected a run, got ${JSON.stringify(decision)}`);
    }
    return decision.claim;
};

const toRefusal = (decision: claims.ClaimDecision): string =>
    decision.kind === "refuse" ? decision.error : decision.kind;

test("a resent issued key waits for the running attempt and then gets a replay, without using the table service", async t => {
    const { controller, platform } = createFixture();
    const key = `${controller.issueKeyPrefix()}1`;
    const claim = await beginRun(controller, key);
    const resend = await beginKey(controller, key);
    claim.finish({ kind: "done", response: createResponse(3) });
    t.is(resend.kind === "wait" && (await resend.result).kind, "done");
    t.deepEqual(await beginKey(controller, key), { kind: "replay", response: createResponse(3) });
    t.is(platform.counts.transactions + platform.counts.reads, 0);
});

test("a key that did not run may run again; a key that may have run may not", async t => {
    const { controller } = createFixture();
    const key = `${controller.issueKeyPrefix()}1`;
    (await beginRun(controller, key)).finish({ kind: "notRun", error: "queue_full" });
    (await beginRun(controller, key)).finish({ kind: "mayHaveRun", error: "queue_full" });
    t.is(toRefusal(await beginKey(controller, key)), "outcome_unknown");
});

test("finishing an old attempt twice does not end the new attempt", async t => {
    const { controller } = createFixture();
    const key = `${controller.issueKeyPrefix()}1`;
    const first = await beginRun(controller, key);
    first.finish({ kind: "notRun", error: "queue_full" });
    await beginRun(controller, key);
    first.finish({ kind: "notRun", error: "queue_full" });
    t.is(toRefusal(await beginKey(controller, key)), "wait");
});

test("a different signature, a forged epoch and a malformed key are refused; another arbiter's key is forwarded", async t => {
    const { controller } = createFixture();
    const key = `${controller.issueKeyPrefix()}1`;
    await beginRun(controller, key);
    const other = keys.computeSignature("POST", "/pay", 11);
    t.is(toRefusal(await beginKey(controller, key, other)), "idempotency_key_reused");
    t.is(toRefusal(await beginKey(controller, "vm1.1.x")), "bad_request");
    t.is(toRefusal(await beginKey(controller, "")), "bad_request");
    t.is(toRefusal(await beginKey(controller, "vm2.0.x")), "forward");
});

test("an expired key never runs again, even if its attempt is still running", async t => {
    const { controller, scheduler } = createFixture();
    const key = `${controller.issueKeyPrefix()}1`;
    const claim = await beginRun(controller, key);
    await scheduler.advance(3 * minuteMs);
    t.is(controller.measure().keys, 0);
    t.is(toRefusal(await beginKey(controller, key)), "key_expired");
    claim.finish({ kind: "done", response: createResponse(1) });
    t.deepEqual(controller.measure(), { keys: 0, keptBytes: 0 });
    t.is(toRefusal(await beginKey(controller, key)), "key_expired");
});

test("a full key table refuses new keys and keeps the existing ones", async t => {
    const { controller } = createFixture({ maxKeys: 2 });
    const prefix = controller.issueKeyPrefix();
    (await beginRun(controller, `${prefix}1`)).finish({ kind: "done", response: createResponse(1) });
    (await beginRun(controller, `${prefix}2`)).finish({ kind: "mayHaveRun", error: "deadline_exceeded" });
    t.is(toRefusal(await beginKey(controller, `${prefix}3`)), "arbiter_full");
    t.is(toRefusal(await beginKey(controller, `${prefix}1`)), "replay");
    t.is(toRefusal(await beginKey(controller, `${prefix}2`)), "outcome_unknown");
});

test("the byte limit drops the oldest responses but keeps the fact that their keys ran", async t => {
    const { controller } = createFixture({ keptAnswerBytes: 30_000 });
    const prefix = controller.issueKeyPrefix();
    for (const name of ["1", "2", "3", "4"]) {
        (await beginRun(controller, `${prefix}${name}`)).finish({ kind: "done", response: createResponse(10_000) });
    }
    t.true(controller.measure().keptBytes <= 30_000);
    const dropped = { status: 201, headers: [], body: undefined };
    t.deepEqual(await beginKey(controller, `${prefix}1`), { kind: "replay", response: dropped });
    t.deepEqual(await beginKey(controller, `${prefix}4`), { kind: "replay", response: createResponse(10_000) });
    (await beginRun(controller, `${prefix}5`)).finish({ kind: "done", response: createResponse(65_537) });
    t.deepEqual(await beginKey(controller, `${prefix}5`), { kind: "replay", response: dropped });
});

test("a leaving entry VM issues no key prefix but still decides on keys; a disposed controller refuses all keys", async t => {
    const { controller, stopIssuing } = createFixture();
    const key = `${controller.issueKeyPrefix()}1`;
    stopIssuing();
    t.is(controller.issueKeyPrefix(), undefined);
    await beginRun(controller, key);
    controller.dispose();
    t.is(toRefusal(await beginKey(controller, key)), "leaving");
});

test("each decision logs one message, and an incarnation that is invalid in a key is rejected on creation", async t => {
    const { controller, createController, lines } = createFixture();
    const prefix = controller.issueKeyPrefix();
    for (const key of [`${prefix}1`, `${prefix}1`, "vm2.0.x", "vm1.7.x", ""]) {
        await beginKey(controller, key);
    }
    t.is(lines.length, 5);
    t.true(lines.every(line => line.startsWith("claim: ")));
    t.throws(() => createController("vm.1"));
});

// A refusal before arbitration, as for a stale configuration, must not report "not run" while the same key is running.
test('the outcome found without arbitration never says "not run" for a key that may have run', async t => {
    const { controller, scheduler } = createFixture();
    const prefix = controller.issueKeyPrefix() ?? "";
    const find = (key: string): claims.KnownOutcome => controller.findOutcome(service, key);
    t.is(find(`${prefix}1`), "notRun");
    const claim = await beginRun(controller, `${prefix}1`);
    t.is(find(`${prefix}1`), "mayHaveRun");
    claim.finish({ kind: "done", response: createResponse(3) });
    t.is(find(`${prefix}1`), "ran");
    (await beginRun(controller, `${prefix}2`)).finish({ kind: "notRun", error: "queue_full" });
    t.is(find(`${prefix}2`), "notRun");
    t.is(find("vm2.0.1"), "unknown");
    t.is(find("a-key-of-the-caller"), "unknown");
    await scheduler.advance(10 * minuteMs);
    (await beginRun(controller, `${controller.issueKeyPrefix()}3`)).finish({ kind: "notRun", error: "queue_full" });
    t.is(find(`${prefix}1`), "mayHaveRun", "an expired key may have run");
});

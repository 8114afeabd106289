import test from "ava";
import * as crashRegistry from "../../common/crashes/crashRegistry.js";
import * as random from "../../common/random.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as routes from "../../common/routes/Types.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as exchange from "./exchange.js";
import * as exchangeLog from "./exchangeLog.js";
import * as targetSender from "./targetSender.js";

type Step = { readonly afterMs: number; readonly result: targetSender.AttemptResult };

const createAnswer = (fields: {
    readonly status?: number;
    readonly isSealed?: boolean;
    readonly isRefusal?: boolean;
}): targetSender.AttemptResult => ({
    kind: "answer",
    answer: {
        statusCode: fields.status ?? 200,
        body: Buffer.from("body"),
        isDelimited: true,
        head: {
            id: "r1",
            isSealed: fields.isSealed ?? true,
            isRefusal: fields.isRefusal ?? false,
            load: undefined,
            idleTimeoutMs: undefined,
            coldLeftMs: undefined,
            target: undefined,
            forwarded: [],
            isEncoded: false,
        },
    },
});

const ok = (afterMs: number): Step => ({ afterMs, result: createAnswer({}) });
const refusal: Step = { afterMs: 5, result: createAnswer({ status: 503, isSealed: false, isRefusal: true }) };
const broken: Step = { afterMs: 5, result: { kind: "broken", reason: "ECONNRESET" } };
const unreachable: Step = { afterMs: 5, result: { kind: "unreachable" } };
const never: Step = { afterMs: 1_000_000, result: { kind: "broken", reason: "never" } };

/** Runs one request against targets that behave as scripted, in the order of the attempts. */
const run = (
    steps: readonly Step[],
    options: {
        readonly route?: Partial<routes.Route>;
        readonly budget?: number;
        readonly targets?: number;
        readonly hasLeft?: boolean;
    } = {},
) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const left = [...steps];
    const sent: string[] = [];
    let aborted = 0;
    let withdrawn = 0;
    let budget = options.budget ?? 10;
    const book = targetPool.createTargetPool({
        scheduler,
        random: random.createRandom(3),
        logger: silentLogger.createSilentLogger(),
        zone: fixture.zone,
        isZoneOut: () => false,
        getService: () => undefined,
        countActiveVms: () => 1,
    });
    const ids = ["a", "b", "c"].slice(0, options.targets ?? 3);
    book.setTargets(ids.map(id => fixture.createRegistration(id)));
    const line = admissionQueue.createAdmissionQueue<targetPool.PickResult>(scheduler);
    book.onDidFreeSlot(service => line.dispatch(service));
    const crashes = crashRegistry.createCrashRegistry({ scheduler, limit: 3, maxEntries: 10, retentionMs: 60_000 });
    const client = new AbortController();
    if (options.hasLeft === true) {
        client.abort();
    }
    let answer: exchange.FinalAnswer | undefined;
    let answeredAtMs = 0;
    const crashed: string[] = [];
    const ends: exchangeLog.AttemptEnd[] = [];
    let hedges = 0;
    const sender: Pick<targetSender.TargetSender, "start"> = {
        start: ({ registration }) => {
            sent.push(registration.id);
            const step = left.shift() ?? never;
            const result = new Promise<targetSender.AttemptResult>(
                resolve => void scheduler.schedule(step.afterMs, () => resolve(step.result)),
            );
            return { result, abort: () => void aborted++, withdraw: () => void withdrawn++ };
        },
    };
    void exchange
        .runExchange(
            {
                scheduler,
                book,
                line,
                sender,
                budget: { recordCall: () => undefined, takeRetry: () => budget-- > 0 },
                crashes,
                logger: silentLogger.createSilentLogger(),
                metrics: { recordAttempt: end => void ends.push(end), recordHedge: () => void hedges++ },
                reportCrash: (_, target) => crashed.push(target),
            },
            {
                outgoing: { id: "r1", method: "GET", url: "/jobs/1", headers: [], body: Buffer.alloc(0) },
                route: fixture.createRoute(options.route),
                service: fixture.service,
                deadlineAtMs: 2_000,
                fingerprint: "f",
                configurationVersion: 1,
                signal: client.signal,
            },
        )
        .then(final => {
            answer = final;
            answeredAtMs = scheduler.now() - 1_000;
        });
    return {
        advance: scheduler.advance,
        leave: () => client.abort(),
        getAnswer: () => answer,
        getAnsweredAtMs: () => answeredAtMs,
        sent,
        crashed,
        ends,
        countHedges: () => hedges,
        countAborted: () => aborted,
        countWithdrawn: () => withdrawn,
    };
};

const once: Partial<routes.Route> = { kind: "non-idempotent" };

test("a request that may run once is not sent again after its connection broke", async t => {
    const world = run([broken, ok(10)], { route: once });
    await world.advance(2_000);
    const answer = world.getAnswer();
    t.is(world.sent.length, 1);
    t.deepEqual(answer?.kind === "failed" ? answer.statusCode : answer?.kind, 502);
    t.is(world.crashed.length, 1);
});

test("a request that may run once is sent to another target if the first one did not run it", async t => {
    const world = run([refusal, ok(10)], { route: once });
    await world.advance(2_000);
    t.is(world.getAnswer()?.kind, "target");
    t.is(new Set(world.sent).size, 2);
});

test("refusals by targets end in a refusal that is true, well before the deadline", async t => {
    const world = run([refusal, refusal, refusal], { route: once });
    await world.advance(2_000);
    t.is(world.getAnswer()?.kind, "refused");
    t.true(world.getAnsweredAtMs() < 100);
});

test("a target that is not reached costs no retry, as nothing was sent", async t => {
    const world = run([unreachable, unreachable, ok(10)], { route: { ...once, maxTargets: 1 }, budget: 0 });
    await world.advance(2_000);
    t.is(world.getAnswer()?.kind, "target");
    const all = run([unreachable, unreachable, unreachable], { route: once, budget: 0 });
    await all.advance(2_000);
    t.is(all.getAnswer()?.kind, "refused");
});

test("a request that may have run is never refused", async t => {
    const world = run([broken, refusal, refusal], { route: { maxTargets: 2 }, budget: 0 });
    await world.advance(2_000);
    // An idempotent request may be refused even then, as it may run again.
    t.is(world.getAnswer()?.kind, "refused");
    const unsafe = run([broken, refusal], { route: once });
    await unsafe.advance(2_000);
    t.is(unsafe.getAnswer()?.kind, "failed");
});

test("an idempotent request is repeated after a failure, within the budget", async t => {
    const repeated = run([broken, ok(10)]);
    await repeated.advance(2_000);
    t.is(repeated.getAnswer()?.kind, "target");
    const spent = run([broken, ok(10)], { budget: 0 });
    await spent.advance(2_000);
    t.is(spent.sent.length, 1);
});

test("a slow idempotent request is sent to a second target, and the slower attempt is aborted", async t => {
    const world = run([never, ok(20)]);
    await world.advance(2_000);
    t.is(world.getAnswer()?.kind, "target");
    t.is(world.sent.length, 2);
    t.is(world.countAborted(), 1);
    t.true(world.getAnsweredAtMs() < 300);
    t.is(world.countHedges(), 1);
    t.deepEqual(world.ends, ["answered", "stopped"]);
});

test("without an answer the request fails at its deadline, not later", async t => {
    const world = run([never, never]);
    await world.advance(2_000);
    const answer = world.getAnswer();
    t.is(answer?.kind === "failed" ? answer.statusCode : undefined, 504);
    t.is(world.getAnsweredAtMs(), 1_000);
    t.deepEqual(new Set(world.ends), new Set(["silent"]));
});

test("an answer without signature is no success", async t => {
    const world = run([{ afterMs: 5, result: createAnswer({ isSealed: false }) }], { route: once });
    await world.advance(2_000);
    t.is(world.getAnswer()?.kind, "failed");
});

test("the target's own failure is passed on when nothing better comes", async t => {
    const world = run([{ afterMs: 5, result: createAnswer({ status: 500 }) }], { route: once });
    await world.advance(2_000);
    const answer = world.getAnswer();
    t.is(answer?.kind === "target" ? answer.answer.statusCode : undefined, 500);
});

test("when the client leaves, an idempotent request is aborted and another one goes on", async t => {
    const idempotent = run([never]);
    await idempotent.advance(10);
    idempotent.leave();
    await idempotent.advance(10);
    t.is(idempotent.countAborted(), 1);
    const other = run([never], { route: once });
    await other.advance(10);
    other.leave();
    await other.advance(10);
    t.is(other.getAnswer()?.kind, "abandoned");
    t.is(other.countAborted(), 0);
    t.is(other.countWithdrawn(), 1);
});

test("a request whose client left while it was read is not sent", async t => {
    const world = run([ok(10)], { hasLeft: true });
    await world.advance(2_000);
    t.deepEqual(world.sent, []);
    t.is(world.getAnswer()?.kind, "abandoned");
});

test("a request without a target is refused at once", async t => {
    const world = run([], { targets: 0 });
    await world.advance(100);
    t.is(world.getAnswer()?.kind, "refused");
    t.true(world.getAnsweredAtMs() <= 100);
});

import test from "ava";
import * as routes from "../../common/routes/Types.js";
import * as exchangeFixture from "../../testing/routes/exchangeFixture.js";

const { broken, createResponse, misdirected, noResponse, ok, refusal, run, unreachable } = exchangeFixture;
const nonIdempotent: Partial<routes.Route> = { kind: "non-idempotent" };

test("a non-idempotent request is not sent again after its connection broke", async t => {
    const exchangeRun = run([broken, ok(10)], { route: nonIdempotent });
    await exchangeRun.advance(2_000);
    const response = exchangeRun.getResponse();
    t.is(exchangeRun.sent.length, 1);
    t.deepEqual(response?.kind === "failed" ? response.statusCode : response?.kind, 502);
    t.is(exchangeRun.crashed.length, 1);
});

test("a non-idempotent request is sent to another target if the first one did not run it", async t => {
    const exchangeRun = run([refusal, ok(10)], { route: nonIdempotent });
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.getResponse()?.kind, "target");
    t.is(new Set(exchangeRun.sent).size, 2);
});

test("a request refused by its targets is refused well before the deadline", async t => {
    const exchangeRun = run([refusal, refusal, refusal], { route: nonIdempotent });
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.getResponse()?.kind, "refused");
    t.true(exchangeRun.getRespondedAtMs() < 100);
});

// Guards against 503 beside a free target: the 421 of an address that has changed hands counted as a refusal by a full target.
test("a request whose target's address has changed hands is sent on, also after a refusal", async t => {
    for (const steps of [
        [misdirected, misdirected, ok(10)],
        [misdirected, refusal, ok(10)],
        [refusal, misdirected, ok(10)],
    ]) {
        const exchangeRun = run(steps, { route: nonIdempotent });
        await exchangeRun.advance(2_000);
        t.is(exchangeRun.getResponse()?.kind, "target");
        t.is(new Set(exchangeRun.sent).size, 3);
    }
});

test("a request is sent on after each 421 only within the retry budget, and a few times at most", async t => {
    const spent = run([misdirected, misdirected, ok(10)], { route: nonIdempotent, budget: 1 });
    await spent.advance(2_000);
    t.is(spent.getResponse()?.kind, "refused");
    t.is(spent.sent.length, 2);
    const bounded = run(Array(6).fill(misdirected), { route: nonIdempotent, targets: 6 });
    await bounded.advance(2_000);
    t.is(bounded.getResponse()?.kind, "refused");
    t.is(bounded.sent.length, 4);
});

test("trying another target after an unreachable one uses no retry budget, as nothing was sent", async t => {
    const exchangeRun = run([unreachable, unreachable, ok(10)], {
        route: { ...nonIdempotent, maxTargets: 1 },
        budget: 0,
    });
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.getResponse()?.kind, "target");
    const all = run([unreachable, unreachable, unreachable], { route: nonIdempotent, budget: 0 });
    await all.advance(2_000);
    t.is(all.getResponse()?.kind, "refused");
});

test("a request that may have run is never refused, whether or not it is idempotent", async t => {
    const exchangeRun = run([broken, refusal, refusal], { route: { maxTargets: 2 }, budget: 0 });
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.getResponse()?.kind, "failed");
    const unsafe = run([broken, refusal], { route: nonIdempotent });
    await unsafe.advance(2_000);
    t.is(unsafe.getResponse()?.kind, "failed");
});

test("under overload, a request is not hedged while others wait for their first attempt", async t => {
    const exchangeRun = run([noResponse, ok(20)]);
    await exchangeRun.advance(10);
    exchangeRun.addWaitingRequest();
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.countHedges(), 0);
});

test("a download is retried and hedged like any idempotent request", async t => {
    const repeated = run([broken, ok(10)], { route: { kind: "download" } });
    await repeated.advance(2_000);
    t.is(repeated.getResponse()?.kind, "target");
    const hedged = run([noResponse, ok(20)], { route: { kind: "download" } });
    await hedged.advance(2_000);
    t.is(hedged.countHedges(), 1);
});

test("an idempotent request is retried after a failure, within the retry budget", async t => {
    const repeated = run([broken, ok(10)]);
    await repeated.advance(2_000);
    t.is(repeated.getResponse()?.kind, "target");
    const spent = run([broken, ok(10)], { budget: 0 });
    await spent.advance(2_000);
    t.is(spent.sent.length, 1);
});

test("a slow idempotent request is hedged, and the slower attempt is aborted", async t => {
    const exchangeRun = run([noResponse, ok(20)]);
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.getResponse()?.kind, "target");
    t.is(exchangeRun.sent.length, 2);
    t.is(exchangeRun.countAborted(), 1);
    t.true(exchangeRun.getRespondedAtMs() < 300);
    t.is(exchangeRun.countHedges(), 1);
    t.deepEqual(exchangeRun.ends, ["answered", "stopped"]);
});

test("without a response the request fails at its deadline, not later", async t => {
    const exchangeRun = run([noResponse, noResponse]);
    await exchangeRun.advance(2_000);
    const response = exchangeRun.getResponse();
    t.is(response?.kind === "failed" ? response.statusCode : undefined, 504);
    t.is(exchangeRun.getRespondedAtMs(), 1_000);
    t.deepEqual(new Set(exchangeRun.ends), new Set(["silent"]));
});

test("a response without signature is a failure", async t => {
    const exchangeRun = run([{ afterMs: 5, result: createResponse({ isSigned: false }) }], { route: nonIdempotent });
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.getResponse()?.kind, "failed");
});

test("the target's error response is forwarded if there is no successful one", async t => {
    const exchangeRun = run([{ afterMs: 5, result: createResponse({ status: 500 }) }], { route: nonIdempotent });
    await exchangeRun.advance(2_000);
    const response = exchangeRun.getResponse();
    t.is(response?.kind === "target" ? response.response.statusCode : undefined, 500);
});

// Guards against a status by which the client is told that a request has not run, although its target has run it.
test("a target's status does not tell the client that a request has not run that may run only once", async t => {
    for (const status of [408, 429, 503]) {
        const step = { afterMs: 5, result: createResponse({ status }) };
        const once = run([step, ok(5)], { route: nonIdempotent });
        await once.advance(2_000);
        t.deepEqual(once.getResponse(), { kind: "failed", reason: `status ${status}`, statusCode: 502 });
        t.is(once.sent.length, 1);
        const repeatable = run([step], { budget: 0 });
        await repeatable.advance(2_000);
        t.is(repeatable.getResponse()?.kind, "target");
    }
});

// Guards against a target's own 421 that counts as that of another target, so that a second one runs the request.
test("a request whose target responds with a signed 421 has run there", async t => {
    const exchangeRun = run([{ afterMs: 5, result: createResponse({ status: 421 }) }, ok(5)], { route: nonIdempotent });
    await exchangeRun.advance(2_000);
    t.is(exchangeRun.sent.length, 1);
    t.like(exchangeRun.getResponse(), { kind: "failed", statusCode: 502 });
});

test("when the client disconnects, an idempotent request is aborted and a non-idempotent one continues", async t => {
    const idempotent = run([noResponse]);
    await idempotent.advance(10);
    idempotent.abortClient();
    await idempotent.advance(10);
    t.is(idempotent.countAborted(), 1);
    const other = run([noResponse], { route: nonIdempotent });
    await other.advance(10);
    other.abortClient();
    await other.advance(10);
    t.is(other.getResponse()?.kind, "abandoned");
    t.is(other.countAborted(), 0);
    t.is(other.countAbortedUnsent(), 1);
});

test("a request whose client disconnected while it was read is not sent", async t => {
    const exchangeRun = run([ok(10)], { isClientDisconnected: true });
    await exchangeRun.advance(2_000);
    t.deepEqual(exchangeRun.sent, []);
    t.is(exchangeRun.getResponse()?.kind, "abandoned");
});

test("a request without any target is refused immediately", async t => {
    const exchangeRun = run([], { targets: 0 });
    await exchangeRun.advance(100);
    t.is(exchangeRun.getResponse()?.kind, "refused");
    t.true(exchangeRun.getRespondedAtMs() <= 100);
});

test("a request is refused at once, with a time to come back, if no target takes requests", async t => {
    const exchangeRun = run([ok(10)], { targets: 2, limitedTargets: ["a", "b"] });
    await exchangeRun.advance(1);
    t.like(exchangeRun.getResponse(), { kind: "refused", reason: "targets limited", retryAfterMs: 5_000 });
    t.is(exchangeRun.sent.length, 0);
});

test("neither a hedge nor a retry is sent to a limited target", async t => {
    const exchangeRun = run([broken], { targets: 2, limitedTargets: ["b"] });
    await exchangeRun.advance(2_000);
    t.deepEqual(exchangeRun.sent, ["a"]);
    t.is(exchangeRun.countHedges(), 0);
});

test("when no target is reached any more, an idempotent request is stopped for another VM, within the retry budget", async t => {
    const { advance, loseTargets, getResponse, countAborted } = run([noResponse], { route: { maxTargets: 3 } });
    await advance(10);
    loseTargets();
    await advance(0);
    t.deepEqual(getResponse(), { kind: "unreached", maxTargets: 2, mayHaveRun: true });
    t.is(countAborted(), 1);
    const withoutBudget = run([noResponse], { budget: 0 });
    await withoutBudget.advance(10);
    withoutBudget.loseTargets();
    await withoutBudget.advance(0);
    t.is(withoutBudget.getResponse(), undefined);
});

test("a non-idempotent request stays at a target that is not reached any more", async t => {
    const route = { kind: "non-idempotent" } as const;
    const sent = run([noResponse], { route });
    await sent.advance(10);
    sent.loseTargets();
    await sent.advance(0);
    t.is(sent.getResponse(), undefined);
    await sent.advance(1_000);
    t.like(sent.getResponse(), { kind: "failed", statusCode: 504 });
});

// Guards against requests that crash targets after others like them have been refused already.
test("a request that waits, or could be hedged or retried, is not sent any more once it is known to crash targets", async t => {
    const hedged = run([{ ...broken, afterMs: 400 }, ok(10)]);
    hedged.reportCrashes("x", "y", "z");
    await hedged.advance(2_000);
    t.is(hedged.sent.length, 0);
    t.deepEqual(hedged.getResponse(), { kind: "failed", reason: "request crashes targets", statusCode: 502 });
    const retried = run([{ ...broken, afterMs: 50 }, ok(10)]);
    await retried.advance(20);
    retried.reportCrashes("x", "y", "z");
    await retried.advance(2_000);
    t.is(retried.sent.length, 1);
    t.is(retried.countHedges(), 0);
});

// Guards against a request that crashes targets again and again, as some of them fail before they run into the crash.
test("only a success clears the crashes under a request", async t => {
    for (const status of [400, 429, 500, 503]) {
        const failed = run([{ afterMs: 5, result: createResponse({ status }) }], { route: nonIdempotent });
        failed.reportCrashes("x", "y");
        await failed.advance(2_000);
        t.is(failed.countCrashes(), 2, `status ${status}`);
    }
    const served = run([ok(5)], { route: nonIdempotent });
    served.reportCrashes("x", "y");
    await served.advance(2_000);
    t.is(served.countCrashes(), 0);
});

/** A response whose handling throws before the slot is released. */
const unreadable: exchangeFixture.Step = {
    afterMs: 5,
    result: { kind: "response" } as exchangeFixture.Step["result"],
};
const rejected: exchangeFixture.Step = { afterMs: 5, result: new Error("unexpected") };

// Guards against an error that nobody expects and that ends the process, or leaves a request without an end or a slot taken.
for (const [name, steps, options] of [
    ["whose response cannot be handled", [unreadable], {}],
    ["whose attempt rejects", [rejected], {}],
    ["whose loss cannot be recorded", [broken], { hasFaultyLossHandler: true }],
] as const) {
    test(`a request ${name} ends as one that may have run, and its slot is released`, async t => {
        for (const kind of ["idempotent", "non-idempotent"] as const) {
            const exchangeRun = run(steps, { ...options, route: { kind } });
            await exchangeRun.advance(50);
            const response = exchangeRun.getResponse();
            t.deepEqual(response?.kind === "failed" ? response.statusCode : response?.kind, 500);
            t.is(exchangeRun.countErrors(), 1);
            t.is(exchangeRun.countInFlight(), 0);
        }
    });
}

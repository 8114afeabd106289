import test from "ava";
import * as exchangeFixture from "../../testing/routes/exchangeFixture.js";

const { broken, noResponse, ok, refusal, run } = exchangeFixture;
const route = { objectiveMs: 300 };
/** The clock of an exchange begins at this time; its deadline is a second later. */
const startMs = 1_000;

// Guards against requests that wait for a slot until they can no longer be completed, and are then sent and cut off.
test("a request that waits for a slot is refused when too little time is left", async t => {
    const exchange = run([], { targets: 0, route: { ...route, objectiveMs: 900 } });
    await exchange.advance(10);
    t.is(exchange.getResponse(), undefined);
    exchange.drain.start(startMs + 500);
    exchange.drain.check();
    await exchange.advance(0);
    t.like(exchange.getResponse(), { kind: "refused", reason: "shutting down" });
    t.deepEqual(exchange.sent, []);
});

// Guards against second attempts that a VM begins shortly before it stops.
test("a request is not sent again when too little time is left", async t => {
    for (const [step, end] of [
        [refusal, { kind: "refused", reason: "shutting down" }],
        [broken, { kind: "failed", statusCode: 502 }],
    ] as const) {
        const exchange = run([step, ok(10)], { route });
        exchange.drain.start(startMs + 300);
        await exchange.advance(100);
        t.like(exchange.getResponse(), end);
        t.is(exchange.sent.length, 1);
    }
});

test("a request is not hedged when too little time is left, and is completed", async t => {
    const exchange = run([ok(200), noResponse], { route });
    await exchange.advance(10);
    exchange.drain.start(startMs + 250);
    exchange.drain.check();
    await exchange.advance(300);
    t.like(exchange.getResponse(), { kind: "target" });
    t.is(exchange.sent.length, 1);
});

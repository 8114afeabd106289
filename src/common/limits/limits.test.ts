import test from "ava";
import * as ids from "../ids.js";
import * as targetHealth from "../health/targetHealth.js";
import * as adaptiveLimit from "./adaptiveLimit.js";
import * as retryBudget from "./retryBudget.js";
import * as tokenBucket from "./tokenBucket.js";

test("a token bucket never exceeds its burst and never goes negative", t => {
    const rate = { perSecond: 2, burst: 3 };
    const empty = tokenBucket.takeTokens(tokenBucket.createTokenBucket(rate, 0), rate, 3, 0);
    t.truthy(empty);
    if (empty !== undefined) {
        t.is(tokenBucket.takeTokens(empty, rate, 1, 499), undefined);
        t.truthy(tokenBucket.takeTokens(empty, rate, 1, 500));
        t.is(tokenBucket.computeTokens(empty, rate, 60_000), 3);
    }
});

test("retries are limited to 10 % of the calls of the last 10 s, but at least 3 per second", t => {
    let nowMs = 0;
    const budget = retryBudget.createRetryBudget({ scheduler: { now: () => nowMs } });
    const service = ids.toServiceName("bookings");
    const takeAll = (): number => {
        let taken = 0;
        while (taken < 1_000 && budget.takeRetry(service)) {
            taken++;
        }
        return taken;
    };
    t.is(takeAll(), 3, "the floor, without any call");
    for (let call = 0; call < 1_000; call++) {
        budget.recordCall(service);
    }
    t.is(takeAll(), 97, "the floor counts towards the share");
    t.is(takeAll(), 0);
    nowMs = 1_000;
    t.is(takeAll(), 3);
    nowMs = 12_000;
    t.is(takeAll(), 3, "the calls are outside the window");
    t.is(budget.takeRetry(ids.toServiceName("other")), true, "each service has its own budget");
});

test("reported load by other callers lowers the limit, by half at most unless the latency confirms it", t => {
    const counts = { slots: 4, coldSlots: 1 };
    const warm = { ...targetHealth.initialHealth, state: { kind: "warm" } } as const;
    const limits = (isLatencyHigh: boolean): readonly number[] =>
        [0, 1, 2, 3, 9].map(busy => adaptiveLimit.computeLimit(warm, counts, busy, isLatencyHigh, 0));
    t.deepEqual(limits(false), [4, 3, 2, 2, 2]);
    t.deepEqual(limits(true), [4, 3, 2, 1, 1]);
});

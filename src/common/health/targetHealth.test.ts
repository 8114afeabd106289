import test from "ava";
import * as fastCheck from "fast-check";
import * as adaptiveLimit from "../limits/adaptiveLimit.js";
import * as ids from "../ids.js";
import * as routing from "../routing/Types.js";
import * as targetHealth from "./targetHealth.js";
import * as types from "./Types.js";

const counts = { slots: 4, coldSlots: 1 };

const createReport = (state: routing.TargetReport["state"], boot = "b1"): routing.TargetReport => ({
    state,
    busy: undefined,
    boot: ids.toBootId(boot),
});

const reported = (
    state: routing.TargetReport["state"],
    requestedAtMs: number | undefined,
    boot?: string,
): types.HealthEvent => ({ kind: "reported", report: createReport(state, boot), requestedAtMs });

const failed: types.HealthEvent = { kind: "failed", mayEject: true, mayHaveRestarted: false };
const disconnected: types.HealthEvent = { kind: "failed", mayEject: true, mayHaveRestarted: true };

/** Applies events at the given times to the initial health. */
const run = (...steps: readonly (readonly [number, types.HealthEvent])[]): types.TargetHealth =>
    steps.reduce(
        (health, [nowMs, event]) => targetHealth.applyHealthEvent(health, event, nowMs),
        targetHealth.initialHealth,
    );

test("a target is cold before the first contact, and a response without a report does not make it warm", t => {
    t.true(targetHealth.isCold(targetHealth.initialHealth, 0));
    t.true(targetHealth.isCold(run([1, { kind: "answered" }]), 1));
    t.is(run([1, reported("warm", 0)]).state.kind, "warm");
});

test("a warm report requested before a cold report arrived does not raise the limit", t => {
    const cold = [10, reported("cold", 5)] as const;
    t.is(run(cold, [11, reported("warm", 9)]).state.kind, "cold");
    t.is(run(cold, [11, reported("warm", undefined)]).state.kind, "cold");
    t.is(run(cold, [20, reported("warm", 11)]).state.kind, "warming");
});

test("a delayed report from an earlier boot does not raise the limit of the new one", t => {
    const restarted = [[1, reported("warm", 0)] as const, [10, reported("cold", 5, "b2")] as const] as const;
    t.is(run(...restarted, [12, reported("warm", 6, "b1")]).state.kind, "cold");
    t.is(run(...restarted, [12, reported("warm", 6, "b1")]).boot, ids.toBootId("b2"));
    t.is(run(...restarted, [12, reported("draining", 6, "b1")]).state.kind, "cold");
});

test("a target with a new boot id counts as cold, and again after a failure soon afterwards", t => {
    const restarted = run([1, reported("warm", 0)], [10, reported("warm", 5, "b2")]);
    t.deepEqual(restarted.state, { kind: "warming", sinceMs: 10 });
    const warm = targetHealth.applyHealthEvent(restarted, { kind: "warmedUp" }, 1_100);
    t.is(targetHealth.applyHealthEvent(warm, failed, 2_000).state.kind, "cold");
    t.is(targetHealth.applyHealthEvent(warm, failed, 30_000).state.kind, "warm");
});

test("a target that was unreachable for more than 5 s counts as cold", t => {
    const health = run([1, reported("warm", 0)], [100, failed]);
    t.false(targetHealth.isCold(health, 5_000));
    t.true(targetHealth.isCold(health, 5_101));
    t.is(targetHealth.applyHealthEvent(health, { kind: "answered" }, 5_101).state.kind, "cold");
    t.is(adaptiveLimit.computeLimit(health, counts, 0, false, 5_101), 1);
});

// Guards against sending a full share of calls to a crashed target that has restarted cold but not reported it yet.
test("a target whose connection broke counts as cold until a later report says that it is warm", t => {
    const broken = run([1, reported("warm", 0)], [100, disconnected]);
    t.true(targetHealth.isCold(broken, 100));
    const beforeBreak = targetHealth.applyHealthEvent(broken, reported("warm", 99), 101);
    t.true(
        targetHealth.isCold(beforeBreak, 101),
        "a report requested before the connection broke says nothing about the new process",
    );
    const answered = targetHealth.applyHealthEvent(broken, { kind: "answered" }, 200);
    t.is(targetHealth.applyHealthEvent(answered, reported("warm", 150), 200).state.kind, "warm");
    const restarted = targetHealth.applyHealthEvent(answered, reported("warm", 150, "b2"), 200);
    t.is(restarted.state.kind, "warming");
});

// Guards against giving a restarted target the limit of its earlier warm-up, at which the second call overloaded it.
test("a target that closes its connections while warming up is cold again", t => {
    const warming = run([1, reported("cold", 0)], [10, reported("warm", 5)]);
    const closed = targetHealth.applyHealthEvent(warming, { kind: "disconnected" }, 600);
    t.is(closed.state.kind, "cold");
    t.is(adaptiveLimit.computeLimit(closed, counts, 0, false, 600), 1);
    const warm = run([1, reported("warm", 0)]);
    t.true(targetHealth.isCold(targetHealth.applyHealthEvent(warm, { kind: "disconnected" }, 2), 2));
});

test("three failures eject a target if allowed, and each failure after an ejection doubles the time", t => {
    const warm = [1, reported("warm", 0)] as const;
    const ejected = run(warm, [2, failed], [3, failed], [4, failed]);
    t.deepEqual(ejected.state, { kind: "ejected", untilMs: 504, times: 1 });
    t.is(adaptiveLimit.computeLimit(ejected, counts, 0, false, 503), 0);
    t.is(adaptiveLimit.computeLimit(ejected, counts, 0, false, 504), 1);
    const early = targetHealth.applyHealthEvent(ejected, failed, 100);
    t.deepEqual(early.state, ejected.state, "a call from before the ejection does not extend it");
    t.deepEqual(targetHealth.applyHealthEvent(ejected, failed, 600).state, {
        kind: "ejected",
        untilMs: 1_600,
        times: 2,
    });
    t.is(targetHealth.applyHealthEvent(ejected, { kind: "answered" }, 600).state.kind, "warm");
    const kept: types.HealthEvent = { kind: "failed", mayEject: false, mayHaveRestarted: false };
    t.is(run(warm, [2, kept], [3, kept], [4, kept], [5, kept]).state.kind, "warm");
});

test("after a warm report the limit doubles every 500 ms; after slowness it grows by a slot per 200 ms", t => {
    const limits = (health: types.TargetHealth, times: readonly number[]): readonly number[] =>
        times.map(nowMs => adaptiveLimit.computeLimit(health, counts, 0, false, nowMs));
    t.deepEqual(
        limits(run([1, reported("cold", 0)], [10, reported("warm", 5)]), [10, 509, 510, 1_010, 9_999]),
        [1, 1, 2, 4, 4],
    );
    const slow = run([1, reported("warm", 0)], [2, { kind: "compared", ratio: 3.1 }]);
    t.deepEqual(limits(slow, [2, 10_000]), [1, 1]);
    t.is(targetHealth.applyHealthEvent(slow, { kind: "compared", ratio: 1.6 }, 3).state.kind, "slow");
    const recovered = targetHealth.applyHealthEvent(slow, { kind: "compared", ratio: 1.4 }, 1_000);
    t.deepEqual(limits(recovered, [1_000, 1_200, 1_400, 1_600, 9_999]), [1, 2, 3, 4, 4]);
});

const anyEvent: fastCheck.Arbitrary<types.HealthEvent> = fastCheck.oneof(
    fastCheck.record({
        kind: fastCheck.constant("reported" as const),
        report: fastCheck.record({
            state: fastCheck.constantFrom("cold" as const, "warm" as const, "draining" as const),
            busy: fastCheck.constant(undefined),
            boot: fastCheck.constantFrom(undefined, ids.toBootId("b1"), ids.toBootId("b2")),
        }),
        requestedAtMs: fastCheck.option(fastCheck.nat(20_000), { nil: undefined }),
    }),
    fastCheck.constant({ kind: "answered" as const }),
    fastCheck.constant({ kind: "probed" as const }),
    fastCheck.record({
        kind: fastCheck.constant("failed" as const),
        mayEject: fastCheck.boolean(),
        mayHaveRestarted: fastCheck.boolean(),
    }),
    fastCheck.record({ kind: fastCheck.constant("compared" as const), ratio: fastCheck.double({ min: 0, max: 9 }) }),
    fastCheck.constant({ kind: "warmedUp" as const }),
);

test("in no sequence of events does the limit exceed the slots, or the cold slots of a cold target", t => {
    const step = fastCheck.tuple(fastCheck.nat(3_000), anyEvent);
    fastCheck.assert(
        fastCheck.property(fastCheck.array(step), fastCheck.nat(8), fastCheck.boolean(), (steps, busy, isHigh) => {
            let health = targetHealth.initialHealth;
            let nowMs = 0;
            for (const [passedMs, event] of steps) {
                nowMs += passedMs;
                health = targetHealth.applyHealthEvent(health, event, nowMs);
                const limit = adaptiveLimit.computeLimit(health, counts, busy, isHigh, nowMs);
                const most = targetHealth.isCold(health, nowMs) ? counts.coldSlots : counts.slots;
                t.true(limit >= 0 && limit <= most);
                t.true(health.state.kind !== "draining" || limit === 0);
            }
        }),
        { seed: 11, numRuns: 300 },
    );
});

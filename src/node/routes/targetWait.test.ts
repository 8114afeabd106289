import test from "ava";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as targetWait from "./targetWait.js";

const reservation: targetPool.Reservation = {
    registration: fixture.createRegistration("t1"),
    inputs: {
        expectedMs: 1,
        inFlight: 0,
        slowdown: 1,
        reportAgeMs: 0,
        candidates: 1,
        limitPerSecond: undefined,
    },
    finish: () => undefined,
};

/** Waits for a target that takes requests from `openAtMs` on. */
const wait = (openAtMs: number, maxWaitMs: number) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    let end: { readonly kind: string | undefined; readonly atMs: number } | undefined;
    void targetWait
        .waitForTarget({
            queue: admissionQueue.createAdmissionQueue<targetPool.PickResult>(scheduler),
            scheduler,
            service: fixture.service,
            priority: 1,
            maxWaitMs,
            signal: new AbortController().signal,
            pick: () => {
                const waitMs = openAtMs - scheduler.now();
                return waitMs > 0 ? { kind: "limited", waitMs, retryAfterMs: waitMs } : { kind: "target", reservation };
            },
        })
        .then(result => (end = { kind: result?.kind, atMs: scheduler.now() }));
    return { advance: scheduler.advance, getEnd: () => end };
};

// Guards against requests that wait for the end of their longest wait although a limited target takes one before.
test("a request is sent as soon as a limit or a pause lets it through", async t => {
    const { advance, getEnd } = wait(30, 100);
    await advance(25);
    t.is(getEnd(), undefined);
    await advance(10);
    t.is(getEnd()?.kind, "target");
});

test("a request is refused at once if no target takes it before the end of its wait", async t => {
    const { advance, getEnd } = wait(130, 100);
    await advance(0);
    t.deepEqual(getEnd(), { kind: "limited", atMs: 0 });
});

import test from "ava";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as storeOutage from "./storeOutage.js";

const bounds = { heartbeatMs: 1_500, contactMs: 3_000 };

const createSetup = () => {
    const scheduler = virtualScheduler.createVirtualScheduler(10_000);
    const outage = storeOutage.createStoreOutage({ clock: scheduler, getBounds: () => bounds });
    /** Calls fail at once, each after a delay. */
    const fail = async (...delaysMs: readonly number[]): Promise<void> => {
        for (const delayMs of delaysMs) {
            await scheduler.advance(delayMs);
            outage.recordFailure(scheduler.now());
        }
    };
    return { scheduler, outage, fail };
};

// Guards against one failed call that makes removals count as expiries, so that targets that left stay in use.
test("a call that fails once is no outage, however late the next one succeeds", async t => {
    const { scheduler, outage, fail } = createSetup();
    await fail(0);
    await scheduler.advance(5_000);
    t.is(outage.recordSuccess(), undefined);
    t.is(outage.computeLapseMs(), 0);
});

test("calls that fail for less than a heartbeat are no outage", async t => {
    const { scheduler, outage, fail } = createSetup();
    await fail(0, 250, 500);
    await scheduler.advance(700);
    t.is(outage.recordSuccess(), undefined);
    t.is(outage.computeLapseMs(), 0);
});

test("a success between two failed calls is the end of the first", async t => {
    const { scheduler, outage, fail } = createSetup();
    await fail(0, 250);
    t.is(outage.recordSuccess(), undefined);
    await fail(2_000);
    await scheduler.advance(500);
    t.is(outage.recordSuccess(), undefined);
});

test("after an outage, rows that disappear may have expired until targets have registered again", async t => {
    const { scheduler, outage, fail } = createSetup();
    await fail(0, 250, 500, 1_000, 1_000, 1_000);
    await scheduler.advance(200);
    t.deepEqual(outage.recordSuccess(), { durationMs: 3_950, lapseMs: storeOutage.expiryGraceMs });
    await scheduler.advance(1_000);
    t.is(outage.computeLapseMs(), storeOutage.expiryGraceMs - 1_000);
    await scheduler.advance(2_000);
    t.is(outage.computeLapseMs(), 0);
});

// Guards against a VM that was cut off, reads late, and is in touch again while it uses targets that left meanwhile.
test("expired rows are out of use before a VM must act on what the store confirmed", async t => {
    const { scheduler, outage, fail } = createSetup();
    await fail(0, 1_250, 2_000, 2_000);
    const endedAtMs = scheduler.now();
    await scheduler.advance(1_900);
    t.not(outage.recordSuccess(), undefined);
    t.true(outage.computeLapseMs() > 0);
    await scheduler.advance(endedAtMs + bounds.contactMs - scheduler.now() - 1);
    t.is(outage.computeLapseMs(), 0);
});

import test from "ava";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as startupWait from "./startupWait.js";

const track = (waited: Promise<void>): { isOver: boolean } => {
    const state = { isOver: false };
    void waited.then(() => (state.isOver = true));
    return state;
};
const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

// Guards against clients that lose a retry because they come back milliseconds before the configuration does.
test("after a restart of all VMs, requests wait for the configuration instead of being refused", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const wait = startupWait.createStartupWait(scheduler);
    const first = track(wait.wait(new AbortController().signal));
    await scheduler.advance(100);
    await settle();
    t.false(first.isOver);
    wait.finish();
    await settle();
    t.true(first.isOver);
    const later = track(wait.wait(new AbortController().signal));
    await settle();
    t.true(later.isOver);
});

// Guards against requests that are held until their deadline at a VM which reaches neither a hub nor the store.
test("a wait without a configuration ends after a bounded time, or when the client leaves", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const wait = startupWait.createStartupWait(scheduler);
    const client = new AbortController();
    const left = track(wait.wait(client.signal));
    const held = track(wait.wait(new AbortController().signal));
    client.abort();
    await settle();
    t.true(left.isOver);
    t.false(held.isOver);
    await scheduler.advance(250);
    await settle();
    t.true(held.isOver);
});

// Guards against memory that grows with the requests of clients that press on a VM which has just started.
test("requests beyond a bounded number do not wait", async t => {
    const wait = startupWait.createStartupWait(virtualScheduler.createVirtualScheduler());
    const waits = Array.from({ length: 501 }, () => track(wait.wait(new AbortController().signal)));
    await settle();
    t.is(waits.filter(({ isOver }) => isOver).length, 1);
    t.true(waits.at(-1)?.isOver);
});

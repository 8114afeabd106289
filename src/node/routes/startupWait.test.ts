import test from "ava";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as startupWait from "./startupWait.js";

const createWait = () => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const wait = startupWait.createStartupWait({ scheduler, logger: silentLogger.createSilentLogger() });
    const start = (fields: { readonly bytes?: number; readonly clientTimeoutMs?: number } = {}) => {
        const client = new AbortController();
        const state: { end: startupWait.WaitEnd | undefined } = { end: undefined };
        const request = { body: Buffer.alloc(fields.bytes ?? 0), receivedAtMs: 0, signal: client.signal };
        void wait
            .wait({ id: "r1", clientTimeoutMs: fields.clientTimeoutMs, request })
            .then(result => (state.end = result));
        return { client, getEnd: () => state.end };
    };
    return { scheduler, wait, start };
};

// Guards against clients that lose a retry because they come back milliseconds before the configuration does.
test("after a restart of all VMs, requests wait for the configuration instead of being refused", async t => {
    const { scheduler, wait, start } = createWait();
    const first = start();
    await scheduler.advance(100);
    t.is(first.getEnd(), undefined);
    wait.recordTargets();
    wait.recordConfiguration();
    await scheduler.advance(0);
    t.is(first.getEnd(), "started");
    const later = start();
    await scheduler.advance(0);
    t.is(later.getEnd(), "started");
});

// Guards against requests that are refused after a quarter of their objective, as the targets arrive after the configuration.
test("requests also wait for the targets, for a bounded time after the configuration", async t => {
    const { scheduler, wait, start } = createWait();
    const first = start();
    wait.recordConfiguration();
    await scheduler.advance(50);
    t.is(first.getEnd(), undefined);
    wait.recordTargets();
    await scheduler.advance(0);
    t.is(first.getEnd(), "started");

    const without = createWait();
    without.wait.recordConfiguration();
    await without.scheduler.advance(200);
    const second = without.start();
    await without.scheduler.advance(50);
    t.is(second.getEnd(), "started");
});

// Guards against requests that are held until their deadline at a VM which reaches neither a hub nor the store.
test("a wait without a configuration ends after a bounded time, or when the client leaves", async t => {
    const { scheduler, start } = createWait();
    const left = start();
    const held = start();
    left.client.abort();
    await scheduler.advance(0);
    t.is(left.getEnd(), "left");
    t.is(held.getEnd(), undefined);
    await scheduler.advance(250);
    t.is(held.getEnd(), "timeout");
});

// Guards against a wait that begins anew with the request: its body may have arrived long after its head.
test("a wait ends at the deadline of the client, which counts from the arrival of the request", async t => {
    const { scheduler, start } = createWait();
    await scheduler.advance(100);
    const request = start({ clientTimeoutMs: 150 });
    const late = start({ clientTimeoutMs: 50 });
    await scheduler.advance(0);
    t.is(late.getEnd(), "timeout");
    await scheduler.advance(49);
    t.is(request.getEnd(), undefined);
    await scheduler.advance(1);
    t.is(request.getEnd(), "timeout");
});

// Guards against memory that grows with the requests of clients that press on a VM which has just started.
test("requests beyond a bounded number, and bodies beyond a bounded size, do not wait", async t => {
    const many = createWait();
    const requests = Array.from({ length: 501 }, () => many.start());
    await many.scheduler.advance(0);
    t.is(requests.filter(({ getEnd }) => getEnd() === "full").length, 1);
    t.is(requests.at(-1)?.getEnd(), "full");

    const large = createWait();
    const megabytes = 1024 * 1024;
    const first = large.start({ bytes: 10 * megabytes });
    const second = large.start({ bytes: 10 * megabytes });
    await large.scheduler.advance(0);
    t.is(first.getEnd(), undefined);
    t.is(second.getEnd(), "full");
    first.client.abort();
    await large.scheduler.advance(0);
    const third = large.start({ bytes: 10 * megabytes });
    await large.scheduler.advance(0);
    t.is(third.getEnd(), undefined);
});

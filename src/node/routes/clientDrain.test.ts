import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as clientDrain from "./clientDrain.js";

const startDrain = (times: { readonly graceMs: number; readonly longestLookupMs: number }, connections: number) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const state: { open: number; cutOff: number; closedAtMs: number | undefined; endedAtMs: number | undefined } = {
        open: connections,
        cutOff: 0,
        closedAtMs: undefined,
        endedAtMs: undefined,
    };
    const frontend = {
        startDraining: () => undefined,
        refuseLate: () => undefined,
        recordCutOff: () => (state.cutOff = state.open),
        closeIdle: () => (state.closedAtMs ??= scheduler.now()),
        countConnections: () => state.open,
    };
    const drain = fixture.createDrainControl(scheduler);
    void clientDrain
        .drainClients({ frontend, drain, scheduler, ...times })
        .then(() => (state.endedAtMs = scheduler.now()));
    return { scheduler, state };
};

// Guards against a VM that is stopped soon after its start and refuses clients which other VMs have directed to it: the
// lifetime of its own first lookup responses is shorter than that of the responses of other VMs.
test("clients are accepted for as long as the lookup responses of any VM may name this one", async t => {
    const { scheduler, state } = startDrain({ graceMs: 60_000, longestLookupMs: 5_000 }, 0);
    await scheduler.advance(60_000);
    t.is(state.closedAtMs, 9_000);
    const short = startDrain({ graceMs: 6_000, longestLookupMs: 5_000 }, 0);
    await short.scheduler.advance(6_000);
    t.is(short.state.closedAtMs, 3_000);
    t.is(short.state.endedAtMs, 3_000);
});

// Guards against a process that ends with the platform's kill, under the last requests of its clients.
test("the drain ends before the grace period does, also if connections stay open", async t => {
    const { scheduler, state } = startDrain({ graceMs: 6_000, longestLookupMs: 1_000 }, 1);
    await scheduler.advance(6_000);
    t.is(state.closedAtMs, 3_000);
    t.is(state.endedAtMs, 5_500);
    t.is(state.cutOff, 1);
});

import test from "ava";
import * as ids from "../../common/ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as vmRole from "./vmRole.js";

const createRole = (vm: string, fields: Partial<vmRole.VmRoleOptions> = {}) => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const peers = [
        fixture.createPeer("hub"),
        fixture.createPeer("active", { startedAtMs: 2 }),
        fixture.createPeer("standby", { startedAtMs: 3 }),
    ];
    let lists = 0;
    const role = vmRole.createVmRole({
        logger: silentLogger.createSilentLogger(),
        vm: ids.toVmId(vm),
        clock: scheduler,
        isConnected: () => true,
        listPeers: () => {
            lists++;
            return peers;
        },
        countKnownPeers: () => 3,
        getPlan: () => [],
        getZoneSlots: () => new Map(),
        computeRequestRate: () => 50,
        ...fields,
    });
    return { scheduler, role, countLists: () => lists };
};

test("only an active VM with requests probes", t => {
    t.true(createRole("active").role.mayProbe(fixture.zone));
    t.true(createRole("active").role.mayProbe(fixture.otherZone));
    t.false(createRole("standby").role.mayProbe(fixture.zone));
    t.false(createRole("active", { computeRequestRate: () => 0 }).role.mayProbe(fixture.zone));
});

test("the VMs' shares of the extra retries add up to less than the whole", t => {
    const shares = ["hub", "active", "standby"].map(vm => createRole(vm).role.computeExtraRetryShare());
    t.true(shares.reduce((sum, share) => sum + share, 0) < 1);
    t.true(createRole("active", { isConnected: () => false }).role.computeExtraRetryShare() < 0.2);
});

test("the peers are sorted at intervals, not on each call", async t => {
    const { role, scheduler, countLists } = createRole("active");
    for (let count = 0; count < 1_000; count++) {
        role.mayProbe(fixture.zone);
    }
    t.is(countLists(), 1);
    await scheduler.advance(100);
    role.listActiveVms();
    t.is(countLists(), 2);
});

test("planned VMs are active; without one that serves, VMs are selected by cores", t => {
    const peers = ["hub", "strong", "planned"].map((vm, index) =>
        fixture.createPeer(vm, { startedAtMs: index, cores: index === 1 ? 2 : 1, demand: [] }),
    );
    const listActive = (plan: readonly string[]): readonly string[] =>
        createRole("hub", { listPeers: () => peers, getPlan: () => plan.map(ids.toVmId) })
            .role.listActiveVms()
            .map(({ vm }) => vm);
    t.deepEqual(listActive(["planned"]), ["planned"]);
    t.deepEqual(listActive(["gone"]), listActive([]));
});

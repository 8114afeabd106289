import test from "ava";
import * as activeVmPlan from "../../common/routes/activeVmPlan.js";
import * as shared from "../../common/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as membershipFixture from "../../testing/routes/membershipFixture.js";

const { acquirePorts, createStore, startVm, waitUntil } = membershipFixture;
const zones = [fixture.zone, fixture.otherZone] as const;
const targets = Array.from({ length: 40 }, (_value, index) =>
    fixture.createRegistration(`t${index}`, { zone: zones[index % 2] ?? fixture.zone }),
);

// Guards against VMs that disagree on the active VMs, also after the hub that has planned them is lost.
test("VMs adopt the plan of their hub, keep it under the next one, and leave an evacuated zone", async t => {
    const store = createStore();
    // Active VMs are planned only where responses are large.
    store.setRoutes([fixture.createRoute({ kind: "download" })]);
    const ports = await acquirePorts(5);
    const outZones = new Set<shared.ZoneName>();
    const countServiceTargets = () => activeVmPlan.countTargets(targets, zone => outZones.has(zone));
    const vms: Awaited<ReturnType<typeof startVm>>[] = [];
    for (const [index, port] of ports.entries()) {
        const zone = zones[index % 2] ?? fixture.zone;
        const demand = [{ service: fixture.service, perSecond: 30, bytes: 50_000, workMs: 50 }];
        const lookups = [[zone, 5]] as const;
        vms.push(
            await startVm(`vm-${index}`, {
                ...{ store, port, seeds: ports.slice(0, 2), zone, lookups, countServiceTargets },
                demand: index >= 3 ? demand : [],
            }),
        );
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    const getZones = (vm: (typeof vms)[number]): string => {
        const peers = vm.member.listPeers();
        const active = activeVmPlan.selectPlannedVms(peers, vm.member.getPlan()) ?? [];
        return [...new Set(active.map(({ zone }) => zone))].sort().join(" ");
    };
    const both = [...zones].sort().join(" ");
    t.true(await waitUntil(() => vms.every(vm => getZones(vm) === both)));
    t.is(new Set(vms.map(vm => vm.member.getPlan().join(" "))).size, 1);
    const [hub, ...remaining] = vms;
    const before = remaining[0]?.member.getPlan();
    hub?.member.dispose();
    t.true(await waitUntil(() => remaining.every(vm => vm.member.listPeers().length === 4)));
    t.deepEqual(remaining[0]?.member.getPlan(), before);
    outZones.add(fixture.otherZone);
    t.true(await waitUntil(() => remaining.every(vm => getZones(vm) === fixture.zone)));
    remaining.forEach(vm => vm.member.dispose());
});

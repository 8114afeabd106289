import test from "ava";
import * as ids from "../ids.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as activeVmPlan from "./activeVmPlan.js";
import * as activeVmPlanner from "./activeVmPlanner.js";
import * as types from "./Types.js";

const zones = ["a", "b", "c"].map(ids.toZoneName);
const [zoneA, zoneB, zoneC] = zones as [types.Peer["zone"], types.Peer["zone"], types.Peer["zone"]];

interface Kind {
    readonly service: string;
    readonly perSecond: number;
    readonly bytes: number;
    readonly workMs: number;
    /** Targets of the service over all zones. */
    readonly targets: number;
    readonly slots: number;
}

interface Deployment {
    readonly kinds: readonly Kind[];
    readonly vms: readonly { readonly cores: number; readonly linkMbps?: number }[];
}

/** The ordering gateway: 45 VMs, downloads of 90 KB; links of 9.8 to 140 Mbit/s. */
const ordering: Deployment = {
    kinds: [
        { service: "khoolnii-menu", perSecond: 256, bytes: 2_000, workMs: 75.9, targets: 79, slots: 2 },
        { service: "zakhialga", perSecond: 111, bytes: 2_000, workMs: 99.8, targets: 44, slots: 2 },
        { service: "tootsoo-desk", perSecond: 44.2, bytes: 90_000, workMs: 59.9, targets: 11, slots: 2 },
        { service: "khurgelt-track", perSecond: 69.9, bytes: 2_000, workMs: 29.5, targets: 8, slots: 2 },
    ],
    vms: Array.from({ length: 45 }, (_value, index) => ({
        cores: index % 5 === 0 ? 1.35 : 0.675,
        linkMbps: [140, 9.8, 60][index % 3] ?? 140,
    })),
};

/** The first deployments (docs/design.md, 1.3): 180 requests per second in all, responses of 1 to 40 KB. */
const createSmall = (
    vms: number,
    targets: readonly number[],
    slots: number,
    bytes: readonly number[],
    workMs: number,
): Deployment => ({
    kinds: [90, 60, 30].map((perSecond, index) => ({
        ...{ service: `service-${index}`, perSecond, bytes: bytes[index] ?? 0, workMs },
        ...{ targets: targets[index] ?? 0, slots },
    })),
    vms: Array.from({ length: vms }, (_value, index) => ({ cores: index < 4 ? 1 : 0.5, linkMbps: 100 })),
});

/** Targets spread evenly over the zones. */
const createTargets = (deployment: Deployment): types.Registration[] =>
    deployment.kinds.flatMap(({ service, targets, slots }) =>
        Array.from({ length: targets }, (_value, index) =>
            fixture.createRegistration(`${service}-${index}`, {
                ...{ service: ids.toServiceName(service), slots },
                zone: zones[index % zones.length] ?? zoneA,
            }),
        ),
    );

/** The first VM reports the demand of all. */
const createPeers = (deployment: Deployment): types.Peer[] =>
    deployment.vms.map((vm, index) =>
        fixture.createPeer(`vm-${index}`, {
            ...vm,
            startedAtMs: index,
            zone: zones[Math.floor(index / 2) % zones.length] ?? zoneA,
            requestsPerSecond: index === 0 ? deployment.kinds.reduce((sum, kind) => sum + kind.perSecond, 0) : 0,
            demand:
                index === 0
                    ? deployment.kinds.map(({ service, perSecond, bytes, workMs }) => ({
                          ...{ service: ids.toServiceName(service), perSecond, bytes, workMs },
                      }))
                    : [],
        }),
    );

const evenShares: activeVmPlan.ClientShares = new Map(zones.map(zone => [zone, 1 / zones.length]));

const createInput = (
    deployment: Deployment,
    fields: Partial<activeVmPlan.PlanInput> & { readonly out?: readonly types.Peer["zone"][] } = {},
): activeVmPlan.PlanInput => ({
    peers: createPeers(deployment),
    targets: activeVmPlan.countTargets(createTargets(deployment), zone => fields.out?.includes(zone) === true),
    clientShares: evenShares,
    current: [],
    ...fields,
});

const computeResult = (input: activeVmPlan.PlanInput) => {
    const result = activeVmPlan.computePlan(input);
    const vms = result.kind === "planned" ? result.vms : [];
    const peers = input.peers.filter(({ vm }) => vms.includes(vm));
    return { result, vms, peers, zones: [...new Set(peers.map(({ zone }) => zone))].sort() };
};

test("the ordering gateway gets an active VM in each calm zone, on links that carry its downloads", t => {
    const planned = computeResult(createInput(ordering));
    t.deepEqual(planned.zones, zones);
    t.is(planned.peers.length, 3);
    t.true(planned.peers.every(({ linkMbps = 0 }) => linkMbps >= 60));
});

// Guards against the result of the trial with an active VM in every zone, 0.338 instead of 0.46: all that a VM in an
// evacuated zone does crosses zones.
test("an evacuated zone gets no active VM, and one again when it returns", t => {
    const calm = computeResult(createInput(ordering));
    const one = computeResult(createInput(ordering, { out: [zoneB], current: calm.vms }));
    t.deepEqual(one.zones, [zoneA, zoneC]);
    const two = computeResult(createInput(ordering, { out: [zoneB, zoneC], current: one.vms }));
    t.deepEqual(two.zones, [zoneA]);
    // Without a plan before, the selection by cores would put downloads on a link of 9.8 Mbit/s.
    t.deepEqual(computeResult(createInput(ordering, { out: [zoneB, zoneC] })).zones, [zoneA]);
    t.deepEqual(computeResult(createInput(ordering, { current: two.vms })).zones, zones);
});

// Guards against a loss on the deployments in service, where the counts of one VM are worth more than the bytes.
test("the first deployments keep one active VM, selected by cores", t => {
    for (const bytes of [
        [1_000, 10_000, 40_000],
        [1_000, 5_000, 20_000],
        [2_000, 2_000, 2_000],
    ]) {
        for (const workMs of [50, 100, 200]) {
            for (const deployment of [
                createSmall(13, [10, 10, 6], 4, bytes, workMs),
                createSmall(18, [20, 12, 6], 2, bytes, workMs),
            ]) {
                t.like(computeResult(createInput(deployment)).result, { kind: "planned", vms: [] });
            }
        }
    }
});

// Guards against VMs that follow different rules while a deployment is updated.
test("without the reports of all VMs, or without the clients' zones, nothing is planned", t => {
    const input = createInput(ordering);
    const [old, ...others] = input.peers;
    const withoutDemand = fixture.createPeer("old", { zone: old?.zone ?? zoneA });
    t.is(computeResult({ ...input, peers: [withoutDemand, ...others] }).result.kind, "unknown");
    t.is(computeResult({ ...input, clientShares: undefined }).result.kind, "unknown");
    t.is(computeResult({ ...input, peers: input.peers.map(peer => ({ ...peer, demand: [] })) }).result.kind, "unknown");
    const { vms } = computeResult(input);
    t.is(activeVmPlan.selectPlannedVms(input.peers, vms)?.length, 3);
    t.is(activeVmPlan.selectPlannedVms([withoutDemand, ...others], vms), undefined);
});

// Guards against downloads of 90 KB on a link of 10 Mbit/s, which carries 14 of them per second.
test("a zone whose links cannot carry its downloads gets no active VM, however many cores are there", t => {
    const input = createInput(ordering);
    const peers = input.peers.map(peer =>
        peer.zone === zoneB ? { ...peer, cores: 4, linkMbps: 10 } : { ...peer, linkMbps: 140 },
    );
    // Several slow links would do by their sum, but the exactness of their VMs is worth more.
    const planned = computeResult({ ...input, peers });
    t.true(planned.vms.length > 0);
    t.true(planned.peers.every(({ linkMbps }) => linkMbps === 140));
    const slow = input.peers.map(peer => ({ ...peer, linkMbps: 10 }));
    const onSlowLinks = computeResult({ ...input, peers: slow.slice(0, 6) });
    t.deepEqual(onSlowLinks.vms, []);
});

// Guards against clients that are moved to and fro.
test("a plan stays while demand swings by half between zones, and while a VM of equal capacity joins", t => {
    const calm = computeResult(createInput(ordering));
    for (const swing of [-0.5, -0.2, 0.2, 0.5]) {
        const shares = new Map([
            [zoneA, (1 + swing) / 3],
            [zoneB, (1 - swing) / 3],
            [zoneC, 1 / 3],
        ]);
        t.deepEqual(computeResult(createInput(ordering, { clientShares: shares, current: calm.vms })).vms, calm.vms);
    }
    const input = createInput(ordering, { current: calm.vms });
    const first = calm.peers[0] ?? fixture.createPeer("none");
    const joined = { ...first, vm: ids.toVmId("joined"), startedAtMs: 0, demand: [] };
    t.deepEqual(computeResult({ ...input, peers: [joined, ...input.peers] }).vms, calm.vms);
});

test("a planned VM that is lost, leaves or reaches no target is replaced in its zone", t => {
    const calm = computeResult(createInput(ordering));
    const [lost] = calm.vms;
    const input = createInput(ordering, { current: calm.vms });
    const replaced: readonly types.Peer[][] = [
        input.peers.filter(({ vm }) => vm !== lost),
        input.peers.map(peer => (peer.vm === lost ? { ...peer, isReady: false } : peer)),
        input.peers.map(peer => (peer.vm === lost ? { ...peer, isCutOff: true } : peer)),
    ];
    for (const peers of replaced) {
        const planned = computeResult({ ...input, peers });
        t.false(planned.vms.includes(lost ?? ids.toVmId("none")));
        t.deepEqual(planned.zones, zones);
        t.is(activeVmPlan.selectPlannedVms(peers, calm.vms)?.length, 2);
    }
});

test("targets that are draining or in an evacuated zone do not count", t => {
    const targets = [
        fixture.createRegistration("t1", { zone: zoneA }),
        fixture.createRegistration("t2", { zone: zoneA, state: "draining" }),
        fixture.createRegistration("t3", { zone: zoneB }),
    ];
    const counts = activeVmPlan.countTargets(targets, zone => zone === zoneB);
    t.deepEqual([...(counts.get(fixture.service) ?? [])], [[zoneA, { slots: 2, targets: 1 }]]);
});

// Guards against a plan by the first reports after a start, and against one that follows an evacuation late.
test("a better plan is adopted after two seconds, and one that an evacuation requires at once", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const logger = silentLogger.createSilentLogger();
    const planner = activeVmPlanner.createActiveVmPlanner({ clock: scheduler, logger });
    const calm = createInput(ordering);
    t.deepEqual(planner.update(calm), []);
    await scheduler.advance(1_600);
    t.deepEqual(planner.update(calm), []);
    await scheduler.advance(400);
    t.is(planner.update(calm).length, 3);
    const evacuated = planner.update(createInput(ordering, { out: [zoneB] }));
    t.true(calm.peers.filter(({ vm }) => evacuated.includes(vm)).every(({ zone }) => zone !== zoneB));
});

/**
 * Plans active VMs in several zones where that saves more bytes and latency between zones than it loses in exactness. A
 * hub plans for all VMs, so that they agree; without a plan, active VMs are selected by their cores (`activeVmSelection`).
 */
import * as shared from "../Types.js";
import * as activeVmSelection from "./activeVmSelection.js";
import * as peerOrder from "./peerOrder.js";
import * as targetCosts from "./targetCosts.js";
import * as types from "./Types.js";

/**
 * Cost of a request through inexact counts, as a multiple of its time at a target and of the square of active VMs per target of
 * its service: another VM may have taken the target, and no other one may be as good. On the first deployments an active VM
 * in each zone loses; with 12 the plan leaves them alone, also with half of the usual work, and the ordering gateway is planned
 * (docs/design/active-vms-and-links.md).
 */
const exactnessFactor = 12;
/** A plan replaces another one if it costs less than this part, so that clients are not moved for noise. */
const switchCostShare = 0.85;
/** Part of a zone's slots that serves its own requests; beyond it, requests go to other zones. */
const maxLocalUse = 0.6;
/** Part of a link that is planned for; the rest absorbs bursts. */
const plannedLinkShare = 0.5;
const bytesPerSecondPerMbps = 125_000;
/** Zones that are considered, those with the most slots, as the cost grows with each subset of them. */
const maxZones = 6;
/** Each round may add VMs to a zone, by which the other zones get less. */
const maxRounds = 4;

/** Slots and targets in use of a service, by zone. */
export interface ZoneTargets {
    readonly slots: number;
    readonly targets: number;
}
export type TargetsByService = ReadonlyMap<shared.ServiceName, ReadonlyMap<shared.ZoneName, ZoneTargets>>;

/** Shares of the clients' requests by the clients' zone; they add up to 1. */
export type ClientShares = ReadonlyMap<shared.ZoneName, number>;

export interface PlanInput {
    readonly peers: readonly types.Peer[];
    readonly targets: TargetsByService;
    /** Undefined if not enough is known. */
    readonly clientShares: ClientShares | undefined;
    /** VMs of the plan in force; empty without a plan. */
    readonly current: readonly shared.VmId[];
}

export type PlanResult =
    /** Reports or the clients' zones are not known. */
    | { readonly kind: "unknown" }
    | {
          readonly kind: "planned";
          /** Empty if active VMs are to be selected by their cores. */
          readonly vms: readonly shared.VmId[];
          /** Whether the plan in force cannot be kept, as VMs or the slots of a zone are gone. */
          readonly isUrgent: boolean;
          /**
           * Costs per second, in milliseconds of latency, of the selection by cores (infinite if its links are too slow) and of
           * what is planned.
           */
          readonly costWithoutPlan: number;
          readonly cost: number;
      };

/** Demand for a service over all VMs. */
interface ServiceLoad extends types.ServiceDemand {
    readonly zones: ReadonlyMap<shared.ZoneName, ZoneTargets>;
    readonly targets: number;
}

/**
 * Counts slots and targets in use.
 *
 * @param targets - all targets
 * @param isZoneOut - whether the targets of a zone may not be used
 * @returns the counts, by service and zone
 */
export const countTargets = (
    targets: Iterable<types.Registration>,
    isZoneOut: (zone: shared.ZoneName) => boolean,
): TargetsByService => {
    const services = new Map<shared.ServiceName, Map<shared.ZoneName, ZoneTargets>>();
    for (const { service, zone, slots, state } of targets) {
        if (state === "ready" && !isZoneOut(zone)) {
            const zones = services.get(service) ?? new Map<shared.ZoneName, ZoneTargets>();
            const known = zones.get(zone) ?? { slots: 0, targets: 0 };
            zones.set(zone, { slots: known.slots + slots, targets: known.targets + 1 });
            services.set(service, zones);
        }
    }
    return services;
};

/**
 * Checks whether all VMs that may be active report their demand; VMs of earlier versions do not, and select by cores.
 *
 * @param peers - live VMs
 * @returns true if all do
 */
export const hasAllReports = (peers: readonly types.Peer[]): boolean =>
    peers.every(peer => !peer.isReady || peer.demand !== undefined);

/** Adds up the demand of all VMs; bytes and times are means, weighted by requests. */
const computeDemand = (peers: readonly types.Peer[], targets: TargetsByService): readonly ServiceLoad[] => {
    const sums = new Map<shared.ServiceName, types.ServiceDemand>();
    for (const demand of peers.flatMap(peer => peer.demand ?? [])) {
        const known = sums.get(demand.service) ?? { ...demand, perSecond: 0 };
        const perSecond = known.perSecond + demand.perSecond;
        const computeMean = (left: number, right: number): number =>
            (left * known.perSecond + right * demand.perSecond) / perSecond;
        sums.set(demand.service, {
            service: demand.service,
            perSecond,
            bytes: computeMean(known.bytes, demand.bytes),
            workMs: computeMean(known.workMs, demand.workMs),
        });
    }
    return [...sums.values()].flatMap(sum => {
        const zones = targets.get(sum.service);
        const count = [...(zones?.values() ?? [])].reduce((total, zone) => total + zone.targets, 0);
        return zones === undefined || count === 0 || sum.perSecond <= 0 ? [] : { ...sum, zones, targets: count };
    });
};

const computeSum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

/** Share of all requests that arrives at each zone's active VMs. */
const computeZoneShares = (vms: readonly types.Peer[], clients: ClientShares): Map<shared.ZoneName, number> => {
    const shares = new Map<shared.ZoneName, number>();
    for (const [zone, share] of clients) {
        const picked = activeVmSelection.pickActiveVms(vms, zone);
        for (const vm of picked) {
            shares.set(vm.zone, (shares.get(vm.zone) ?? 0) + share / picked.length);
        }
    }
    return shares;
};

/** Share of the clients whose requests go to an active VM in another zone. */
const computeCrossingShare = (vms: readonly types.Peer[], clients: ClientShares): number =>
    computeSum(
        [...clients].map(([zone, share]) => {
            const picked = activeVmSelection.pickActiveVms(vms, zone);
            return (share * picked.filter(vm => vm.zone !== zone).length) / Math.max(1, picked.length);
        }),
    );

/** Part of a service's requests at a zone's active VMs that finds slots in that zone. */
const computeLocalShare = (load: ServiceLoad, zone: shared.ZoneName, share: number): number => {
    const usedSlots = (load.perSecond * share * load.workMs) / 1_000;
    const localSlots = (load.zones.get(zone)?.slots ?? 0) * maxLocalUse;
    return usedSlots <= localSlots ? 1 : localSlots / usedSlots;
};

const computeCost = (vms: readonly types.Peer[], loads: readonly ServiceLoad[], clients: ClientShares): number => {
    const zoneShares = computeZoneShares(vms, clients);
    const clientCrossing = computeCrossingShare(vms, clients);
    return computeSum(
        loads.map(load => {
            const targetCrossing = computeSum(
                [...zoneShares].map(([zone, share]) => share * (1 - computeLocalShare(load, zone, share))),
            );
            const crossingMs = (clientCrossing + targetCrossing) * targetCosts.computeCrossingMs(load.bytes);
            const exactnessMs = exactnessFactor * load.workMs * (vms.length / load.targets) ** 2;
            return load.perSecond * (crossingMs + exactnessMs);
        }),
    );
};

/** Requests per second with which a VM's link is full. */
const computeLinkCapacity = (peer: types.Peer, meanBytes: number): number =>
    ((peer.linkMbps ?? Infinity) * bytesPerSecondPerMbps) / Math.max(1, meanBytes);

/** Requests per second that a VM is planned to handle, by its cores and its link. */
const computeCapacity = (peer: types.Peer, meanBytes: number): number =>
    Math.min(activeVmSelection.computeCapacity(peer), computeLinkCapacity(peer, meanBytes) * plannedLinkShare);

interface ActiveVms {
    readonly vms: readonly types.Peer[];
    /** Per second, in milliseconds of latency. */
    readonly cost: number;
}

interface PlanContext {
    readonly usable: readonly types.Peer[];
    readonly hub: types.Peer | undefined;
    readonly clients: ClientShares;
    readonly perSecond: number;
    readonly meanBytes: number;
    readonly current: ReadonlySet<shared.VmId>;
}

/** Lists the VMs of a zone, the best first: the hub last, then by capacity as far as it is needed, then those in use. */
const listZoneVms = (context: PlanContext, zone: shared.ZoneName, perSecond: number): readonly types.Peer[] => {
    const getCapacity = (peer: types.Peer): number => Math.min(computeCapacity(peer, context.meanBytes), perSecond * 2);
    return context.usable
        .filter(peer => peer.zone === zone)
        .sort(
            (left, right) =>
                Number(left === context.hub) - Number(right === context.hub) ||
                getCapacity(right) - getCapacity(left) ||
                Number(context.current.has(right.vm)) - Number(context.current.has(left.vm)) ||
                peerOrder.comparePeers(left, right),
        );
};

/** Takes as few VMs of a zone as can handle its requests, which clients spread evenly; undefined if all cannot. */
const takeZoneVms = (
    context: PlanContext,
    zone: shared.ZoneName,
    perSecond: number,
): readonly types.Peer[] | undefined => {
    const vms = listZoneVms(context, zone, perSecond);
    const count = vms.findIndex((vm, index) => computeCapacity(vm, context.meanBytes) * (index + 1) >= perSecond);
    return count < 0 ? undefined : vms.slice(0, count + 1);
};

/** Finds active VMs in exactly these zones; undefined if they cannot handle the requests. */
const findZoneVms = (context: PlanContext, zones: readonly shared.ZoneName[]): readonly types.Peer[] | undefined => {
    let vms: readonly types.Peer[] | undefined;
    let shares = new Map(zones.map(zone => [zone, context.clients.get(zone) ?? 0]));
    for (let round = 0; round < maxRounds; round++) {
        const taken = zones.map(zone => takeZoneVms(context, zone, context.perSecond * (shares.get(zone) ?? 0)));
        if (taken.some(zoneVms => zoneVms === undefined)) {
            return undefined;
        }
        const next = taken.flatMap(zoneVms => zoneVms ?? []);
        const isSettled = vms !== undefined && vms.length === next.length;
        vms = next;
        shares = computeZoneShares(vms, context.clients);
        if (isSettled) {
            return vms;
        }
    }
    return undefined;
};

/** Checks whether each VM has the capacity for its requests. */
const canCarry = (
    context: PlanContext,
    vms: readonly types.Peer[],
    getCapacity: (vm: types.Peer, meanBytes: number) => number,
): boolean => {
    const shares = computeZoneShares(vms, context.clients);
    return vms.every(vm => {
        const count = vms.filter(({ zone }) => zone === vm.zone).length;
        const perSecond = ((shares.get(vm.zone) ?? 0) * context.perSecond) / count;
        return getCapacity(vm, context.meanBytes) >= perSecond;
    });
};

/** Lists the sets of zones with slots, of which at least `minZones` are taken. */
const listZoneSets = (loads: readonly ServiceLoad[], minZones: number): readonly (readonly shared.ZoneName[])[] => {
    const slots = new Map<shared.ZoneName, number>();
    loads.forEach(load => load.zones.forEach((zone, name) => slots.set(name, (slots.get(name) ?? 0) + zone.slots)));
    const zones = [...slots]
        .filter(([, count]) => count > 0)
        .sort(([left, leftSlots], [right, rightSlots]) => rightSlots - leftSlots || (left < right ? -1 : 1))
        .map(([zone]) => zone)
        .slice(0, maxZones);
    const sets = Array.from({ length: 2 ** zones.length }, (_value, bits) =>
        zones.filter((_zone, index) => ((bits >> index) & 1) === 1),
    );
    return sets.filter(set => set.length >= minZones);
};

/**
 * Plans the active VMs.
 *
 * @param input - VMs with their reports, targets, and the clients' zones
 * @returns the plan
 */
export const computePlan = (input: PlanInput): PlanResult => {
    const { peers, clientShares: clients } = input;
    const loads = computeDemand(peers, input.targets);
    const perSecond = computeSum(loads.map(load => load.perSecond));
    const usable = peers.filter(activeVmSelection.canServe);
    if (clients === undefined || !hasAllReports(peers) || perSecond <= 0 || usable.length === 0) {
        return { kind: "unknown" };
    }
    const context: PlanContext = {
        ...{ usable, clients, perSecond, current: new Set(input.current) },
        hub: [...peers].sort(peerOrder.comparePeers)[0],
        meanBytes: computeSum(loads.map(load => load.perSecond * load.bytes)) / perSecond,
    };
    const getCost = (vms: readonly types.Peer[]): number => computeCost(vms, loads, clients);

    const slots = new Map<shared.ZoneName, number>();
    loads.forEach(load => load.zones.forEach((zone, name) => slots.set(name, (slots.get(name) ?? 0) + zone.slots)));
    // The selection by cores knows no links; it does not count where they are too slow for the downloads.
    const selected = activeVmSelection.selectActiveVms(peers, slots);
    const isSelectable = canCarry(context, selected, computeLinkCapacity);
    const costWithoutPlan = isSelectable ? getCost(selected) : Infinity;
    const hasPlan = input.current.length > 0;
    // One zone is planned only when other zones of a plan are evacuated, or links require it.
    const sets = listZoneSets(loads, hasPlan || !isSelectable ? 1 : 2);
    const options = sets.flatMap(zones => {
        const vms = findZoneVms(context, zones);
        return vms === undefined ? [] : { vms, cost: getCost(vms) };
    });
    const withoutPlan: ActiveVms = { vms: [], cost: costWithoutPlan };
    const cheapest = options.reduce<ActiveVms | undefined>(
        (left, right) => (left === undefined || right.cost < left.cost ? right : left),
        undefined,
    );
    // A plan in force is given up only for a selection that costs less by the same part.
    const isPlanBetter = cheapest !== undefined && cheapest.cost * (hasPlan ? switchCostShare : 1) < costWithoutPlan;
    const best = isPlanBetter ? cheapest : withoutPlan;

    const currentVms = usable.filter(({ vm }) => context.current.has(vm));
    const isCurrentUsable =
        currentVms.length === input.current.length &&
        currentVms.every(({ zone }) => (slots.get(zone) ?? 0) > 0) &&
        canCarry(context, currentVms, computeCapacity);
    const planInForce = isCurrentUsable ? { vms: currentVms, cost: getCost(currentVms) } : undefined;
    const current = hasPlan ? planInForce : withoutPlan;
    const planned = current === undefined || best.cost < current.cost * switchCostShare ? best : current;
    const vms = planned.vms.map(({ vm }) => vm).sort();
    return { kind: "planned", vms, isUrgent: current === undefined, cost: planned.cost, costWithoutPlan };
};

/**
 * Selects the active VMs of a plan.
 *
 * @param peers - live VMs
 * @param plan - VMs that the hub has planned
 * @returns those that can serve; undefined if there is no plan, none of its VMs can, or some VMs do not follow plans
 */
export const selectPlannedVms = (
    peers: readonly types.Peer[],
    plan: readonly shared.VmId[],
): readonly types.Peer[] | undefined => {
    const vms =
        plan.length === 0 ? [] : peers.filter(peer => plan.includes(peer.vm) && activeVmSelection.canServe(peer));
    return vms.length > 0 && hasAllReports(peers) ? vms : undefined;
};

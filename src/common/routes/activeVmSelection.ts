/**
 * Which entry VMs clients are sent to. Few VMs see more of the requests each, so that they know the load of the targets
 * better; the others stand by.
 */
import * as shared from "../Types.js";
import * as peerOrder from "./peerOrder.js";
import * as types from "./Types.js";

/** Requests per second that a whole core serves while its queue stays short (docs/platform.md, "Fronts"). */
const requestsPerSecondPerCore = 700;
/** Share of a VM's capacity that is planned with; the rest is for bursts until the next VM joins in. */
const plannedUtilization = 0.4;

const computeCapacity = (peer: types.Peer): number => peer.cores * requestsPerSecondPerCore * plannedUtilization;

/** Slots of the targets in use, by zone. */
export type SlotsByZone = ReadonlyMap<shared.ZoneName, number>;

/** Takes the strongest VM next, and among equal ones that in the zone with the most slots for each front. */
const takeNextVm = (
    ready: types.Peer[],
    activeVms: readonly types.Peer[],
    slots: SlotsByZone,
): types.Peer | undefined => {
    const computeSlotsPerActiveVm = (zone: shared.ZoneName): number =>
        (slots.get(zone) ?? 0) / (1 + activeVms.filter(peer => peer.zone === zone).length);
    const compare = (left: types.Peer, right: types.Peer): number =>
        right.cores - left.cores || computeSlotsPerActiveVm(right.zone) - computeSlotsPerActiveVm(left.zone);
    // The sort is stable, so that the order of the VMs decides between equal ones.
    const next = [...ready].sort(compare)[0];
    if (next !== undefined) {
        ready.splice(ready.indexOf(next), 1);
    }
    return next;
};

/**
 * Lists the VMs that clients are sent to: as few as bear the requests, close to the targets.
 *
 * @param peers - VMs that live
 * @param slots - slots of the targets by zone
 * @returns the fronts; empty if no VM is ready
 */
export const selectActiveVms = (peers: readonly types.Peer[], slots: SlotsByZone): readonly types.Peer[] => {
    const demand = peers.reduce((sum, peer) => sum + peer.requestsPerSecond, 0);
    // The first VM is the hub; it takes requests last, so that one failure does not hit both duties.
    const [hub, ...followers] = [...peers].sort(peerOrder.comparePeers);
    const ready = followers.filter(peer => peer.isReady);
    const readyHub = hub?.isReady === true ? hub : undefined;
    const activeVms: types.Peer[] = [];
    let capacity = 0;
    while (activeVms.length === 0 || capacity < demand) {
        const next = takeNextVm(ready, activeVms, slots);
        if (next === undefined) {
            return readyHub === undefined ? activeVms : [...activeVms, readyHub];
        }
        activeVms.push(next);
        capacity += computeCapacity(next);
    }
    return activeVms;
};

/**
 * Picks the VMs for the clients of a zone.
 *
 * @param activeVms - the fronts of all zones
 * @param zone - the clients' zone, or undefined if not known
 * @returns the fronts in that zone, or all fronts if it has none
 */
export const pickActiveVms = (
    activeVms: readonly types.Peer[],
    zone: shared.ZoneName | undefined,
): readonly types.Peer[] => {
    const sameZone = activeVms.filter(peer => peer.zone === zone);
    return sameZone.length > 0 ? sameZone : activeVms;
};

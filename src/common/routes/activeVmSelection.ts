/**
 * Selects the active VMs, the entry VMs to which lookups direct clients; the others are standby VMs. With fewer active
 * VMs each one handles more of the requests and has a more accurate view of the load of the targets.
 */
import * as shared from "../Types.js";
import * as peerOrder from "./peerOrder.js";
import * as types from "./Types.js";

/** Requests per second that a full core handles while its queue stays short (docs/platform.md, "Active VMs"). */
const requestsPerSecondPerCore = 700;
/** Share of a VM's capacity used for planning; the rest absorbs bursts until another VM becomes active. */
const plannedUtilization = 0.4;

/**
 * Computes how many requests a VM is planned to handle by its cores.
 *
 * @param peer - the VM
 * @returns requests per second
 */
export const computeCapacity = (peer: types.Peer): number => peer.cores * requestsPerSecondPerCore * plannedUtilization;

/** Total slots of the targets in use, by zone. */
export type SlotsByZone = ReadonlyMap<shared.ZoneName, number>;

/**
 * Counts the slots of the targets in use.
 *
 * @param targets - all targets
 * @param isZoneOut - whether the targets of a zone may not be used
 * @returns the slots, by zone
 */
export const countZoneSlots = (
    targets: Iterable<types.Registration>,
    isZoneOut: (zone: shared.ZoneName) => boolean,
): SlotsByZone => {
    const slots = new Map<shared.ZoneName, number>();
    for (const target of targets) {
        if (!isZoneOut(target.zone)) {
            slots.set(target.zone, (slots.get(target.zone) ?? 0) + target.slots);
        }
    }
    return slots;
};

/**
 * Checks whether a VM can run requests.
 *
 * @param peer - the VM
 * @returns true if it is ready and reaches targets
 */
export const canServe = (peer: types.Peer): boolean => peer.isReady && peer.isCutOff !== true;

/** Takes the VM with the most cores; on a tie, the one in the zone with the most slots per active VM. */
const takeNextVm = (
    ready: types.Peer[],
    activeVms: readonly types.Peer[],
    slots: SlotsByZone,
): types.Peer | undefined => {
    const computeSlotsPerActiveVm = (zone: shared.ZoneName): number =>
        (slots.get(zone) ?? 0) / (1 + activeVms.filter(peer => peer.zone === zone).length);
    const compare = (left: types.Peer, right: types.Peer): number =>
        right.cores - left.cores || computeSlotsPerActiveVm(right.zone) - computeSlotsPerActiveVm(left.zone);
    // The sort is stable, so the order of the VMs breaks ties.
    const next = [...ready].sort(compare)[0];
    if (next !== undefined) {
        ready.splice(ready.indexOf(next), 1);
    }
    return next;
};

/**
 * Selects the active VMs: as few as can handle the current request rate, preferably close to the targets.
 *
 * @param peers - live VMs
 * @param slots - slots of the targets by zone
 * @returns the active VMs; empty if no VM is ready
 */
export const selectActiveVms = (peers: readonly types.Peer[], slots: SlotsByZone): readonly types.Peer[] => {
    const demand = peers.reduce((sum, peer) => sum + peer.requestsPerSecond, 0);
    // The first VM is the hub. It becomes active last, so that one failure does not affect both roles.
    const [hub, ...followers] = [...peers].sort(peerOrder.comparePeers);
    // VMs that reach no target are not used while others do.
    const isUsable = peers.some(canServe) ? canServe : (peer: types.Peer) => peer.isReady;
    const ready = followers.filter(isUsable);
    const readyHub = hub !== undefined && isUsable(hub) ? hub : undefined;
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
 * Picks the active VMs for the clients of a zone.
 *
 * @param activeVms - active VMs of all zones
 * @param zone - the clients' zone, or undefined if unknown
 * @returns the active VMs in that zone, or all active VMs if it has none
 */
export const pickActiveVms = (
    activeVms: readonly types.Peer[],
    zone: shared.ZoneName | undefined,
): readonly types.Peer[] => {
    const sameZone = activeVms.filter(peer => peer.zone === zone);
    return sameZone.length > 0 ? sameZone : activeVms;
};

/**
 * Which entry VMs clients are sent to. Few VMs see more of the requests each, so that they know the load of the targets
 * better; the others stand by.
 */
import * as shared from "../Types.js";
import * as peerOrder from "./peerOrder.js";
import * as types from "./Types.js";

/** Requests per second that a whole core serves while its queue stays short (docs/platform.md, "Fronts"). */
const requestsPerCore = 700;
/** Share of a VM's capacity that is planned with; the rest is for bursts until the next VM joins in. */
const plannedShare = 0.4;

const computeCapacity = (peer: types.Peer): number => peer.cores * requestsPerCore * plannedShare;

/** Slots of the targets in use, by zone. */
export type ZoneSlots = ReadonlyMap<shared.ZoneName, number>;

/** Takes the strongest VM next, and among equal ones that in the zone with the most slots for each front. */
const takeNext = (ready: types.Peer[], fronts: readonly types.Peer[], slots: ZoneSlots): types.Peer | undefined => {
    const computeNeed = (zone: shared.ZoneName): number =>
        (slots.get(zone) ?? 0) / (1 + fronts.filter(peer => peer.zone === zone).length);
    const compare = (left: types.Peer, right: types.Peer): number =>
        right.cores - left.cores || computeNeed(right.zone) - computeNeed(left.zone);
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
export const listFronts = (peers: readonly types.Peer[], slots: ZoneSlots): readonly types.Peer[] => {
    const demand = peers.reduce((sum, peer) => sum + peer.requestsPerSecond, 0);
    // The first VM is the hub; it takes requests last, so that one failure does not hit both duties.
    const [hub, ...others] = [...peers].sort(peerOrder.comparePeers);
    const ready = others.filter(peer => peer.isReady);
    const reserve = hub?.isReady === true ? hub : undefined;
    const fronts: types.Peer[] = [];
    let capacity = 0;
    while (fronts.length === 0 || capacity < demand) {
        const next = takeNext(ready, fronts, slots);
        if (next === undefined) {
            return reserve === undefined ? fronts : [...fronts, reserve];
        }
        fronts.push(next);
        capacity += computeCapacity(next);
    }
    return fronts;
};

/**
 * Picks the VMs for the clients of a zone.
 *
 * @param fronts - the fronts of all zones
 * @param zone - the clients' zone, or undefined if not known
 * @returns the fronts in that zone, or all fronts if it has none
 */
export const pickFronts = (fronts: readonly types.Peer[], zone: shared.ZoneName | undefined): readonly types.Peer[] => {
    const near = fronts.filter(peer => peer.zone === zone);
    return near.length > 0 ? near : fronts;
};

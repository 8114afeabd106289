/**
 * Which entry VMs clients are sent to. Few VMs see more of the requests each, so that they know the load of the targets
 * better; the others stand by.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** VMs that take the requests of a zone; the second one serves while the first one's loss is not yet noticed. */
export const frontsPerZone = 1;

/**
 * Picks the VMs for the clients of a zone.
 *
 * @param peers - VMs that live, oldest first
 * @param zone - the clients' zone, or undefined if not known
 * @returns VMs to name, or an empty list if none is ready
 */
export const pickFronts = (
    peers: readonly types.Peer[],
    zone: shared.ZoneName | undefined,
): readonly types.Peer[] => {
    const ready = peers.filter(peer => peer.isReady);
    const near = ready.filter(peer => peer.zone === zone);
    if (near.length > 0) {
        return near.slice(0, frontsPerZone);
    }
    const oldest = ready[0];
    return oldest === undefined ? [] : ready.filter(peer => peer.zone === oldest.zone).slice(0, frontsPerZone);
};

/**
 * Counts the VMs that clients are sent to, over all zones.
 *
 * @param peers - VMs that live, oldest first
 * @returns the count
 */
export const countFronts = (peers: readonly types.Peer[]): number => {
    const zones = new Set(peers.map(peer => peer.zone));
    const fronts = new Set<shared.VmId>();
    for (const zone of zones) {
        pickFronts(peers, zone).forEach(peer => fronts.add(peer.vm));
    }
    return fronts.size;
};

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

/**
 * Lists the VMs that clients are sent to: as few as bear the requests.
 *
 * @param peers - VMs that live
 * @returns the fronts; empty if no VM is ready
 */
export const listFronts = (peers: readonly types.Peer[]): readonly types.Peer[] => {
    const demand = peers.reduce((sum, peer) => sum + peer.requestsPerSecond, 0);
    // The first VM is the hub; it takes requests last, so that one failure does not hit both duties.
    const [hub, ...others] = [...peers].sort(peerOrder.comparePeers);
    const ready = [...others, ...(hub === undefined ? [] : [hub])].filter(peer => peer.isReady);
    const fronts: types.Peer[] = [];
    let capacity = 0;
    for (const peer of ready) {
        if (fronts.length > 0 && capacity >= demand) {
            break;
        }
        fronts.push(peer);
        capacity += computeCapacity(peer);
    }
    return fronts;
};

/**
 * Picks the VMs for the clients of a zone.
 *
 * @param peers - VMs that live
 * @param zone - the clients' zone, or undefined if not known
 * @returns the fronts in that zone, or all fronts if it has none
 */
export const pickFronts = (peers: readonly types.Peer[], zone: shared.ZoneName | undefined): readonly types.Peer[] => {
    const fronts = listFronts(peers);
    const near = fronts.filter(peer => peer.zone === zone);
    return near.length > 0 ? near : fronts;
};

/**
 * Order of the entry VMs, of which the first is the hub, and differences between two lists of them.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** VMs that joined, changed or left between two lists. */
export interface PeerChanges {
    readonly changed: readonly types.Peer[];
    readonly left: readonly shared.VmId[];
}

/**
 * Compares two VMs: seeds first, since every VM finds them at once, then the most cores, then the earliest start. All
 * VMs compute the same order, since each VM reports its own values.
 *
 * @param left - a VM
 * @param right - another VM
 * @returns a negative number if `left` comes first
 */
export const comparePeers = (left: types.Peer, right: types.Peer): number =>
    Number(right.isSeed) - Number(left.isSeed) ||
    right.cores - left.cores ||
    left.startedAtMs - right.startedAtMs ||
    (left.vm < right.vm ? -1 : 1);

const isEqual = (left: types.Peer, right: types.Peer | undefined): boolean =>
    right !== undefined && JSON.stringify(left) === JSON.stringify(right);

/**
 * Compares two lists of VMs.
 *
 * @param known - the previous list, by VM
 * @param peers - the current list
 * @returns the difference
 */
export const comparePeerLists = (
    known: ReadonlyMap<shared.VmId, types.Peer>,
    peers: readonly types.Peer[],
): PeerChanges => {
    const present = new Set(peers.map(peer => peer.vm));
    return {
        changed: peers.filter(peer => !isEqual(peer, known.get(peer.vm))),
        left: [...known.keys()].filter(vm => !present.has(vm)),
    };
};

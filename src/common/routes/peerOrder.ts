/**
 * Order of the entry VMs: which one is the hub, and what has changed among them.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** VMs that joined, changed or left since an earlier list. */
export interface PeerChanges {
    readonly changed: readonly types.Peer[];
    readonly left: readonly shared.VmId[];
}

/**
 * Compares two VMs: seeds first, as all VMs find them at once, then the strongest, then the one that started first. All
 * VMs come to the same order, as each one tells its own figures.
 *
 * @param left - a VM
 * @param right - another VM
 * @returns a negative number if `left` goes first
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
 * @param known - the earlier list, by VM
 * @param peers - the present list
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

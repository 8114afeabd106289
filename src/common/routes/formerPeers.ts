/**
 * VMs that were known before the hub was lost. The next hub learns of them only as they find it, which takes a second or
 * more if VMs before it in the order are lost, too.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** By then the VMs that live have found the next hub. */
const retentionMs = 2_000;

export interface FormerPeers {
    /** Adds the VMs that a lost hub had reported. */
    add(peers: Iterable<types.Peer>): void;
    /** Removes a VM that is known to have left. */
    remove(vm: shared.VmId): void;
    list(): readonly types.Peer[];
}

interface Entry {
    readonly peer: types.Peer;
    readonly expiresAtMs: number;
}

/**
 * Creates an empty list.
 *
 * @param clock - the clock
 * @returns the list
 */
export const createFormerPeers = (clock: shared.Clock): FormerPeers => {
    const entries = new Map<shared.VmId, Entry>();

    const removeExpired = (): void => {
        const nowMs = clock.now();
        for (const [vm, { expiresAtMs }] of entries) {
            if (expiresAtMs <= nowMs) {
                entries.delete(vm);
            }
        }
    };

    return {
        add: peers => {
            const expiresAtMs = clock.now() + retentionMs;
            for (const peer of peers) {
                entries.set(peer.vm, { peer, expiresAtMs });
            }
        },
        remove: vm => void entries.delete(vm),
        list: () => {
            removeExpired();
            return [...entries.values()].map(({ peer }) => peer);
        },
    };
};

/**
 * VMs that may be the hub, and when each of them may be tried again.
 */
import * as peerOrder from "../../common/routes/peerOrder.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

export interface HubCandidates {
    /** Records a VM that has been reported. */
    add(peer: routes.Peer): void;
    /** Removes a VM that has been reported as left. */
    remove(vm: shared.VmId): void;
    listVms(): readonly shared.VmId[];
    /** Finds the VM at an address; undefined for a seed of which only the address is known so far. */
    findPeer(address: shared.Address): routes.Peer | undefined;
    /** Whether a VM with this address has been reported at any time. */
    hasReached(address: shared.Address): boolean;
    /** Whether a VM precedes this one in the order of peers. */
    isPreferred(peer: routes.Peer): boolean;
    /**
     * Finds the next address to try: VMs in the order of peers, then seeds of which only the address is known.
     *
     * @param tried - addresses that are not tried again
     * @returns the address, or undefined if none is left
     */
    findNextAddress(tried: ReadonlySet<shared.Address>): shared.Address | undefined;
    /** An address is not tried for `delayMs`. */
    setRetryDelay(address: shared.Address, delayMs: number): void;
    resetRetryDelay(address: shared.Address): void;
}

/**
 * Creates candidates of which only the seeds are known.
 *
 * @param options - the clock, the seeds and this VM itself
 * @returns the candidates
 */
export const createHubCandidates = (options: {
    readonly clock: shared.Clock;
    readonly seeds: readonly shared.Address[];
    getOwnPeer(): routes.Peer;
}): HubCandidates => {
    const { clock } = options;
    const peers = new Map<shared.VmId, routes.Peer>();
    const reached = new Set<shared.Address>();
    const retryAtMs = new Map<shared.Address, number>();

    const isPreferred = (peer: routes.Peer): boolean => peerOrder.comparePeers(peer, options.getOwnPeer()) < 0;

    const findPeer = (address: shared.Address): routes.Peer | undefined =>
        [...peers.values()].find(peer => peer.peerAddress === address);

    return {
        add: peer => {
            peers.set(peer.vm, peer);
            reached.add(peer.peerAddress);
        },
        remove: vm => void peers.delete(vm),
        listVms: () => [...peers.keys()],
        findPeer,
        hasReached: address => reached.has(address),
        isPreferred,
        findNextAddress: tried => {
            const own = options.getOwnPeer();
            const nowMs = clock.now();
            const preferred = [...peers.values()]
                .filter(peer => peer.vm !== own.vm && isPreferred(peer))
                .sort(peerOrder.comparePeers)
                .map(peer => peer.peerAddress);
            const seeds = options.seeds.filter(seed => seed !== own.peerAddress && findPeer(seed) === undefined);
            const isDue = (address: shared.Address): boolean => (retryAtMs.get(address) ?? 0) <= nowMs;
            return [...preferred, ...seeds].find(address => !tried.has(address) && isDue(address));
        },
        setRetryDelay: (address, delayMs) => void retryAtMs.set(address, clock.now() + delayMs),
        resetRetryDelay: address => void retryAtMs.delete(address),
    };
};

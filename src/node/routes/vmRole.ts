/**
 * The role of this VM among the entry VMs: whether it is active (lookups direct clients to it) or on standby, which
 * targets it probes, and its share of the common retry budget.
 */
import * as activeVmPlan from "../../common/routes/activeVmPlan.js";
import * as activeVmSelection from "../../common/routes/activeVmSelection.js";
import * as ownedRates from "../../common/routes/ownedRates.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

/** How long the list of active VMs is cached; peers announce their state every 400 ms. */
const activeVmsCacheMs = 100;
/** A VM with fewer requests per second does not probe, as it has no use for fresh reports. */
const minRequestsPerSecondToProbe = 5;
/** Shares of the extra retries. The rest is a reserve for times when the VMs' views of each other differ. */
const activeExtraRetryShare = 0.5;
const standbyExtraRetryShare = 0.3;

export interface VmRole {
    listActiveVms(): readonly routes.Peer[];
    /** Whether this VM is an active one. */
    isActive(): boolean;
    /** The first active VM of a zone probes its targets; the first of all also probes zones without an active VM. */
    mayProbe(zone: shared.ZoneName): boolean;
    /** The active VMs, and this VM's share of the rates that all VMs share. */
    getRateView(): ownedRates.RateView;
    /** This VM's share of the retries that are allowed regardless of the number of requests. */
    computeExtraRetryShare(): number;
}

export interface VmRoleOptions {
    readonly vm: shared.VmId;
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    /** Whether this VM is connected to any peer. */
    isConnected(): boolean;
    listPeers(): readonly routes.Peer[];
    /** The plan of active VMs in force; empty if they are selected by their cores. */
    getPlan(): readonly shared.VmId[];
    /** Number of VMs that may be alive, reachable or not. */
    countKnownPeers(): number;
    getZoneSlots(): activeVmSelection.SlotsByZone;
    computeRequestRate(): number;
}

const formatVms = (peers: readonly routes.Peer[]): string => peers.map(peer => peer.vm).join(" ");

/**
 * Creates the role of a VM.
 *
 * @param options - the VM and its view of the others
 * @returns the role
 */
export const createVmRole = (options: VmRoleOptions): VmRole => {
    let activeVms: readonly routes.Peer[] = [];
    let visibleVmCount = 1;
    let refreshedAtMs = -Infinity;

    const setActiveVms = (next: readonly routes.Peer[]): void => {
        const [before, after] = [formatVms(activeVms), formatVms(next)];
        activeVms = next;
        if (before !== after) {
            options.logger.info("peer: active VMs changed", { before, after });
        }
    };

    /** Cached, as it is called several times per request; sorting all peers each time would use a tenth of a core. */
    const listActiveVms = (): readonly routes.Peer[] => {
        if (options.clock.now() - refreshedAtMs >= activeVmsCacheMs) {
            refreshedAtMs = options.clock.now();
            const peers = options.listPeers();
            visibleVmCount = peers.length;
            const planned = activeVmPlan.selectPlannedVms(peers, options.getPlan());
            setActiveVms(planned ?? activeVmSelection.selectActiveVms(peers, options.getZoneSlots()));
        }
        return activeVms;
    };

    const isActive = (): boolean => listActiveVms().some(peer => peer.vm === options.vm);

    /** Most VMs together may use all of a rate; a minority may be cut off from others that use it, too. */
    const computeRateShare = (): number => {
        const knownVmCount = Math.max(visibleVmCount, options.countKnownPeers());
        return visibleVmCount * 2 > knownVmCount ? 1 : visibleVmCount / knownVmCount;
    };

    return {
        listActiveVms,
        isActive,
        getRateView: () => ({ owners: listActiveVms().map(peer => peer.vm), share: computeRateShare() }),
        mayProbe: zone => {
            if (options.computeRequestRate() < minRequestsPerSecondToProbe) {
                return false;
            }
            const prober = listActiveVms().find(peer => peer.zone === zone) ?? listActiveVms()[0];
            return prober?.vm === options.vm;
        },
        computeExtraRetryShare: () =>
            options.isConnected() && isActive()
                ? activeExtraRetryShare / listActiveVms().length
                : standbyExtraRetryShare / options.countKnownPeers(),
    };
};

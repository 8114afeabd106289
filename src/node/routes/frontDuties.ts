/**
 * What this VM may do for all: whether clients are sent to it, which targets it probes, its part of the shared budgets.
 */
import * as activeVmSelection from "../../common/routes/activeVmSelection.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

/** Peers tell of themselves every 400 ms. */
const frontsLifetimeMs = 100;
/** A VM with fewer requests per second does not probe: fresh reports are worth nothing to it. */
const fewestRequestsToProbe = 5;
/** Parts of the extra retries. The rest is a reserve for moments in which the VMs' views of each other differ. */
const frontsExtraShare = 0.5;
const othersExtraShare = 0.3;

export interface FrontDuties {
    listFronts(): readonly routes.Peer[];
    /** Number of VMs that clients are sent to, at least 1. */
    countSenders(): number;
    /** Fronts probe the targets of their zone; the first front also those of zones without one. */
    mayProbe(zone: shared.ZoneName): boolean;
    /** This VM's part of the retries that are allowed however few requests there are. */
    computeExtraShare(): number;
}

export interface FrontDutiesOptions {
    readonly vm: shared.VmId;
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    /** Whether this VM is connected to any peer. */
    isConnected(): boolean;
    listPeers(): readonly routes.Peer[];
    /** Number of VMs that may live, whether they can be reached or not. */
    countKnown(): number;
    getZoneSlots(): activeVmSelection.SlotsByZone;
    computeRequestRate(): number;
}

const formatVms = (peers: readonly routes.Peer[]): string => peers.map(peer => peer.vm).join(" ");

/**
 * Creates the duties of a VM.
 *
 * @param options - the VM and its view of the others
 * @returns the duties
 */
export const createFrontDuties = (options: FrontDutiesOptions): FrontDuties => {
    let fronts: readonly routes.Peer[] = [];
    let listedAtMs = -Infinity;

    const setFronts = (next: readonly routes.Peer[]): void => {
        const [before, after] = [formatVms(fronts), formatVms(next)];
        fronts = next;
        if (before !== after) {
            options.logger.info("peer: clients are sent to other VMs", { before, after });
        }
    };

    /** The fronts are asked for several times a request; sorting all peers each time would take a tenth of a core. */
    const listFronts = (): readonly routes.Peer[] => {
        if (options.clock.now() - listedAtMs >= frontsLifetimeMs) {
            listedAtMs = options.clock.now();
            setFronts(activeVmSelection.selectActiveVms(options.listPeers(), options.getZoneSlots()));
        }
        return fronts;
    };

    const countSenders = (): number => Math.max(1, listFronts().length);

    const isFront = (): boolean => listFronts().some(peer => peer.vm === options.vm);

    return {
        listFronts,
        countSenders,
        mayProbe: zone => {
            if (options.computeRequestRate() < fewestRequestsToProbe) {
                return false;
            }
            const prober = listFronts().find(peer => peer.zone === zone) ?? listFronts()[0];
            return prober?.vm === options.vm;
        },
        computeExtraShare: () =>
            options.isConnected() && isFront()
                ? frontsExtraShare / countSenders()
                : othersExtraShare / options.countKnown(),
    };
};

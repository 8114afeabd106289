/**
 * The plan of active VMs at one VM: what it needs of the peers' messages, and whose plan is in force.
 */
import * as activeVmPlan from "../../common/routes/activeVmPlan.js";
import * as activeVmPlanner from "../../common/routes/activeVmPlanner.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

export interface PlanningOptions {
    readonly scheduler: shared.Clock;
    readonly logger: shared.Logger;
    /**
     * Whether the configuration has routes with large responses. Without them few bytes cross zones, and active VMs are
     * selected by their cores: on a deployment of 13 VMs without downloads, a plan took a VM out of use in a burst.
     */
    hasLargeResponses(): boolean;
    /** Plan of the hub that this VM follows; undefined without a hub. */
    getHubPlan(): readonly shared.VmId[] | undefined;
    listPeers(): readonly routes.Peer[];
    countServiceTargets(): activeVmPlan.TargetsByService;
    /** Returns the lookups that this VM has answered since the last call. */
    takeLookups(): clientZones.LookupCounts;
}

export interface Planning {
    getPlan(): readonly shared.VmId[];
    /** Plans anew, as a hub. */
    updatePlan(): readonly shared.VmId[];
    /** Records lookups that a follower has answered; undefined if it has not answered any. */
    recordLookups(lookups: clientZones.LookupCounts | undefined): void;
}

/**
 * Creates the planning of a VM.
 *
 * @param options - the hub's plan, VMs, targets and lookups
 * @returns the planning, without a plan
 */
export const createPlanning = (options: PlanningOptions): Planning => {
    const planner = activeVmPlanner.createActiveVmPlanner({ clock: options.scheduler, logger: options.logger });
    const zones = clientZones.createClientZones(options.scheduler);

    const recordLookups = (lookups: clientZones.LookupCounts = []): void =>
        lookups.forEach(([zone, count]) => zones.record(zone, count));

    return {
        getPlan: () => {
            const hubPlan = options.getHubPlan();
            if (hubPlan !== undefined) {
                planner.adopt(hubPlan);
            }
            return planner.get();
        },
        updatePlan: () => {
            recordLookups(options.takeLookups());
            if (!options.hasLargeResponses()) {
                planner.adopt([]);
                return planner.get();
            }
            return planner.update({
                peers: options.listPeers(),
                targets: options.countServiceTargets(),
                clientShares: zones.computeShares(),
            });
        },
        recordLookups,
    };
};

/**
 * Keeps the plan of active VMs that a VM knows: its own one as a hub, or that of its hub.
 */
import * as shared from "../Types.js";
import * as activeVmPlan from "./activeVmPlan.js";

/** While reports are missing for this time, as after the loss of a hub, the plan stays in force. */
const reportGraceMs = 5_000;
/** Another plan has to be better for this time, as the first reports after a start or a change cover a part of the requests. */
const settleMs = 2_000;

export interface ActiveVmPlanner {
    /** VMs of the plan in force; empty if active VMs are selected by their cores. */
    get(): readonly shared.VmId[];
    /** Takes over the plan of another VM, which is the hub. */
    adopt(plan: readonly shared.VmId[]): void;
    /** Plans anew and returns the plan. */
    update(input: Omit<activeVmPlan.PlanInput, "current">): readonly shared.VmId[];
}

/**
 * Creates a planner without a plan.
 *
 * @param options - the clock and the logger
 * @returns the planner
 */
export const createActiveVmPlanner = (options: {
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
}): ActiveVmPlanner => {
    const { clock, logger } = options;
    let plan: readonly shared.VmId[] = [];
    let knownAtMs = clock.now();
    /** Since when another plan is better; undefined if none is. */
    let betterSinceMs: number | undefined;

    const setPlan = (next: readonly shared.VmId[], fields: shared.LogFields): void => {
        if (next.join(" ") !== plan.join(" ")) {
            logger.info("plan: active VMs planned", { before: plan.join(" "), after: next.join(" "), ...fields });
        }
        plan = next;
    };

    const handlePlanned = (result: activeVmPlan.PlanResult & { kind: "planned" }, fields: shared.LogFields): void => {
        const nowMs = clock.now();
        knownAtMs = nowMs;
        if (result.vms.join(" ") === plan.join(" ")) {
            betterSinceMs = undefined;
            return;
        }
        betterSinceMs ??= nowMs;
        if (result.isUrgent || nowMs - betterSinceMs >= settleMs) {
            betterSinceMs = undefined;
            const { cost, costWithoutPlan } = result;
            setPlan(result.vms, { ...fields, cost: Math.round(cost), costWithoutPlan: Math.round(costWithoutPlan) });
        }
    };

    return {
        get: () => plan,
        adopt: next => {
            plan = next;
            knownAtMs = clock.now();
        },
        update: input => {
            const result = activeVmPlan.computePlan({ ...input, current: plan });
            switch (result.kind) {
                case "unknown":
                    betterSinceMs = undefined;
                    if (clock.now() - knownAtMs > reportGraceMs) {
                        setPlan([], { reason: "reports missing" });
                    }
                    break;
                case "planned": {
                    const shares = [...(input.clientShares ?? [])].map(
                        ([zone, share]) => `${zone} ${share.toFixed(2)}`,
                    );
                    handlePlanned(result, { clients: shares.join(", ") });
                    break;
                }
            }
            return plan;
        },
    };
};

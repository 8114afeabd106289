/**
 * This VM's part of the retries that the platform allows for all VMs together.
 */
import * as retryBudget from "../../common/limits/retryBudget.js";
import * as types from "./Types.js";

/** Share of the platform's retry bound that is used: the VMs' counts of active VMs differ for short times. */
const retryBoundShare = 0.7;

/**
 * Computes the limits on this VM's retries.
 *
 * @param bounds - the platform's bounds
 * @param extraShare - this VM's share of the retries that are allowed regardless of the number of requests
 * @returns the limits
 */
export const computeRetryPolicy = (
    bounds: Pick<types.RouteBounds, "retryShare" | "retryExtra" | "retryWindowMs">,
    extraShare: number,
): retryBudget.RetryPolicy => {
    const extra = bounds.retryExtra * extraShare;
    const perSecond = (extra * 1_000) / bounds.retryWindowMs;
    // A full bucket and the refill over one window together stay within the window's extra retries.
    return {
        share: bounds.retryShare * retryBoundShare,
        floor: { perSecond: perSecond / 2, burst: extra / 2 },
    };
};

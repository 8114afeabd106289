/**
 * Expected latency and cost of sending a request to a target.
 */
import * as shared from "../Types.js";
import * as latencyEstimates from "./latencyEstimates.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

/** The latency estimate grows by up to this share as a target fills, so that equal targets are used evenly. */
const loadFactor = 0.1;
/** Factor on the latency estimate for the last slot, since a target is slower when nearly full. */
const lastSlotFactor = 1.3;
/** A cold target is about half as fast. */
const coldLatencyFactor = 2;
/** Cost of a failed attempt, as a multiple of the route's latency objective. */
const failureCostFactor = 3;
/** Cost of a target in another zone, in milliseconds: a round trip between zones, and billed traffic per kilobyte. */
const crossZoneMs = 12;
const crossZoneMsPerKilobyte = 4;
/** Random share added to each cost, so that VMs with the same view do not all pick the same target. */
const jitterShare = 0.05;

/**
 * Computes the cost of a request that crosses zones, which grows with its bytes.
 *
 * @param bytes - bytes of the request and its response
 * @returns the cost in milliseconds
 */
export const computeCrossingMs = (bytes: number): number => crossZoneMs + (bytes / 1_000) * crossZoneMsPerKilobyte;

export interface CostRequest {
    readonly route: types.Route;
    readonly bodyBytes: number;
}

export interface TargetCosts {
    /**
     * Computes the expected latency of a request at a target.
     *
     * @param entry - the target
     * @param inFlight - requests in flight there
     * @param route - route of the request
     * @param slowdown - expected slowdown of the target
     * @param nowMs - local monotonic time
     * @returns the latency in milliseconds
     */
    computeExpectedMs(
        entry: targetEntry.TargetEntry,
        inFlight: number,
        route: types.Route,
        slowdown: number,
        nowMs: number,
    ): number;
    /**
     * Computes the cost of a target, by which it is compared with the others.
     *
     * @param entry - the target
     * @param expectedMs - the expected latency there
     * @param request - the request
     * @param nowMs - local monotonic time
     * @returns the cost in milliseconds
     */
    computeCost(entry: targetEntry.TargetEntry, expectedMs: number, request: CostRequest, nowMs: number): number;
}

/**
 * Creates the costs.
 *
 * @param options - latency estimates, random numbers and the zone of this VM
 * @returns the costs
 */
export const createTargetCosts = (options: {
    readonly estimates: latencyEstimates.LatencyEstimates;
    readonly random: shared.Random;
    readonly zone: shared.ZoneName;
}): TargetCosts => {
    const { estimates, random } = options;

    const computeExpectedMs = (
        entry: targetEntry.TargetEntry,
        inFlight: number,
        route: types.Route,
        slowdown: number,
        nowMs: number,
    ): number => {
        const load = (inFlight + 1) / entry.registration.slots;
        const workMs =
            estimates.getTypicalMs(route) *
            entry.latencyRatio *
            slowdown *
            (targetEntry.isCold(entry, nowMs) ? coldLatencyFactor : 1);
        return workMs * (1 + loadFactor * load) * (load >= 1 ? lastSlotFactor : 1);
    };

    const computeCost = (
        entry: targetEntry.TargetEntry,
        expectedMs: number,
        request: CostRequest,
        nowMs: number,
    ): number => {
        const { route } = request;
        const isSameZone = entry.registration.zone === options.zone;
        const bytes = request.bodyBytes + estimates.getMeanResponseBytes(route);
        const zoneCostMs = isSameZone ? 0 : computeCrossingMs(bytes);
        const failureCostMs = targetEntry.computeFailureRate(entry, nowMs) * failureCostFactor * route.objectiveMs;
        return (expectedMs + zoneCostMs + failureCostMs) * (1 + jitterShare * random.nextFloat());
    };

    return { computeExpectedMs, computeCost };
};

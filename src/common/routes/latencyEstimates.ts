/**
 * Estimates from past responses: typical latency and response size of a route, mean slowdown of a service.
 */
import * as shared from "../Types.js";
import * as slowdowns from "./slowdown.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

/** Weight of one response in the moving averages of a route. */
const sampleWeight = 0.05;
/** Typical latency assumed before the first response, as a share of the route's objective. */
const initialLatencyShare = 0.3;

export interface LatencyEstimates {
    /** Mean slowdown over the targets of a service. */
    getMeanSlowdown(service: shared.ServiceName): slowdowns.MeanSlowdown;
    /** Latency at a target of average speed without slowdown, in milliseconds. */
    getTypicalMs(route: types.Route): number;
    /** Latency of a route at a target of average speed, in milliseconds, without slowdown and at the service's mean one. */
    computeWork(
        service: shared.ServiceName,
        route: types.Route,
    ): { readonly typicalMs: number; readonly slowMs: number };
    /** Mean size of a route's responses; 0 before the first. */
    getMeanResponseBytes(route: types.Route): number;
    recordResponse(entry: targetEntry.TargetEntry, route: types.Route, latencyMs: number, bytes: number): void;
}

/**
 * Creates estimates without any samples.
 *
 * @returns the estimates
 */
export const createLatencyEstimates = (): LatencyEstimates => {
    const means = new Map<shared.ServiceName, slowdowns.MeanSlowdown>();
    const typicalMs = new Map<string, number>();
    const responseBytes = new Map<string, number>();

    const getMeanSlowdown = (service: shared.ServiceName): slowdowns.MeanSlowdown => {
        const mean = means.get(service) ?? slowdowns.createMeanSlowdown();
        means.set(service, mean);
        return mean;
    };

    const getTypicalMs = (route: types.Route): number =>
        typicalMs.get(route.name) ?? Math.max(1, route.objectiveMs * initialLatencyShare);

    return {
        getMeanSlowdown,
        getTypicalMs,
        computeWork: (service, route) => {
            const ms = getTypicalMs(route);
            return { typicalMs: ms, slowMs: ms * Math.max(1, getMeanSlowdown(service).get()) };
        },
        getMeanResponseBytes: route => responseBytes.get(route.name) ?? 0,
        recordResponse: (entry, route, latencyMs, bytes) => {
            const meanBytes = responseBytes.get(route.name) ?? bytes;
            responseBytes.set(route.name, meanBytes + sampleWeight * (bytes - meanBytes));
            const slowdown = Math.max(1, entry.slowdown ?? getMeanSlowdown(entry.registration.service).get());
            const typical = getTypicalMs(route);
            typicalMs.set(route.name, typical + sampleWeight * (latencyMs / slowdown / entry.latencyRatio - typical));
        },
    };
};

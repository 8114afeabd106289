/**
 * What answers teach about routes and services: usual latency and size of a route's answers, mean slowdown of a service.
 */
import * as shared from "../Types.js";
import * as slowdowns from "./slowdown.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

/** Weight of an answer in the usual latency of a route. */
const usualWeight = 0.05;
/** Usual latency of a route before any answer, as a share of its objective. */
const firstUsualShare = 0.3;

export interface LatencyEstimates {
    /** Mean slowdown over the targets of a service. */
    getMean(service: shared.ServiceName): slowdowns.MeanSlowdown;
    /** Latency at a target of the usual pace, in milliseconds. */
    getUsualMs(route: types.Route): number;
    /** Mean size of a route's answers; 0 before the first. */
    getAnswerBytes(route: types.Route): number;
    recordAnswer(entry: targetEntry.TargetEntry, route: types.Route, latencyMs: number, bytes: number): void;
}

/**
 * Creates estimates before any answer.
 *
 * @returns the estimates
 */
export const createLatencyEstimates = (): LatencyEstimates => {
    const means = new Map<shared.ServiceName, slowdowns.MeanSlowdown>();
    const usualMs = new Map<string, number>();
    const answerBytes = new Map<string, number>();

    const getMean = (service: shared.ServiceName): slowdowns.MeanSlowdown => {
        const mean = means.get(service) ?? slowdowns.createMeanSlowdown();
        means.set(service, mean);
        return mean;
    };

    const getUsualMs = (route: types.Route): number =>
        usualMs.get(route.name) ?? Math.max(1, route.objectiveMs * firstUsualShare);

    return {
        getMean,
        getUsualMs,
        getAnswerBytes: route => answerBytes.get(route.name) ?? 0,
        recordAnswer: (entry, route, latencyMs, bytes) => {
            const meanBytes = answerBytes.get(route.name) ?? bytes;
            answerBytes.set(route.name, meanBytes + usualWeight * (bytes - meanBytes));
            const slowdown = Math.max(1, entry.slowdown ?? getMean(entry.registration.service).get());
            const usual = getUsualMs(route);
            usualMs.set(route.name, usual + usualWeight * (latencyMs / slowdown / entry.pace - usual));
        },
    };
};

/**
 * Decides how long a request may wait for a slot, which one is refused if not all can be served, and when a refused
 * client may come back.
 */
import * as shared from "../Types.js";
import * as slotRate from "./slotRate.js";

/** A refusal is cheap for the client until this share of the objective. */
const cheapRefusalShare = 0.125;
/** No request is held for longer than this share of its objective: a later refusal would cost the client everything. */
const maxHoldShare = 0.5;
/** Work estimates are noisy; a request is refused in place of another only if it takes this many times the work. */
const minWorkFactor = 1.2;
/** Retry-After of refusals; a slot becomes free about that often. */
export const minRetryAfterMs = 100;
/** Clients honour a Retry-After up to this share of the time they have left. */
const maxRetryAfterShare = 1 / 3;
/** Retry-After grows by up to this share at random, so that refused clients don't return at once. */
const retrySpreadShare = 0.5;

/** What the order of a request depends on; it stays the same while the request waits. */
export interface AdmissionInputs {
    /** Undefined if the caller belongs to none. */
    readonly organisation: shared.OrganisationName | undefined;
    readonly route: string;
    readonly objectiveMs: number;
    /** Time until the objective is missed, when the wait begins. */
    readonly objectiveLeftMs: number;
    /** Time until the deadline, when the wait begins. */
    readonly deadlineLeftMs: number;
    /** Expected work at a target of average speed. */
    readonly workMs: number;
    /** Expected work at a target of mean slowdown. */
    readonly slowWorkMs: number;
}

export type RefusalReason =
    /** No order could serve the request in time. */
    | "infeasible"
    /** Refused for another request that takes less work. */
    | "less value"
    /** The wait is over, and it is not certain that a slot becomes free soon. */
    | "waited";

/** The state of the queue from the point of view of one request. */
export interface Backlog {
    /** Waiting requests that precede it. */
    readonly before: number;
    readonly observed: slotRate.ObservedRate;
}

/**
 * Checks whether even an optimistic estimate says that the request gets no slot in time. Before slots have been observed
 * for as long as one request takes, there is no estimate: all slots may have been taken at the same time.
 *
 * @param backlog - the state of the queue
 * @param inputs - the request
 * @param remainingWaitMs - how long the request may still wait
 * @returns false if in doubt
 */
export const isInfeasible = (backlog: Backlog, inputs: AdmissionInputs, remainingWaitMs: number): boolean =>
    backlog.observed.saturatedMs >= inputs.slowWorkMs &&
    backlog.before / slotRate.computeHighRate(backlog.observed) > remainingWaitMs;

/**
 * Computes for how long a wait can be useful, by the objective, the deadline and the expected work.
 *
 * @param inputs - the request
 * @returns the time in milliseconds, not positive if the request cannot meet its objective
 */
export const computeUsefulWaitMs = (inputs: AdmissionInputs): number => {
    const { objectiveMs, objectiveLeftMs, deadlineLeftMs, workMs, slowWorkMs } = inputs;
    const holdMs = maxHoldShare * objectiveMs - (objectiveMs - objectiveLeftMs);
    return Math.min(objectiveLeftMs - workMs, deadlineLeftMs - slowWorkMs, holdMs);
};

/**
 * Checks whether requests have been waiting without interruption for longer than a burst lasts for this request. Longer
 * waits don't serve more requests then, they only make all of them late (as in CoDel).
 *
 * @param backlog - the state of the queue
 * @param inputs - the request
 * @returns true while the queue stands
 */
export const isStanding = (backlog: Backlog, inputs: AdmissionInputs): boolean =>
    backlog.observed.saturatedMs > inputs.objectiveMs;

/**
 * Computes the longest wait that the state of the queue allows.
 *
 * @param backlog - the state of the queue
 * @param inputs - the request
 * @param usualWaitMs - the usual longest wait
 * @returns the time after the start of the wait, in milliseconds
 */
export const computeWaitLimitMs = (backlog: Backlog, inputs: AdmissionInputs, usualWaitMs: number): number =>
    isStanding(backlog, inputs)
        ? Math.min(usualWaitMs, computeCheapRefusalMs(inputs))
        : Math.max(usualWaitMs, computeUsefulWaitMs(inputs));

/**
 * Computes how much longer a request may wait whose usual wait is over. It may as long as it can still meet its objective,
 * if even a pessimistic estimate says that it gets a slot by then: a client that is refused comes back behind all others.
 *
 * @param backlog - the state of the queue
 * @param inputs - the request
 * @param waitedMs - time for which it has waited
 * @returns the time in milliseconds, 0 if the request is to be refused
 */
export const computeExtensionMs = (backlog: Backlog, inputs: AdmissionInputs, waitedMs: number): number => {
    const leftMs = computeUsefulWaitMs(inputs) - waitedMs;
    if (isStanding(backlog, inputs)) {
        return 0;
    }
    const lowRate = slotRate.computeLowRate(backlog.observed);
    const isCertain = lowRate > 0 && (backlog.before + 1) / lowRate <= leftMs;
    return isCertain ? Math.min(leftMs, computeCheapRefusalMs(inputs)) : 0;
};

/**
 * Computes until when a refusal is cheap for the client.
 *
 * @param inputs - the request
 * @returns time after the start of the wait, in milliseconds
 */
export const computeCheapRefusalMs = (inputs: AdmissionInputs): number => cheapRefusalShare * inputs.objectiveMs;

/** A waiting request that may be refused in place of another one. */
export interface Candidate {
    readonly inputs: AdmissionInputs;
    readonly waitedMs: number;
}

/**
 * Picks the request to refuse if one cannot be served in time: the one that takes the most work, as all are worth the same.
 *
 * @param newcomer - the request that cannot be served in time
 * @param waiting - requests of the same priority and organisation that precede it
 * @param mayRefuse - whether a route's requests may be refused for the sake of others
 * @returns the request to refuse
 */
export const pickRefused = <T extends Candidate>(
    newcomer: T,
    waiting: Iterable<T>,
    mayRefuse: (route: string) => boolean,
): T => {
    let refused = newcomer;
    for (const candidate of waiting) {
        const isCheap = candidate.waitedMs <= computeCheapRefusalMs(candidate.inputs);
        const leastWorkMs = refused === newcomer ? newcomer.inputs.workMs * minWorkFactor : refused.inputs.workMs;
        if (isCheap && candidate.inputs.workMs > leastWorkMs && mayRefuse(candidate.inputs.route)) {
            refused = candidate;
        }
    }
    return refused;
};

/**
 * Computes when a refused client may come back: once the requests before it have probably been served.
 *
 * @param backlog - the state of the queue
 * @param inputs - the request
 * @param waitedMs - time for which it has waited
 * @param random - spreads the times
 * @returns the time in milliseconds
 */
export const computeRetryAfterMs = (
    backlog: Backlog,
    inputs: AdmissionInputs,
    waitedMs: number,
    random: shared.Random,
): number => {
    const honouredMs = (inputs.deadlineLeftMs - waitedMs) * maxRetryAfterShare;
    if (backlog.observed.saturatedMs < inputs.slowWorkMs) {
        // Nothing is known about when slots become free.
        return minRetryAfterMs + Math.max(0, honouredMs - minRetryAfterMs) * random.nextFloat();
    }
    const drainMs = backlog.before / slotRate.computeHighRate(backlog.observed);
    const spreadMs = Math.max(minRetryAfterMs, drainMs) * (1 + retrySpreadShare * random.nextFloat());
    return Math.max(minRetryAfterMs, Math.min(spreadMs, honouredMs));
};

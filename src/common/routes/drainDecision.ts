/**
 * Decides whether the work of a request may begin at a VM that is about to stop. What is still in progress when it stops is
 * cut off: a client may send an idempotent request again, but does not know whether another one has run.
 */
import * as routeDurations from "./routeDurations.js";
import * as routeKind from "./routeKind.js";
import * as types from "./Types.js";

/** A route whose requests have been served this often is known well enough to rely on. */
const minSamples = 8;
/** The next request may take longer than all before it by this factor. */
const longestFactor = 1.5;
/** Time for the response at the deadline to reach the client, in milliseconds. */
const responseMarginMs = 100;
/**
 * Requests that were sent in the first 3 s after the signal are not expected to be complete (docs/platform.md, "Leaving");
 * this is less by the time in which they arrive.
 */
const earlyMs = 2_500;

/** A request whose work would begin now. */
export interface DrainingWork {
    readonly route: Pick<types.Route, "kind" | "objectiveMs">;
    /** What is known of the route's requests. */
    readonly known: routeDurations.KnownDurations;
    /** Time until the request's own deadline. */
    readonly deadlineLeftMs: number;
    /** Time since the VM began to drain. */
    readonly drainingMs: number;
    /** Time until what is in progress is cut off. */
    readonly leftMs: number;
}

/**
 * Computes how long a request is expected to take at most.
 *
 * @param work - the request
 * @returns milliseconds; infinite if nothing bounds it
 */
export const computeExpectedMs = ({ route, known, drainingMs }: Omit<DrainingWork, "deadlineLeftMs">): number => {
    const { samples, longestMs } = known;
    const isKnown = samples >= minSamples;
    if (!isKnown && !routeKind.isIdempotent(route.kind) && drainingMs > earlyMs) {
        return Infinity;
    }
    return Math.max(longestMs * longestFactor, isKnown ? 0 : route.objectiveMs);
};

/**
 * Returns whether a request may begin.
 *
 * @param work - the request, and the time that is left
 * @returns true if it ends in time by its own deadline or by what is known of its route
 */
export const mayBegin = (work: DrainingWork): boolean =>
    Math.min(work.deadlineLeftMs + responseMarginMs, computeExpectedMs(work)) <= work.leftMs;

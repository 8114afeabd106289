/**
 * Picks a target of a cell for a call.
 */

/** Properties of a target on which the choice depends. */
export interface Candidate {
    /** Maximum number of calls in flight; 0 if the target must not get any call. */
    readonly limit: number;
    readonly inFlight: number;
    /** Smoothed latency of its responses. */
    readonly latencyMs: number;
    /** Start time of the oldest call in flight; undefined if there is none. */
    readonly oldestStartMs: number | undefined;
    /** Failures and refusals since the last response. */
    readonly failures: number;
}

const maxPenaltyDoublings = 6;

/**
 * Computes the time that a new call is expected to take at a target.
 *
 * @param candidate - the target
 * @param nowMs - local monotonic time
 * @returns the expected time in milliseconds
 */
export const computeExpectedMs = (candidate: Candidate, nowMs: number): number => {
    // Latency is measured on responses only; the age of a call without a response reveals a stalled target earlier.
    const ageMs = candidate.oldestStartMs === undefined ? 0 : nowMs - candidate.oldestStartMs;
    const latencyMs = Math.max(candidate.latencyMs, ageMs);
    const expectedMs = (latencyMs * (candidate.inFlight + 1)) / candidate.limit;
    // Without the penalty, a target that fails fast would attract calls by its low latency.
    return candidate.failures === 0 ? expectedMs : expectedMs * 2 ** Math.min(candidate.failures, maxPenaltyDoublings);
};

/**
 * Picks the target with the lowest expected time among those with a free slot.
 *
 * @param candidates - the targets
 * @param startIndex - where the search begins; random, so that calls are spread over equal targets
 * @param nowMs - local monotonic time
 * @param isAllowed - further condition that the target must meet
 * @returns the target, or undefined if none has a free slot
 */
export const pickTarget = <C extends Candidate>(
    candidates: readonly C[],
    startIndex: number,
    nowMs: number,
    isAllowed: (candidate: C) => boolean,
): C | undefined => {
    let best: C | undefined;
    let bestMs = Infinity;
    for (let offset = 0; offset < candidates.length; offset++) {
        const candidate = candidates[(startIndex + offset) % candidates.length];
        if (candidate === undefined || candidate.inFlight >= candidate.limit) {
            continue;
        }
        const expectedMs = computeExpectedMs(candidate, nowMs);
        if (expectedMs < bestMs && isAllowed(candidate)) {
            best = candidate;
            bestMs = expectedMs;
        }
    }
    return best;
};

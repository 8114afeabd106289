/**
 * Choice of a target among those of a cell.
 */

/** What the choice depends on. */
export interface Candidate {
    /** Calls that may be in flight now; 0 if the target must get none. */
    readonly limit: number;
    readonly inFlight: number;
    /** Smoothed latency of its answers. */
    readonly latencyMs: number;
    /** Start of the oldest call in flight; undefined if there is none. */
    readonly oldestStartMs: number | undefined;
    /** Failures and refusals since the last answer. */
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
    // Latency is learned from answers only; the age of a call without an answer shows a stalled target earlier.
    const ageMs = candidate.oldestStartMs === undefined ? 0 : nowMs - candidate.oldestStartMs;
    const latencyMs = Math.max(candidate.latencyMs, ageMs);
    const expectedMs = (latencyMs * (candidate.inFlight + 1)) / candidate.limit;
    // A target that fails fast has a low latency and would otherwise attract calls.
    return candidate.failures === 0 ? expectedMs : expectedMs * 2 ** Math.min(candidate.failures, maxPenaltyDoublings);
};

/**
 * Picks the target with a free slot and the lowest expected time.
 *
 * @param candidates - the targets
 * @param startIndex - where the search begins; random, so that equal targets share the calls
 * @param nowMs - local monotonic time
 * @param isAllowed - further condition on a target
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

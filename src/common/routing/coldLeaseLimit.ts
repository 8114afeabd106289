/**
 * Limits calls to a cold target by its cold lease.
 */
import * as coldLease from "../coldstart/coldLease.js";
import * as targetHealth from "../health/targetHealth.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

/** Time between cancelling a call and the end of the lease, in which the target can stop processing the call. */
export const cancelMarginMs = 250;
/** Minimum time that must be left for a call to a cold target; with less, calls would often be cancelled. */
const minColdCallMs = 500;
/** Maximum time required of the lease. A lease of 10 s that is renewed every 3 s could not guarantee more. */
const maxColdCallMs = 5_000;
/** Time that must be left for a call to a cold target, as a multiple of its cell's mean latency. */
const coldLatencyFactor = 4;
const leaseRequestIntervalMs = 1_000;

/**
 * Requests the lease of a cold target and sets its limit to 0 unless the lease lasts long enough.
 *
 * @param entry - the target, with its limit up to date
 * @param coldLeases - the leases that this entry VM holds
 * @param meanLatencyMs - mean latency of its cell
 * @param nowMs - local monotonic time
 */
export const applyColdLease = (
    entry: targetEntry.TargetEntry,
    coldLeases: types.ColdLeases,
    meanLatencyMs: number,
    nowMs: number,
): void => {
    if (!entry.owned || entry.health.state.kind === "draining" || !targetHealth.isCold(entry.health, nowMs)) {
        releaseLease(entry, coldLeases);
        return;
    }
    if (nowMs - entry.leaseRequestedAtMs >= leaseRequestIntervalMs) {
        entry.leaseRequestedAtMs = nowMs;
        entry.isLeaseRequested = true;
        coldLeases.request(entry.config.id);
    }
    if (entry.limit === 0) {
        return;
    }
    const neededMs = Math.min(maxColdCallMs, Math.max(minColdCallMs, coldLatencyFactor * meanLatencyMs));
    entry.coldEndMs = coldLease.computeCallEndMs(
        coldLeases.getLeaseEndMs(entry.config.id),
        neededMs,
        cancelMarginMs,
        nowMs,
    );
    if (entry.coldEndMs === undefined) {
        entry.limit = 0;
    }
};

/**
 * Releases the lease of a target, unless a call that needed it is in flight.
 *
 * @param entry - the target
 * @param coldLeases - the leases that this entry VM holds
 */
export const releaseLease = (entry: targetEntry.TargetEntry, coldLeases: types.ColdLeases): void => {
    if (!entry.isLeaseRequested || entry.coldInFlight > 0) {
        return;
    }
    entry.isLeaseRequested = false;
    entry.leaseRequestedAtMs = -Infinity;
    coldLeases.release(entry.config.id);
};

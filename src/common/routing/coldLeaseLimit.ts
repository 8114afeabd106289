/**
 * Applies the cold lease to the limit of a target.
 */
import * as coldLease from "../coldstart/coldLease.js";
import * as targetHealth from "../health/targetHealth.js";
import * as targetEntry from "./targetEntry.js";
import * as types from "./Types.js";

/** Time for a cancelled call to end at the target, before the lease does. */
export const cancelMarginMs = 250;
/** Time that a cold target must have for a call, at least; a shorter one would often be cut off. */
const minColdCallMs = 500;
/** A longer demand could never be met by a lease of 10 s that is renewed every 3 s. */
const maxColdCallMs = 5_000;
const coldLatencyFactor = 4;
const leaseRequestIntervalMs = 1_000;

/**
 * Sets the limit of a cold target to 0 unless its lease lasts long enough, and asks for the lease.
 *
 * @param entry - the target, with its limit up to date
 * @param coldLeases - the leases that this entry VM holds
 * @param meanLatencyMs - mean latency in its cell
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
 * Gives the lease of a target up, unless a call that needed it is in flight.
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

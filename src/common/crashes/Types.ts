/**
 * Types for detecting and blocking requests that crash targets.
 */
import * as types from "../Types.js";

/** Parts that identify a request; requests with equal parts are treated as the same. */
export interface FingerprintParts {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    /** Query including the leading `?`, or empty. */
    readonly query: string;
    readonly bodyLength: number;
    /** The first 64 KiB of the body, or all of it if shorter. */
    readonly bodyStart: Uint8Array;
}

export interface CrashCount {
    readonly fingerprint: string;
    readonly count: number;
}

/** Counts crashes by the fingerprint of the request that was in flight. */
export interface CrashRegistry {
    /**
     * Counts a crash that this entry VM observed.
     *
     * @param fingerprint - fingerprint of a request that was in flight
     * @param target - the target that crashed; broken connections to one target within a second count as one crash
     * @returns the new count
     */
    recordCrash(fingerprint: string, target: types.TargetId): number;
    /** Records that a request with this fingerprint got a response, which resets a count below the limit. */
    recordResponse(fingerprint: string): void;
    /** Merges the count of a peer; the greater count is kept. */
    mergeCount(fingerprint: string, count: number): void;
    /** Whether requests with this fingerprint are refused. */
    isBlocked(fingerprint: string): boolean;
    /** Number of fingerprints whose requests are refused. */
    countBlocked(): number;
    list(): readonly CrashCount[];
    /** Whether there are no entries, in which case no fingerprint needs to be computed. */
    isEmpty(): boolean;
}

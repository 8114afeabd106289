/**
 * Requests that crash the targets that run them.
 */
import * as types from "../Types.js";

/** What identifies a request; two requests with equal parts count as the same. */
export interface FingerprintParts {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    /** Query with its leading `?`, or empty. */
    readonly query: string;
    readonly bodyLength: number;
    /** The first 64 KiB of the body, or less if the body is shorter. */
    readonly bodyStart: Uint8Array;
}

export interface CrashCount {
    readonly fingerprint: string;
    readonly count: number;
}

/** Counts of broken connections by fingerprint. */
export interface CrashRegistry {
    /**
     * Counts a crash that this entry VM saw.
     *
     * @param fingerprint - a request that was in flight
     * @param target - the target that crashed; breaks at the same target within a second are one crash
     * @returns the new count
     */
    recordCrash(fingerprint: string, target: types.TargetId): number;
    /** A request with this fingerprint was answered; counts below the limit are forgotten. */
    recordResponse(fingerprint: string): void;
    /** Takes over the count of a peer if it is greater. */
    mergeCount(fingerprint: string, count: number): void;
    /** Whether requests with this fingerprint are refused. */
    isBlocked(fingerprint: string): boolean;
    list(): readonly CrashCount[];
    /** Whether there is no count, so that no fingerprint need be computed. */
    isEmpty(): boolean;
}

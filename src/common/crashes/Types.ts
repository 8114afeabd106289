/**
 * Types for detecting and blocking requests that crash targets.
 */
import * as types from "../Types.js";

/** Parts that identify a request; requests with equal parts are treated as the same. */
export interface FingerprintParts {
    /** Host or service that the request is addressed to; what a host's requests are routed to may change or be split. */
    readonly addressee: string;
    /** Organisation of the caller; undefined if the caller needs no key. */
    readonly organisation?: types.OrganisationName | undefined;
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
    /** Records that a target has served a request with this fingerprint, which resets a count below the limit. */
    recordSuccess(fingerprint: string): void;
    /** Merges the count of a peer; the greater count is kept. */
    mergeCount(fingerprint: string, count: number): void;
    /** Whether requests with this fingerprint are refused. */
    isBlocked(fingerprint: string): boolean;
    list(): readonly CrashCount[];
    /** Whether there are no entries, in which case no fingerprint needs to be computed. */
    isEmpty(): boolean;
}

/** Runs of a service's targets that have ended under a request since one of them last served it. */
export interface CrashReport {
    readonly fingerprint: string;
    /** VMs of earlier versions do not say it. */
    readonly service?: types.ServiceName;
    /** Successful responses that have cleared earlier crashes; a report with a greater number replaces the others. */
    readonly responses: number;
    readonly targetRuns: readonly string[];
    /** Time after which the report is obsolete, in milliseconds. */
    readonly expiresInMs: number;
}

/** A target from its start to its end. */
export interface TargetRun {
    readonly id: types.TargetId;
    readonly service: types.ServiceName;
    readonly startedAtMs: number;
}

/** Counts the targets that have ended under equal requests at all VMs. */
export interface RequestCrashes {
    /**
     * Counts the end of a target, unless that is known already: equal requests in flight at it count once.
     *
     * @param fingerprint - fingerprint of the request that it was running
     * @param target - the run of the target that has ended
     * @returns the number of targets that have ended under the request, in all services
     */
    recordCrash(fingerprint: string, target: TargetRun): number;
    /**
     * Records that a target has served the request, which clears earlier crashes in its service. Another response does not
     * tell whether the target would have ended under it, and other services run other code.
     */
    recordSuccess(fingerprint: string, service: types.ServiceName): void;
    /**
     * Merges reports of peers.
     *
     * @param reports - in any order
     * @returns those that contained anything new
     */
    applyReports(reports: readonly CrashReport[]): readonly CrashReport[];
    /** All that is known, for a peer that joins. */
    listReports(): readonly CrashReport[];
    /** Whether requests with this fingerprint are refused. */
    isBlocked(fingerprint: string): boolean;
    /** Number of fingerprints whose requests are refused. */
    countBlocked(): number;
    /** Fires when this VM has seen a crash, or a success that clears crashes. */
    readonly onDidChange: types.Event<CrashReport>;
}

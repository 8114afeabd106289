/**
 * Types shared by the modules of the claim controller.
 */
import * as claims from "../../common/claims/Types.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";

export interface ClaimLimits {
    /** Maximum number of keys in the key table. */
    readonly maxKeys: number;
    /** Maximum bytes of responses kept for resent requests. */
    readonly keptAnswerBytes: number;
    /** How long a key is kept, in milliseconds; rounded up to whole epochs. */
    readonly keyRetentionMs: number;
    /** Maximum number of foreign keys that wait for the table service at the same time; 1,000 if absent. */
    readonly maxWaitingClaims?: number;
}

export interface ClaimControllerOptions {
    readonly incarnation: types.IncarnationId;
    readonly scheduler: types.Scheduler;
    readonly table: platform.TableService;
    /** Returns a string that is unique across all calls and processes. */
    readonly createToken: () => string;
    readonly limits: ClaimLimits;
    readonly logger: types.Logger;
    /** False while the VM is leaving, so that no new caller gets a key prefix; always true if absent. */
    readonly mayIssue?: () => boolean;
}

/** An attempt that the arbiter has allowed to run. */
export interface ClaimRun {
    readonly key: claims.KeyId;
    readonly epoch: number;
    readonly attempt: number;
}

export type ArbiterDecision =
    { readonly kind: "run"; readonly run: ClaimRun } | Exclude<claims.ClaimDecision, { kind: "run" | "forward" }>;

/** Decides on keys from the in-memory key table of this incarnation. */
export interface KeyArbiter {
    /** Computes the current epoch from the local monotonic clock. */
    computeEpoch(): number;
    beginIssued(key: claims.KeyId, signature: claims.RequestSignature, epoch: number): ArbiterDecision;
    /** Returns the outcome of a key that this incarnation has issued. */
    findIssued(key: claims.KeyId, epoch: number): claims.KnownOutcome;
    /** Returns the outcome of a foreign key; `unknown` if the key is not in memory. */
    findForeign(key: claims.KeyId): claims.KnownOutcome;
    beginForeign(key: claims.KeyId, signature: claims.RequestSignature): ArbiterDecision;
    /**
     * Ends an attempt and resolves the requests that wait for its result.
     *
     * @param run - the attempt
     * @param result - result for the waiting requests
     * @param end - end to record, if it differs from the result
     */
    finish(run: ClaimRun, result: claims.ClaimResult, end?: claims.KeyEnd): void;
    measure(): { readonly keys: number; readonly keptBytes: number };
}

/**
 * Parts of the claim controller.
 */
import * as claims from "../../common/claims/Types.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";

export interface ClaimLimits {
    /** Entries in the memory of keys. */
    readonly maxKeys: number;
    /** Bytes of answers kept for resends. */
    readonly keptAnswerBytes: number;
    /** How long a key is remembered; rounded up to whole epochs. */
    readonly keyRetentionMs: number;
    /** Foreign keys that wait for the table service at the same time; 1,000 if absent. */
    readonly maxWaitingClaims?: number;
}

export interface ClaimControllerOptions {
    readonly incarnation: types.IncarnationId;
    readonly scheduler: types.Scheduler;
    readonly table: platform.TableService;
    /** Returns a text that no other call of any process returns. */
    readonly createToken: () => string;
    readonly limits: ClaimLimits;
    readonly logger: types.Logger;
    /** False while leaving, so that no new caller gets a key prefix; always true if absent. */
    readonly mayIssue?: () => boolean;
}

/** An attempt that the arbiter's memory has allowed. */
export interface ClaimRun {
    readonly key: claims.KeyId;
    readonly epoch: number;
    readonly attempt: number;
}

export type ArbiterDecision =
    { readonly kind: "run"; readonly run: ClaimRun } | Exclude<claims.ClaimDecision, { kind: "run" | "forward" }>;

/** Keys in the memory of this incarnation. */
export interface KeyArbiter {
    /** Epoch of the local monotonic clock. */
    computeEpoch(): number;
    beginIssued(key: claims.KeyId, signature: claims.RequestSignature, epoch: number): ArbiterDecision;
    /** Outcome of a key that this incarnation has issued. */
    findIssued(key: claims.KeyId, epoch: number): claims.KnownOutcome;
    /** Outcome of a foreign key, if it is in memory. */
    findForeign(key: claims.KeyId): claims.KnownOutcome;
    beginForeign(key: claims.KeyId, signature: claims.RequestSignature): ArbiterDecision;
    /**
     * Ends an attempt and answers the requests that wait for it.
     *
     * @param end - what to remember, if it differs from the result
     */
    finish(run: ClaimRun, result: claims.ClaimResult, end?: claims.KeyEnd): void;
    measure(): { readonly keys: number; readonly keptBytes: number };
}

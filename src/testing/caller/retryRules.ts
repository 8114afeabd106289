/**
 * Rules for when and where a caller may send a call again.
 */
import * as errors from "../../common/errors/Types.js";

/** Result of one try. */
export type TryResult =
    | { readonly kind: "answered"; readonly outcome: errors.Outcome; readonly error: string | undefined }
    /** The connection could not be opened, so nothing was sent. */
    | { readonly kind: "notSent" }
    /** The connection broke or the try timed out without a response. */
    | { readonly kind: "noAnswer" };

export type RetryDecision = "stop" | "sendElsewhere" | "sendAnywhere";

/** Errors with the outcome "not run" for which a retry cannot succeed. */
const permanentErrors = new Set([
    "bad_request",
    "header_too_large",
    "unknown_service",
    "idempotency_key_required",
    "idempotency_key_reused",
    "body_too_large",
    "crashes_targets",
]);

/** Errors with the outcome "may have run" for which the arbiter cannot establish whether the call ran. */
const finalErrors = new Set(["arbiter_gone", "key_expired", "body_limit_exceeded"]);

/**
 * Decides whether and where to send a call again after a try.
 *
 * @param result - the result of the try
 * @param hasKey - whether the call carries an idempotency key
 * @param isIdempotent - whether the request may run more than once
 * @returns the decision; a retry uses the same key, if any
 */
export const pickRetry = (result: TryResult, hasKey: boolean, isIdempotent: boolean): RetryDecision => {
    switch (result.kind) {
        case "notSent":
            return "sendElsewhere";
        case "noAnswer":
            return hasKey || isIdempotent ? "sendElsewhere" : "stop";
        case "answered":
            if (result.outcome === "ran") {
                return "stop";
            }
            if (result.outcome === "not-run") {
                return permanentErrors.has(result.error ?? "") ? "stop" : "sendElsewhere";
            }
            return finalErrors.has(result.error ?? "") || !(hasKey || isIdempotent) ? "stop" : "sendAnywhere";
    }
};

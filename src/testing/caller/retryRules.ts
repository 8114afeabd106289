/**
 * When a caller may send a call again, and where.
 */
import * as errors from "../../common/errors/Types.js";

/** What came of one sending. */
export type SendingResult =
    | { readonly kind: "answered"; readonly outcome: errors.Outcome; readonly error: string | undefined }
    /** The connection could not be opened, so nothing was sent. */
    | { readonly kind: "notSent" }
    /** The connection broke or the time passed without an answer. */
    | { readonly kind: "noAnswer" };

export type RetryDecision = "stop" | "sendElsewhere" | "sendAnywhere";

/** "Not run", but sending the same again cannot help. */
const permanentErrors = new Set([
    "bad_request",
    "header_too_large",
    "unknown_service",
    "idempotency_key_required",
    "idempotency_key_reused",
    "body_too_large",
    "crashes_targets",
]);

/** "May have run", and the arbiter cannot tell more. */
const finalErrors = new Set(["arbiter_gone", "key_expired", "body_limit_exceeded"]);

/**
 * Decides what to do after a sending.
 *
 * @param result - what came of it
 * @param hasKey - whether the call carries an idempotency key
 * @param isIdempotent - whether the request may run more than once
 * @returns whether to send again; with a key, it is the same key
 */
export const pickRetry = (result: SendingResult, hasKey: boolean, isIdempotent: boolean): RetryDecision => {
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

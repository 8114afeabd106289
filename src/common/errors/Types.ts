/**
 * Error kinds and their responses.
 */

/** Whether the call ran, as far as known when the response is sent. */
export type Outcome = "ran" | "not-run" | "may-have-run";

export type ErrorKind =
    | "bad_request"
    | "header_too_large"
    | "unknown_service"
    | "idempotency_key_required"
    | "idempotency_key_reused"
    | "body_too_large"
    | "body_limit_exceeded"
    | "request_truncated"
    | "deadline_exceeded_not_run"
    | "deadline_exceeded"
    | "queue_full"
    | "no_target"
    | "stale_configuration"
    | "arbiter_full"
    | "arbiter_gone"
    | "key_expired"
    | "key_in_progress"
    | "answer_not_kept"
    | "claim_store_unavailable"
    | "outcome_unknown"
    | "target_refused"
    | "target_unreachable"
    | "answer_truncated"
    | "answer_mismatched"
    | "crashes_targets"
    | "overloaded"
    | "leaving"
    | "internal";

/** The response for an error kind. */
export interface ErrorResponse {
    /** HTTP status. */
    readonly status: number;
    readonly outcome: Outcome;
    /** What the caller can do; documented in `docs/callers.md`. */
    readonly advice: string;
}

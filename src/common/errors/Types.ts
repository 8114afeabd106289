/**
 * The closed list of error kinds.
 */

/** What is known of a call when it is answered. */
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

/** The answer that an error kind leads to. */
export interface ErrorRule {
    /** HTTP status. */
    readonly status: number;
    readonly outcome: Outcome;
    /** What the caller can do, as documented for callers. */
    readonly advice: string;
}

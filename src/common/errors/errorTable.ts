/**
 * Maps each error kind to its response. `docs/callers.md` documents the same table.
 */
import * as types from "./Types.js";

const retryAdvice = "Send it again, with the same key if it has one.";
const otherAddressAdvice = "Send it to another address of a new lookup answer.";
const retryWithSameKeyAdvice = "Send it again with the same key to learn the outcome; do not use a new key.";
const correctRequestAdvice = "Correct the request.";

export const errorTable: Readonly<Record<types.ErrorKind, types.ErrorResponse>> = {
    bad_request: { status: 400, outcome: "not-run", advice: correctRequestAdvice },
    header_too_large: { status: 431, outcome: "not-run", advice: correctRequestAdvice },
    unknown_service: { status: 404, outcome: "not-run", advice: correctRequestAdvice },
    idempotency_key_required: { status: 400, outcome: "not-run", advice: "Send it with an Idempotency-Key header." },
    idempotency_key_reused: { status: 422, outcome: "not-run", advice: "Use a new key for a different request." },
    body_too_large: { status: 413, outcome: "not-run", advice: correctRequestAdvice },
    body_limit_exceeded: { status: 413, outcome: "may-have-run", advice: correctRequestAdvice },
    request_truncated: { status: 400, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
    deadline_exceeded_not_run: { status: 504, outcome: "not-run", advice: retryAdvice },
    deadline_exceeded: { status: 504, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
    queue_full: { status: 503, outcome: "not-run", advice: retryAdvice },
    no_target: { status: 503, outcome: "not-run", advice: retryAdvice },
    stale_configuration: { status: 503, outcome: "not-run", advice: otherAddressAdvice },
    arbiter_full: { status: 503, outcome: "not-run", advice: otherAddressAdvice },
    arbiter_gone: { status: 502, outcome: "may-have-run", advice: "Find out from the service whether it ran." },
    key_expired: { status: 409, outcome: "may-have-run", advice: "Find out from the service whether it ran." },
    key_in_progress: { status: 409, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
    answer_not_kept: { status: 410, outcome: "ran", advice: "It ran once. Ask the service for its result." },
    claim_store_unavailable: {
        status: 503,
        outcome: "not-run",
        advice: "Use a key with a prefix of the lookup answer.",
    },
    outcome_unknown: { status: 502, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
    target_refused: { status: 503, outcome: "not-run", advice: retryAdvice },
    target_unreachable: { status: 502, outcome: "not-run", advice: retryAdvice },
    answer_truncated: { status: 502, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
    answer_mismatched: { status: 502, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
    crashes_targets: {
        status: 503,
        outcome: "not-run",
        advice: "Do not send it again; it breaks the servers that run it.",
    },
    overloaded: { status: 503, outcome: "not-run", advice: retryAdvice },
    leaving: { status: 503, outcome: "not-run", advice: otherAddressAdvice },
    internal: { status: 500, outcome: "may-have-run", advice: retryWithSameKeyAdvice },
};

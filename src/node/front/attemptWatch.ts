/**
 * Time limits of one attempt.
 */
import * as crypto from "node:crypto";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as forward from "../forward/Types.js";
import * as bodyReader from "./bodyReader.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

/** A late answer to a call with an idempotency key is awaited for this time after the deadline. */
const lateAnswerMs = 30_000;

/** Limits that end with the attempt. */
export interface AttemptWatch extends shared.Disposable {
    /** Called when the head of the answer is there. */
    stopSilenceLimit(): void;
}

/**
 * Makes the id of a new attempt.
 *
 * @returns a random id
 */
export const createAttemptId = (): shared.AttemptId => ids.toAttemptId(crypto.randomUUID());

/**
 * Makes the headers that an attempt sends.
 *
 * @param call - the call
 * @param attempt - id of the attempt
 * @param endsAtMs - local monotonic time at which the attempt must have ended
 * @param nowMs - local monotonic time
 * @returns the caller's headers, the ids and the time that is left
 */
export const createAttemptHeaders = (
    call: types.Call,
    attempt: shared.AttemptId,
    endsAtMs: number,
    nowMs: number,
): Record<string, string | string[]> => ({
    ...call.head.headers,
    [headers.headerNames.requestId]: call.head.id,
    [headers.headerNames.attempt]: attempt,
    [headers.headerNames.deadline]: String(Math.max(1, Math.floor(endsAtMs - nowMs))),
});

/**
 * Ends an attempt that takes too long or whose caller no longer needs it.
 *
 * @param options - the parts of the daemon
 * @param call - the call
 * @param attempt - the attempt
 * @param endsAtMs - local monotonic time at which the attempt must have ended
 * @param signal - the end of the caller's interest; ignored for calls that are not idempotent
 * @returns the limits
 */
export const createAttemptWatch = (
    options: types.StepOptions,
    call: types.Call,
    attempt: forward.Attempt,
    endsAtMs: number,
    signal: AbortSignal,
): AttemptWatch => {
    const { scheduler } = options;
    const abort = (): void => attempt.abort("deadline passed or caller left");
    // A target in cold start must be free again when its lease ends, so such an attempt ends on time.
    const isBoundByLease = endsAtMs < call.deadlineAtMs;
    const limitMs = call.isIdempotent || isBoundByLease ? endsAtMs : endsAtMs + lateAnswerMs;
    const limit = scheduler.schedule(limitMs - scheduler.now(), () => attempt.abort("time limit passed"));
    const isSilenceWatched = call.isIdempotent && bodyReader.isReplayable(call.body);
    const silence = isSilenceWatched
        ? scheduler.schedule(options.getSilentAfterMs(call.head.service), () => attempt.abort("silent"))
        : undefined;
    if (call.isIdempotent) {
        signal.addEventListener("abort", abort, { once: true });
    }
    return {
        stopSilenceLimit: () => silence?.dispose(),
        dispose: () => {
            limit.dispose();
            silence?.dispose();
            signal.removeEventListener("abort", abort);
        },
    };
};

/**
 * Ids, headers and timeouts of attempts.
 */
import * as crypto from "node:crypto";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as forward from "../forward/Types.js";
import * as bodyReader from "./bodyReader.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

/** Time after the deadline for which a late response to a call with an idempotency key is awaited. */
const lateResponseMs = 30_000;

/** Timers of one attempt; dispose them when it ends. */
export interface AttemptTimeouts extends shared.Disposable {
    /** Stops the timeout for the response head, after the head has arrived. */
    stopResponseTimeout(): void;
}

/**
 * Creates an id for a new attempt.
 *
 * @returns a random id
 */
export const createAttemptId = (): shared.AttemptId => ids.toAttemptId(crypto.randomUUID());

/**
 * Creates the request headers of an attempt.
 *
 * @param call - the call
 * @param attempt - id of the attempt
 * @param endsAtMs - local monotonic time by which the attempt must have ended
 * @param nowMs - local monotonic time
 * @returns the caller's headers, the ids and the remaining time in ms
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
 * Starts timers that abort an attempt when it takes too long or its caller has disconnected.
 *
 * @param options - dependencies of the forwarder
 * @param call - the call
 * @param attempt - the attempt
 * @param endsAtMs - local monotonic time by which the attempt must have ended
 * @param signal - aborted when the caller disconnects or the deadline passes; ignored for non-idempotent calls
 * @returns the timers
 */
export const createAttemptTimeouts = (
    options: types.ForwarderOptions,
    call: types.Call,
    attempt: forward.Attempt,
    endsAtMs: number,
    signal: AbortSignal,
): AttemptTimeouts => {
    const { scheduler } = options;
    const abort = (): void => attempt.abort("deadline passed or caller disconnected");
    // The slot of a target in cold start must be free when its lease ends, so such an attempt gets no extra time.
    const isBoundByLease = endsAtMs < call.deadlineAtMs;
    const timeoutAtMs = call.isIdempotent || isBoundByLease ? endsAtMs : endsAtMs + lateResponseMs;
    const attemptTimer = scheduler.schedule(timeoutAtMs - scheduler.now(), () => attempt.abort("attempt timed out"));
    const hasResponseTimeout = call.isIdempotent && bodyReader.isReplayable(call.body);
    const responseTimer = hasResponseTimeout
        ? scheduler.schedule(options.getResponseTimeoutMs(call.head.service), () => attempt.abort("silent"))
        : undefined;
    if (call.isIdempotent) {
        signal.addEventListener("abort", abort, { once: true });
    }
    return {
        stopResponseTimeout: () => responseTimer?.dispose(),
        dispose: () => {
            attemptTimer.dispose();
            responseTimer?.dispose();
            signal.removeEventListener("abort", abort);
        },
    };
};

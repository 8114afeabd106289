/**
 * The attempts of one request that are in flight.
 */
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as exchangeLog from "./exchangeLog.js";
import * as targetSender from "./targetSender.js";

/** Why attempts are stopped: no response has come in time, or it is no longer needed. */
export type StopReason = "deadline" | "client left" | "targets lost" | "not needed";

/**
 * Returns why the attempts that still run are stopped when their request ends.
 *
 * @param end - how the request has ended
 * @returns the reason
 */
export const toStopReason = (end: exchangeRequest.ExchangeEnd): StopReason => {
    switch (end.kind) {
        case "abandoned":
            return "client left";
        case "unreached":
            return "targets lost";
        case "target":
        case "refused":
        case "failed":
            return "not needed";
    }
};

export interface RunningAttempt {
    readonly reservation: targetPool.Reservation;
    readonly startedAtMs: number;
    /** Undefined until the attempt has ended by itself. */
    readonly result: targetSender.AttemptResult | undefined;
}

export interface RunningAttempts {
    count(): number;
    start(reservation: targetPool.Reservation): void;
    stopAll(reason: StopReason): void;
    /** Aborts the attempts that have not been sent yet; the others continue. */
    abortUnsent(): void;
    /** Logs the attempts, which end with the process. */
    logCutOff(): void;
}

interface Entry extends RunningAttempt {
    readonly attempt: targetSender.Attempt;
    result: targetSender.AttemptResult | undefined;
    hasEnded: boolean;
}

/**
 * Creates an empty set of attempts.
 *
 * @param options - how to send attempts and handle their results
 * @returns the attempts
 */
export const createRunningAttempts = (options: {
    readonly clock: shared.Clock;
    readonly log: exchangeLog.ExchangeLog;
    send(reservation: targetPool.Reservation): targetSender.Attempt;
    /** Called once for each attempt that was not stopped. */
    handleResult(attempt: RunningAttempt, result: targetSender.AttemptResult): void;
    /** Called for each attempt that was sent and had no response when it was stopped, although one was needed. */
    handleNoResponse(attempt: RunningAttempt): void;
    /** Called with an error of the attempt or of its handler, after its slot was released. */
    handleError(error: unknown): void;
}): RunningAttempts => {
    const { clock, log } = options;
    const entries = new Set<Entry>();

    const handleResult = (entry: Entry, result: targetSender.AttemptResult): void => {
        if (!entry.hasEnded) {
            entry.hasEnded = true;
            entry.result = result;
            entries.delete(entry);
            options.handleResult(entry, result);
        }
    };

    const handleError = (entry: Entry, error: unknown): void => {
        entry.hasEnded = true;
        entries.delete(entry);
        entry.attempt.abort();
        entry.reservation.finish({ kind: "cancelled" }, undefined);
        options.handleError(error);
    };

    const stop = (entry: Entry, reason: StopReason): void => {
        entry.hasEnded = true;
        entries.delete(entry);
        if (entry.attempt.isSent() && reason !== "not needed") {
            options.handleNoResponse(entry);
        }
        entry.attempt.abort();
        entry.reservation.finish(reason === "deadline" ? { kind: "silent" } : { kind: "cancelled" }, undefined);
        const afterMs = Math.round(clock.now() - entry.startedAtMs);
        log.logAttempt(entry, reason === "deadline" ? "silent" : "stopped", { reason, afterMs });
    };

    return {
        count: () => entries.size,
        start: reservation => {
            const entry: Entry = {
                reservation,
                attempt: options.send(reservation),
                startedAtMs: clock.now(),
                result: undefined,
                hasEnded: false,
            };
            entries.add(entry);
            entry.attempt.result
                .then(result => handleResult(entry, result))
                .catch((error: unknown) => handleError(entry, error));
        },
        stopAll: reason => [...entries].forEach(entry => stop(entry, reason)),
        abortUnsent: () => entries.forEach(entry => entry.attempt.abortIfUnsent()),
        logCutOff: () => entries.forEach(entry => log.logCutOff(entry, clock.now() - entry.startedAtMs)),
    };
};

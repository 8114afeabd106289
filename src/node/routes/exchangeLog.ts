/**
 * Logs and counts the attempts of one request, each with the inputs by which its target was picked.
 */
import * as bodyForwarding from "./bodyForwarding.js";
import * as admissionDecision from "../../common/routes/admissionDecision.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";
import * as targetSender from "./targetSender.js";

/** Fields common to all log lines of a request. */
export interface ExchangeIdentity {
    readonly request: string;
    readonly route: string;
    readonly service: shared.ServiceName;
    /** Version of the configuration by which the request was routed. */
    readonly configuration: number;
    /** Organisation of the caller; undefined if the caller needs no key. */
    readonly organisation: shared.OrganisationName | undefined;
}

export type AttemptEnd = "answered" | "failed" | "refused" | "unreachable" | "silent" | "stopped";

/** How a wait for a slot ended; "left" if the client left or no time was left to wait. */
export type WaitEnd = admissionDecision.RefusalReason | "slot" | "limited" | "left";

export interface ExchangeMetrics {
    recordAttempt(end: AttemptEnd): void;
    recordHedge(): void;
    /** Counts an attempt that was not made because of the targets' limits. */
    recordLimited(): void;
    /** Counts a wait for a slot. */
    recordWait(priority: number, end: WaitEnd, waitedMs: number): void;
    /** Counts a body that was passed on while it was received. */
    recordStreamedBody(end: bodyForwarding.BodyEnd): void;
}

/** An attempt that has ended, by itself with a result or as it was stopped. */
export interface EndedAttempt {
    readonly reservation: targetPool.Reservation;
    readonly result: targetSender.AttemptResult | undefined;
}

export interface ExchangeLog {
    /** Logs the end of an attempt, successful or not. */
    logAttempt(attempt: EndedAttempt, end: AttemptEnd, fields: shared.LogFields): void;
    logHedge(reservation: targetPool.Reservation, afterMs: number): void;
    /** Logs an attempt in progress that ends with the process. */
    logCutOff(attempt: Pick<EndedAttempt, "reservation">, ageMs: number): void;
    /** Logs the end of a body that was passed on while it was received. */
    logBody(reservation: targetPool.Reservation, end: bodyForwarding.BodyEnd): void;
    /** Logs that no target takes the request because of their limits. */
    logLimited(fields: shared.LogFields): void;
    /** Logs that no target had a free slot in time. */
    logNoSlot(fields: shared.LogFields): void;
}

const formatPickInputs = (inputs: targetPool.PickInputs): shared.LogFields => ({
    expectedMs: Math.round(inputs.expectedMs),
    inFlight: Math.round(inputs.inFlight * 10) / 10,
    slowdown: Math.round(inputs.slowdown * 100) / 100,
    reportAgeMs: Number.isFinite(inputs.reportAgeMs) ? Math.round(inputs.reportAgeMs) : undefined,
    candidates: inputs.candidates,
    limitPerSecond: inputs.limitPerSecond,
});

/** Formats what tells by whom, and on which connection, an attempt was ended. */
const formatResult = (result: targetSender.AttemptResult | undefined): shared.LogFields => {
    if (result?.kind !== "response" && result?.kind !== "broken") {
        return {};
    }
    const response = result.kind === "response" ? result.response : undefined;
    const { number, carriedRequests } = result.kind === "response" ? result.response.connection : result.connection;
    return {
        status: response?.statusCode,
        responder: response?.head.target,
        connection: number,
        carried: carriedRequests,
    };
};

/**
 * Creates the log of a request.
 *
 * @param logger - receives the log lines
 * @param metrics - counts the attempts
 * @param identity - fields that identify the request
 * @returns the log
 */
export const createExchangeLog = (
    logger: shared.Logger,
    metrics: ExchangeMetrics,
    identity: ExchangeIdentity,
): ExchangeLog => ({
    logAttempt: ({ reservation, result }, end, fields) => {
        metrics.recordAttempt(end);
        const line = {
            ...identity,
            target: reservation.registration.id,
            address: reservation.registration.address,
            end,
            ...fields,
            ...formatResult(result),
            ...formatPickInputs(reservation.inputs),
        };
        if (end === "answered" || end === "stopped") {
            logger.info("exchange: attempt ended", line);
        } else {
            logger.warn("exchange: attempt ended", line);
        }
    },
    logHedge: (reservation, afterMs) => {
        metrics.recordHedge();
        logger.info("exchange: hedge sent", {
            ...identity,
            target: reservation.registration.id,
            afterMs: Math.round(afterMs),
            ...formatPickInputs(reservation.inputs),
        });
    },
    logCutOff: ({ reservation }, ageMs) =>
        logger.warn("drain: attempt cut off", {
            ...identity,
            target: reservation.registration.id,
            ageMs: Math.round(ageMs),
        }),
    logBody: (reservation, end) => {
        metrics.recordStreamedBody(end);
        const { kind, bytes, durationMs } = end;
        const line = {
            ...identity,
            target: reservation.registration.id,
            end: kind,
            reason: kind === "broken" ? end.reason : undefined,
            bytes,
            durationMs: Math.round(durationMs),
        };
        if (kind === "whole" || kind === "abandoned") {
            logger.info("exchange: body ended", line);
        } else {
            logger.warn("exchange: body ended", line);
        }
    },
    logLimited: fields => {
        metrics.recordLimited();
        logger.warn("exchange: targets limited", { ...identity, ...fields });
    },
    logNoSlot: fields => logger.warn("exchange: no free slot", { ...identity, ...fields }),
});

/**
 * Log lines and counts of one request: one for the end of each attempt, with what its target was picked by, and one for the answer.
 */
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";

/** What all lines of a request bear. */
export interface ExchangeIdentity {
    readonly request: string;
    readonly route: string;
    readonly service: shared.ServiceName;
    /** Version of the configuration that the request was routed by. */
    readonly configuration: number;
}

export type AttemptEnd = "answered" | "failed" | "refused" | "unreachable" | "silent" | "stopped";

export interface ExchangeMetrics {
    recordAttempt(end: AttemptEnd): void;
    recordHedge(): void;
}

export interface ExchangeLog {
    /** An attempt has ended, for better or worse. */
    logAttempt(ticket: targetPool.Reservation, end: AttemptEnd, fields: shared.LogFields): void;
    logHedge(ticket: targetPool.Reservation, afterMs: number): void;
    /** No target had room in time. */
    logNoSlot(fields: shared.LogFields): void;
}

const formatInputs = (inputs: targetPool.PickInputs): shared.LogFields => ({
    expectedMs: Math.round(inputs.expectedMs),
    inFlight: Math.round(inputs.inFlight * 10) / 10,
    slowdown: Math.round(inputs.slowdown * 100) / 100,
    reportAgeMs: Number.isFinite(inputs.reportAgeMs) ? Math.round(inputs.reportAgeMs) : undefined,
    candidates: inputs.candidates,
});

/**
 * Creates the log of a request.
 *
 * @param logger - receives the lines
 * @param metrics - counts the attempts
 * @param identity - which request it is
 * @returns the log
 */
export const createExchangeLog = (
    logger: shared.Logger,
    metrics: ExchangeMetrics,
    identity: ExchangeIdentity,
): ExchangeLog => ({
    logAttempt: (ticket, end, fields) => {
        metrics.recordAttempt(end);
        const line = { ...identity, target: ticket.registration.id, end, ...fields, ...formatInputs(ticket.inputs) };
        if (end === "answered" || end === "stopped") {
            logger.info("exchange: attempt", line);
        } else {
            logger.warn("exchange: attempt", line);
        }
    },
    logHedge: (ticket, afterMs) => {
        metrics.recordHedge();
        logger.info("exchange: hedged", {
            ...identity,
            target: ticket.registration.id,
            afterMs: Math.round(afterMs),
            ...formatInputs(ticket.inputs),
        });
    },
    logNoSlot: fields => logger.warn("exchange: no slot", { ...identity, ...fields }),
});

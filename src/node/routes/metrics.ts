/**
 * Counters and latency histograms of the daemon, as text in the Prometheus format.
 */
import * as promClient from "prom-client";
import * as callers from "../../common/routes/callers.js";
import * as bodyForwarding from "./bodyForwarding.js";
import * as bodyRefusals from "./bodyRefusals.js";
import * as clientClosing from "./clientClosing.js";
import * as drainControl from "./drainControl.js";
import * as exchangeLog from "./exchangeLog.js";
import * as metricSources from "./metricSources.js";
import * as notRun from "./notRun.js";
import * as unexpectedErrors from "./unexpectedErrors.js";
import * as unexpectedResponses from "./unexpectedResponses.js";

/** Cover the latency objectives, 100 ms to 1 s; the last buckets are for the longest deadlines. */
const latencyBucketsSeconds = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8];
/** Waits are shares of an objective. */
const waitBucketsSeconds = [0.001, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.8];
/** Priorities that have a label of their own; a configuration may contain any number. */
const labelledPriorities = 4;

/** How a request ended for the client. */
export type RequestEnd =
    "served" | "relayed" | "refused" | "over-quota" | "failed" | "abandoned" | "no-route" | "unidentified";

/** Whether a target that was lost under a request has ended; without a way to the targets this cannot be confirmed. */
export type CrashEnd = "counted" | "alive" | "unconfirmed";

/** What became of a request that was passed on to another VM; "not taken" if it has not run there. */
export type RelayOutcome = "relayed" | "refused" | "failed" | "abandoned" | "not taken";

export interface RouteMetrics extends drainControl.DrainMetrics {
    readonly contentType: string;
    recordRequest(end: RequestEnd, latencyMs: number): void;
    recordAttempt(end: exchangeLog.AttemptEnd): void;
    recordHedge(): void;
    recordLimited(): void;
    recordWait(priority: number, end: exchangeLog.WaitEnd, waitedMs: number): void;
    recordStreamedBody(end: bodyForwarding.BodyEnd): void;
    recordProbe(hasResponse: boolean): void;
    recordRelay(outcome: RelayOutcome): void;
    /** Counts a request that was refused as its caller is not known. */
    recordKeyFault(fault: callers.KeyFault): void;
    /** Counts a target that has ended under a request, or seems to have. */
    recordCrash(end: CrashEnd): void;
    /** Counts a value of a configuration that this version of the daemon does not know. */
    recordUnknownValue(field: string): void;
    /** Counts an error that no other handler expects. */
    recordError(source: unexpectedErrors.ErrorSource): void;
    /** Counts a response whose status promises that the request has not run. */
    recordNotRun(source: notRun.NotRunSource): void;
    /**
     * Counts bytes of a client that are no request.
     *
     * @param isBehindRequest - whether a request before them on their connection had no response yet
     */
    recordUnreadable(isBehindRequest: boolean): void;
    /** Counts a body of a client that was not read to its end. */
    recordRefusedBody(reason: bodyRefusals.RefusedBodyReason): void;
    /** Counts a connection of a client that was closed because there were too many. */
    recordExcessConnection(): void;
    /** Counts a connection that ended without its client closing it. */
    recordUnclosedConnection(reason: clientClosing.UnclosedReason): void;
    /** Counts a response on a connection to a target that belongs to no request, or to another one. */
    recordUnexpectedResponse(kind: unexpectedResponses.UnexpectedKind): void;
    /** Counts a header of a target whose value is malformed. */
    recordMalformedHeader(header: string): void;
    format(): Promise<string>;
}

/**
 * Creates the metrics.
 *
 * @param sources - values that are read on each scrape
 * @returns the metrics, initially zero
 */
export const createRouteMetrics = (sources: metricSources.MetricSources): RouteMetrics => {
    const registry = new promClient.Registry();
    const registers = [registry];
    const requests = new promClient.Histogram({
        name: `${metricSources.namePrefix}request_duration_seconds`,
        help: "Time from a request's arrival to its final answer, by end.",
        labelNames: ["end"],
        buckets: latencyBucketsSeconds,
        registers,
    });
    const attempts = new promClient.Counter({
        name: `${metricSources.namePrefix}attempts_total`,
        help: "Attempts at targets, by end.",
        labelNames: ["end"],
        registers,
    });
    const hedges = new promClient.Counter({
        name: `${metricSources.namePrefix}hedges_total`,
        help: "Second attempts that began before the first had ended.",
        registers,
    });
    const streamedBodies = new promClient.Histogram({
        name: `${metricSources.namePrefix}streamed_body_duration_seconds`,
        help: "Time in which a response body was passed on while it was received, by end.",
        labelNames: ["end"],
        buckets: latencyBucketsSeconds,
        registers,
    });
    const streamedBytes = new promClient.Counter({
        name: `${metricSources.namePrefix}streamed_bytes_total`,
        help: "Bytes of response bodies that were passed on while they were received.",
        registers,
    });
    const probes = new promClient.Counter({
        name: `${metricSources.namePrefix}probes_total`,
        help: "Questions to targets for their load, by whether they were answered.",
        labelNames: ["answered"],
        registers,
    });
    const relays = new promClient.Counter({
        name: `${metricSources.namePrefix}relays_total`,
        help: "Requests that were passed on to another VM, by what became of them there.",
        labelNames: ["end"],
        registers,
    });
    const keyFaults = new promClient.Counter({
        name: `${metricSources.namePrefix}key_refusals_total`,
        help: "Requests that were refused because of their key, by what is wrong with it.",
        labelNames: ["reason"],
        registers,
    });
    const unknownValues = new promClient.Counter({
        name: `${metricSources.namePrefix}unknown_values_total`,
        help: "Values in applied configurations that this version does not know, by field.",
        labelNames: ["field"],
        registers,
    });
    const crashes = new promClient.Counter({
        name: `${metricSources.namePrefix}crashes_total`,
        help: "Targets that were lost under a request, by whether this was counted against the request.",
        labelNames: ["end"],
        registers,
    });
    const limitedAttempts = new promClient.Counter({
        name: `${metricSources.namePrefix}limited_attempts_total`,
        help: "Attempts that were not made because of the targets' limits.",
        registers,
    });
    const slotWaits = new promClient.Histogram({
        name: `${metricSources.namePrefix}slot_wait_seconds`,
        help: "Time for which requests waited for a slot, by priority and how the wait ended.",
        labelNames: ["priority", "end"],
        buckets: waitBucketsSeconds,
        registers,
    });
    const malformedHeaders = new promClient.Counter({
        name: `${metricSources.namePrefix}malformed_headers_total`,
        help: "Headers of targets whose value was ignored as malformed, by header.",
        labelNames: ["header"],
        registers,
    });
    const errors = new promClient.Counter({
        name: `${metricSources.namePrefix}unexpected_errors_total`,
        help: "Errors that no other handler expects, by where they were caught.",
        labelNames: ["source"],
        registers,
    });
    const notRunResponses = new promClient.Counter({
        name: `${metricSources.namePrefix}not_run_responses_total`,
        help: "Responses to clients that promise that the request has not run, by who says so.",
        labelNames: ["source"],
        registers,
    });
    const unreadableRequests = new promClient.Counter({
        name: `${metricSources.namePrefix}unreadable_requests_total`,
        help: "Bytes of clients that are no request, by whether a request before them had no response yet.",
        labelNames: ["behind_request"],
        registers,
    });
    const refusedBodies = new promClient.Counter({
        name: `${metricSources.namePrefix}refused_bodies_total`,
        help: "Bodies of clients that were not read to their end, by reason.",
        labelNames: ["reason"],
        registers,
    });
    const excessConnections = new promClient.Counter({
        name: `${metricSources.namePrefix}excess_connections_total`,
        help: "Connections of clients that were closed because there were too many.",
        registers,
    });
    const unclosedConnections = new promClient.Counter({
        name: `${metricSources.namePrefix}unclosed_connections_total`,
        help: "Connections that ended without their clients closing them, by the bound that was reached.",
        labelNames: ["reason"],
        registers,
    });
    const strayResponses = new promClient.Counter({
        name: `${metricSources.namePrefix}unexpected_responses_total`,
        help: "Responses of targets that belong to no request, or to another one than that under way, by kind.",
        labelNames: ["kind"],
        registers,
    });
    const drainRefusals = new promClient.Counter({
        name: `${metricSources.namePrefix}drain_refusals_total`,
        help: "Work that did not begin as the VM drains and would not complete it, by what would have begun.",
        labelNames: ["phase"],
        registers,
    });
    const cutOffs = new promClient.Counter({
        name: `${metricSources.namePrefix}drain_cut_off_total`,
        help: "Requests that ended with the process, by what they were doing.",
        labelNames: ["phase"],
        registers,
    });
    metricSources.addSources(registry, sources);
    return {
        contentType: registry.contentType,
        recordRequest: (end, latencyMs) => requests.observe({ end }, latencyMs / 1_000),
        recordAttempt: end => attempts.inc({ end }),
        recordHedge: () => hedges.inc(),
        recordRelay: outcome => relays.inc({ end: outcome }),
        recordKeyFault: fault => keyFaults.inc({ reason: fault }),
        recordCrash: end => crashes.inc({ end }),
        recordLimited: () => limitedAttempts.inc(),
        recordWait: (priority, end, waitedMs) => {
            const label = priority >= 0 && priority < labelledPriorities ? String(Math.floor(priority)) : "other";
            slotWaits.observe({ priority: label, end }, waitedMs / 1_000);
        },
        recordStreamedBody: end => {
            streamedBodies.observe({ end: end.kind }, end.durationMs / 1_000);
            streamedBytes.inc(end.bytes);
        },
        recordProbe: hasResponse => probes.inc({ answered: String(hasResponse) }),
        recordUnknownValue: field => unknownValues.inc({ field }),
        recordError: source => errors.inc({ source }),
        recordNotRun: source => notRunResponses.inc({ source }),
        recordUnreadable: isBehindRequest => unreadableRequests.inc({ behind_request: String(isBehindRequest) }),
        recordRefusedBody: reason => refusedBodies.inc({ reason }),
        recordUnclosedConnection: reason => unclosedConnections.inc({ reason }),
        recordExcessConnection: () => excessConnections.inc(),
        recordUnexpectedResponse: kind => strayResponses.inc({ kind }),
        recordMalformedHeader: header => malformedHeaders.inc({ header }),
        recordDrainRefusal: phase => drainRefusals.inc({ phase }),
        recordCutOff: phase => cutOffs.inc({ phase }),
        format: () => registry.metrics(),
    };
};

/**
 * Brings one request to an end: picks targets, repeats and hedges where the route and the budget allow it, and answers at
 * the deadline at the latest.
 */
import * as crashes from "../../common/crashes/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as routes from "../../common/routes/Types.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as shared from "../../common/Types.js";
import * as exchangeLog from "./exchangeLog.js";
import * as runningAttempts from "./runningAttempts.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

/** Longest wait for a slot, as a share of the objective: a refusal that comes later costs the client its next try. */
const waitShare = 0.25;
/** An idempotent request is sent to a second target after this share of its objective. */
const hedgeShare = 0.45;
/** A refused client is told to come back after this time; a slot frees up about that often. */
const retryAfterMs = 100;
/** Targets that may refuse a request before the load balancer does. */
const maxRefusals = 2;
/** Targets that may turn out not to be reached; several at once are behind the same cut as a rule. */
const maxUnreached = 3;
/** Time that an attempt must have left to be worth starting. */
const shortestAttemptMs = 10;

export interface ExchangeRequest {
    readonly outgoing: targetSender.OutgoingRequest;
    readonly route: routes.Route;
    readonly service: shared.ServiceName;
    /** Local monotonic time of the final answer at the latest. */
    readonly deadlineAtMs: number;
    readonly fingerprint: string;
    /** Version of the configuration that the request was routed by. */
    readonly configurationVersion: number;
    /** Aborted when the client has left. */
    readonly signal: AbortSignal;
}

export type FinalAnswer =
    | { readonly kind: "target"; readonly answer: targetConnection.TargetAnswer; readonly target: shared.TargetId }
    /** The request did not run and will not. */
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number }
    /** The request may have run. */
    | { readonly kind: "failed"; readonly reason: string; readonly statusCode: 502 | 504 }
    | { readonly kind: "abandoned" };

export interface ExchangeOptions {
    readonly scheduler: shared.Scheduler;
    readonly book: targetPool.TargetPool;
    readonly line: admissionQueue.AdmissionQueue<targetPool.PickResult>;
    readonly sender: Pick<targetSender.TargetSender, "start">;
    readonly budget: routing.RetryBudget;
    readonly crashes: crashes.CrashRegistry;
    readonly logger: shared.Logger;
    readonly metrics: exchangeLog.ExchangeMetrics;
    /** The request broke the connection to a target. */
    reportCrash(fingerprint: string, target: shared.TargetId): void;
}

/**
 * Runs a request.
 *
 * @param options - what the daemon's requests share
 * @param request - the request
 * @returns the one answer for the client
 */
export const runExchange = (options: ExchangeOptions, request: ExchangeRequest): Promise<FinalAnswer> =>
    new Promise(resolve => createExchange(options, request, resolve).start());

const createExchange = (
    options: ExchangeOptions,
    request: ExchangeRequest,
    resolve: (answer: FinalAnswer) => void,
): { start(): void } => {
    const { scheduler, book, budget } = options;
    const { route, service, outgoing } = request;
    const isIdempotent = route.kind === "idempotent";
    const log = exchangeLog.createExchangeLog(options.logger, options.metrics, {
        request: outgoing.id,
        route: route.name,
        service,
        configuration: request.configurationVersion,
    });
    const tried = new Set<shared.TargetId>();
    const startedAtMs = scheduler.now();
    const timers: shared.Disposable[] = [];
    const waiting = new AbortController();
    /** Attempts that ran or may have run. */
    let runs = 0;
    let refusals = 0;
    let unreached = 0;
    let isDone = false;
    let failure: FinalAnswer | undefined;

    const computeLeftMs = (): number => request.deadlineAtMs - scheduler.now();

    const pickTarget = (wantedMs: number): targetPool.PickResult =>
        book.pick({ service, route, bodyBytes: outgoing.body.length, exclude: tried, acceptableLatencyMs: wantedMs });

    /** What is left of the objective; a request that has missed it takes any target. */
    const computeWantedMs = (): number => {
        const leftMs = startedAtMs + route.objectiveMs - scheduler.now();
        return leftMs > 0 ? leftMs : Infinity;
    };

    const computeAgeMs = (entry: runningAttempts.RunningAttempt): number =>
        Math.round(scheduler.now() - entry.startedAtMs);

    const mayHaveRun = (): boolean => runs > 0;

    const finish = (answer: FinalAnswer): void => {
        if (isDone) {
            return;
        }
        isDone = true;
        timers.forEach(timer => timer.dispose());
        request.signal.removeEventListener("abort", handleAbandon);
        waiting.abort();
        // After its client has left, a request that may not be repeated goes on: nobody could tell how far it came.
        if (answer.kind === "abandoned" && !isIdempotent) {
            running.withdrawAll();
        } else {
            running.stopAll("not needed");
        }
        resolve(answer);
    };

    const refuse = (reason: string): void => finish({ kind: "refused", reason, retryAfterMs });

    /** The answer when no further attempt is made. */
    const giveUp = (reason: string): void => {
        if (running.count() > 0) {
            return;
        }
        if (failure !== undefined) {
            finish(failure);
        } else if (mayHaveRun() && !isIdempotent) {
            finish({ kind: "failed", reason, statusCode: 502 });
        } else {
            refuse(reason);
        }
    };

    const handleDeadline = (): void => {
        running.stopAll("deadline");
        if (mayHaveRun()) {
            finish({ kind: "failed", reason: "deadline", statusCode: 504 });
        } else {
            refuse("no slot before the deadline");
        }
    };

    const handleAbandon = (): void => finish({ kind: "abandoned" });

    const mayRepeat = (): boolean =>
        !isDone && runs < route.maxTargets && computeLeftMs() > shortestAttemptMs && budget.takeRetry(service);

    const repeat = (reason: string): void => {
        if (isDone || running.count() > 0) {
            return;
        }
        if (mayRepeat()) {
            void sendNext(reason);
        } else {
            giveUp(reason);
        }
    };

    const handleFailedRun = (entry: runningAttempts.RunningAttempt, reason: string): void => {
        log.logAttempt(entry.ticket, "failed", { reason, runs, latencyMs: computeAgeMs(entry) });
        if (isIdempotent) {
            repeat(reason);
        } else {
            failure ??= { kind: "failed", reason, statusCode: 502 };
            giveUp(reason);
        }
    };

    const handleRefusal = (entry: runningAttempts.RunningAttempt): void => {
        runs--;
        refusals++;
        log.logAttempt(entry.ticket, "refused", { refusals, latencyMs: computeAgeMs(entry) });
        if (refusals < maxRefusals) {
            repeat("refused by targets");
        } else {
            giveUp("refused by targets");
        }
    };

    /** Nothing was sent, so that another target is no retry and costs no budget. */
    const handleUnreached = (entry: runningAttempts.RunningAttempt): void => {
        runs--;
        unreached++;
        log.logAttempt(entry.ticket, "unreachable", { unreached, latencyMs: computeAgeMs(entry) });
        const mayTryNext = !isDone && running.count() === 0 && computeLeftMs() > shortestAttemptMs;
        if (mayTryNext && unreached < maxUnreached) {
            void sendNext("target not reached");
        } else {
            giveUp("targets not reached");
        }
    };

    const handleAnswer = (entry: runningAttempts.RunningAttempt, answer: targetConnection.TargetAnswer): void => {
        const { head, statusCode } = answer;
        const finishTicket = (outcome: routes.AttemptOutcome): void => entry.ticket.finish(outcome, head.load);
        if (head.isRefusal || statusCode === 421) {
            finishTicket({ kind: "refused" });
            handleRefusal(entry);
            return;
        }
        options.crashes.recordResponse(request.fingerprint);
        const isWhole = head.isSealed && !head.isEncoded;
        const isFailure = statusCode >= 500 || !isWhole;
        const latencyMs = scheduler.now() - entry.startedAtMs;
        finishTicket({ kind: "answered", latencyMs, isFailure, responseBytes: answer.body.length });
        const final: FinalAnswer = { kind: "target", answer, target: entry.ticket.registration.id };
        if (isFailure) {
            failure = isWhole ? final : failure;
            handleFailedRun(entry, isWhole ? `status ${statusCode}` : "answer without signature");
            return;
        }
        log.logAttempt(entry.ticket, "answered", { status: statusCode, runs, latencyMs: Math.round(latencyMs) });
        finish(final);
    };

    const handleResult = (entry: runningAttempts.RunningAttempt, result: targetSender.AttemptResult): void => {
        switch (result.kind) {
            case "answer":
                handleAnswer(entry, result.answer);
                break;
            case "unreachable":
                entry.ticket.finish({ kind: "unreachable" }, undefined);
                handleUnreached(entry);
                break;
            case "withdrawn":
                entry.ticket.finish({ kind: "cancelled" }, undefined);
                break;
            case "broken":
                entry.ticket.finish({ kind: "broken" }, undefined);
                options.reportCrash(request.fingerprint, entry.ticket.registration.id);
                handleFailedRun(entry, result.reason);
                break;
        }
    };

    const running = runningAttempts.createRunningAttempts({
        clock: scheduler,
        log,
        handleResult,
        send: ticket =>
            options.sender.start({
                registration: ticket.registration,
                request: outgoing,
                leftMs: computeLeftMs,
                mayRepeat: isIdempotent,
            }),
    });

    const startAttempt = (ticket: targetPool.Reservation): void => {
        tried.add(ticket.registration.id);
        runs++;
        running.start(ticket);
    };

    const sendNext = async (reason: string): Promise<void> => {
        const askedAtMs = scheduler.now();
        const pick = await options.line.wait({
            service,
            priority: route.priority,
            maxWaitMs: Math.min(computeLeftMs(), route.objectiveMs * waitShare),
            signal: waiting.signal,
            take: isLast => {
                const result = pickTarget(isLast ? Infinity : computeWantedMs());
                return result.kind === "target" ? result : undefined;
            },
        });
        if (isDone) {
            if (pick?.kind === "target") {
                pick.reservation.finish({ kind: "cancelled" }, undefined);
            }
        } else if (pick?.kind === "target") {
            startAttempt(pick.reservation);
        } else {
            log.logNoSlot({ reason, runs, waitedMs: Math.round(scheduler.now() - askedAtMs) });
            giveUp("no free slot");
        }
    };

    const hedge = (): void => {
        if (isDone || running.count() !== 1 || runs >= route.maxTargets) {
            return;
        }
        const pick = pickTarget(computeWantedMs());
        if (pick.kind !== "target") {
            return;
        }
        if (computeLeftMs() <= shortestAttemptMs || !budget.takeRetry(service)) {
            pick.reservation.finish({ kind: "cancelled" }, undefined);
            return;
        }
        log.logHedge(pick.reservation, scheduler.now() - startedAtMs);
        startAttempt(pick.reservation);
    };

    return {
        start: () => {
            budget.recordCall(service);
            if (request.signal.aborted) {
                finish({ kind: "abandoned" });
                return;
            }
            request.signal.addEventListener("abort", handleAbandon, { once: true });
            timers.push(scheduler.schedule(computeLeftMs(), handleDeadline));
            if (isIdempotent && route.maxTargets > 1) {
                timers.push(scheduler.schedule(route.objectiveMs * hedgeShare, hedge));
            }
            void sendNext("first attempt");
        },
    };
};

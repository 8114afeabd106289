/**
 * Runs one request to completion: picks targets, retries and hedges where the route and the retry budget allow it, and
 * responds at the deadline at the latest.
 */
import * as routeKind from "../../common/routes/routeKind.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";
import * as bodyForwarding from "./bodyForwarding.js";
import * as bodyOutcome from "./bodyOutcome.js";
import * as drainControl from "./drainControl.js";
import * as exchangeAdmission from "./exchangeAdmission.js";
import * as exchangeLog from "./exchangeLog.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as exchangeTiming from "./exchangeTiming.js";
import * as guards from "./guard.js";
import * as notRun from "./notRun.js";
import * as refusalCount from "./refusalCount.js";
import * as responseBodies from "./responseBodies.js";
import * as runningAttempts from "./runningAttempts.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

/** Retry-After of refusals; a slot becomes free about that often. */
const retryAfterMs = 100;
/** Unreachable targets after which a request is given up; several at once are usually cut off by the same partition. */
const maxUnreachableTargets = 3;

/**
 * Runs a request.
 *
 * @param options - dependencies shared by all requests of the daemon
 * @param request - the request
 * @returns the final response for the client
 */
export const runExchange = (
    options: exchangeOptions.ExchangeOptions,
    request: exchangeRequest.ExchangeRequest,
): Promise<exchangeRequest.ExchangeEnd> => new Promise(resolve => createExchange(options, request, resolve).start());

const createExchange = (
    options: exchangeOptions.ExchangeOptions,
    request: exchangeRequest.ExchangeRequest,
    resolve: (response: exchangeRequest.ExchangeEnd) => void,
): { start(): void } => {
    const { scheduler, targets, budget, drain } = options;
    const { route, service, outgoing } = request;
    const isIdempotent = routeKind.isIdempotent(route.kind);
    const log = exchangeLog.createExchangeLog(options.logger, options.metrics, {
        request: outgoing.id,
        route: route.name,
        service,
        configuration: request.configurationVersion,
        organisation: request.organisation,
    });
    const triedTargets = new Set<shared.TargetId>();
    const startedAtMs = scheduler.now();
    const timing = exchangeTiming.createExchangeTiming({
        clock: scheduler,
        objectiveMs: route.objectiveMs,
        deadlineAtMs: request.deadlineAtMs,
    });
    const timers: shared.Disposable[] = [];
    const queueAbort = new AbortController();
    /** Number of attempts that ran or may have run. */
    let runs = 0;
    const refusals = refusalCount.createRefusalCount();
    let unreachableTargets = 0;
    let isDone = false;
    let failure: exchangeRequest.FinalResponse | undefined;

    const pickTarget = (acceptableLatencyMs: number): targetPool.PickResult =>
        targets.pick({
            service,
            route,
            bodyBytes: outgoing.body.length,
            exclude: triedTargets,
            acceptableLatencyMs,
            isRepeat: runs > 0 || refusals.count() > 0,
        });

    /** Other requests may have crashed targets since this one arrived. */
    const isBlocked = (): boolean => options.crashes.isBlocked(request.fingerprint);

    const mayBegin = (phase: drainControl.DrainPhase): boolean =>
        drain.mayBegin(exchangeRequest.toDrainingRequest(request), phase);

    const computeAgeMs = (attempt: runningAttempts.RunningAttempt): number =>
        Math.round(scheduler.now() - attempt.startedAtMs);

    const finish = (response: exchangeRequest.ExchangeEnd): void => {
        if (isDone) {
            return;
        }
        isDone = true;
        resolve(response);
        timers.forEach(timer => timer.dispose());
        request.signal.removeEventListener("abort", handleClientAbort);
        queueAbort.abort();
        // A non-idempotent request continues after its client has disconnected, as it is unknown how far it has run.
        if (response.kind === "abandoned" && !isIdempotent) {
            running.abortUnsent();
        } else {
            running.stopAll(runningAttempts.toStopReason(response));
        }
    };

    /** Ends the request after an unexpected error. The status does not promise that it has not run. */
    const fail = (error: unknown): void => {
        options.recordError(error);
        finish({ kind: "failed", reason: "internal error", statusCode: 500 });
    };

    const guard = guards.createGuard(fail);

    const refuse = (reason: string, afterMs = retryAfterMs): void =>
        finish({ kind: "refused", reason, retryAfterMs: Math.max(retryAfterMs, Math.round(afterMs)) });

    /** Finishes the request when no further attempt is made and none is in flight. */
    const giveUp = (reason: string, afterMs?: number): void => {
        if (running.count() > 0) {
            return;
        }
        if (failure !== undefined) {
            finish(failure);
        } else if (runs > 0 || isBlocked()) {
            finish({ kind: "failed", reason, statusCode: 502 });
        } else {
            refuse(reason, afterMs);
        }
    };

    const handleDeadline = guard(() => {
        running.stopAll("deadline");
        if (runs > 0) {
            finish({ kind: "failed", reason: "deadline", statusCode: 504 });
        } else {
            refuse("no slot before the deadline");
        }
    });

    const handleClientAbort = guard(() => finish({ kind: "abandoned" }));

    const mayRepeat = (): boolean =>
        !isDone && !isBlocked() && runs < route.maxTargets && timing.hasTimeForAttempt() && budget.takeRetry(service);

    /** A request that has run, or may have, goes on at another VM only as a retry. */
    const handleLostTargets = guard(() => {
        if (runs === 0 || (isIdempotent && mayRepeat())) {
            finish({ kind: "unreached", maxTargets: route.maxTargets - runs, mayHaveRun: runs > 0 });
        }
    });

    /** Ends a wait for a slot that would come too late. */
    const handleDrainCheck = guard(() => {
        if (!isDone && running.count() === 0 && !mayBegin("waiting")) {
            giveUp(drainControl.refusalReason);
        }
    });

    const repeat = (reason: string): void => {
        if (isDone || running.count() > 0) {
            return;
        }
        if (mayRepeat()) {
            sendNext(reason);
        } else {
            giveUp(reason);
        }
    };

    const handleFailedRun = (attempt: runningAttempts.RunningAttempt, reason: string): void => {
        log.logAttempt(attempt, "failed", { reason, runs, latencyMs: computeAgeMs(attempt) });
        if (isIdempotent) {
            repeat(reason);
        } else {
            failure ??= { kind: "failed", reason, statusCode: 502 };
            giveUp(reason);
        }
    };

    const handleRefusal = (attempt: runningAttempts.RunningAttempt, isMisdirected: boolean): void => {
        runs--;
        refusals.record(isMisdirected);
        log.logAttempt(attempt, "refused", { refusals: refusals.count(), latencyMs: computeAgeMs(attempt) });
        if (refusals.mayGoOn()) {
            repeat("refused by targets");
        } else {
            giveUp("refused by targets");
        }
    };

    /** Nothing was sent, so trying another target is not a retry and does not use the retry budget. */
    const handleUnreachable = (attempt: runningAttempts.RunningAttempt): void => {
        runs--;
        unreachableTargets++;
        log.logAttempt(attempt, "unreachable", { unreached: unreachableTargets, latencyMs: computeAgeMs(attempt) });
        const mayTryNext = !isDone && running.count() === 0 && timing.hasTimeForAttempt();
        if (mayTryNext && unreachableTargets < maxUnreachableTargets) {
            sendNext("target not reached");
        } else {
            giveUp("targets not reached");
        }
    };

    const handleResponse = (
        attempt: runningAttempts.RunningAttempt,
        response: targetConnection.TargetResponse,
    ): void => {
        const { head, statusCode } = response;
        if (head.isRefusal) {
            const isMisdirected = statusCode === targetSender.misdirectedStatus;
            attempt.reservation.finish({ kind: isMisdirected ? "misdirected" : "refused" }, head.load);
            handleRefusal(attempt, isMisdirected);
            return;
        }
        const isWhole = head.isSigned && !head.isEncoded;
        const isFailure = statusCode >= 500 || !isWhole;
        // The target does not state that it has not run the request, but clients would send it again.
        const isReplaced = !isIdempotent && notRun.isNotRunStatus(statusCode);
        const latencyMs = scheduler.now() - attempt.startedAtMs;
        const responseBytes = bodyForwarding.getBodyBytes(response.body);
        attempt.reservation.finish({ kind: "answered", latencyMs, isFailure, responseBytes }, head.load);
        const target = attempt.reservation.registration.id;
        const final: exchangeRequest.FinalResponse = { kind: "target", response, target };
        const isSuccess = !isFailure && statusCode < 400;
        if (isSuccess && response.body.kind === "whole") {
            options.crashes.recordSuccess(request.fingerprint, attempt.reservation.registration.service);
        }
        if (isFailure || isReplaced) {
            failure = isWhole && !isReplaced ? final : failure;
            responseBodies.destroyBody(response.body);
            handleFailedRun(attempt, isWhole ? `status ${statusCode}` : "answer without signature");
            return;
        }
        log.logAttempt(attempt, "answered", { runs, latencyMs: Math.round(latencyMs), bytes: responseBytes });
        finish(final);
        const { reservation } = attempt;
        bodyOutcome.watchResponseBody({ options, request, reservation, body: response.body, isSuccess, log, guard });
    };

    const handleResult = (attempt: runningAttempts.RunningAttempt, result: targetSender.AttemptResult): void => {
        switch (result.kind) {
            case "response":
                handleResponse(attempt, result.response);
                break;
            case "unreachable":
                attempt.reservation.finish({ kind: "unreachable" }, undefined);
                handleUnreachable(attempt);
                break;
            case "withdrawn":
                attempt.reservation.finish({ kind: "cancelled" }, undefined);
                break;
            case "broken":
                attempt.reservation.finish({ kind: "broken" }, undefined);
                options.recordLoss(request.fingerprint, attempt.reservation.registration);
                handleFailedRun(attempt, result.reason);
                break;
        }
    };

    const running = runningAttempts.createRunningAttempts({
        clock: scheduler,
        log,
        handleResult,
        handleError: fail,
        handleNoResponse: ({ reservation }) => options.recordLoss(request.fingerprint, reservation.registration),
        send: reservation =>
            options.sender.start({
                registration: reservation.registration,
                request: outgoing,
                getRemainingMs: timing.computeRemainingMs,
                isIdempotent,
            }),
    });

    const startAttempt = (reservation: targetPool.Reservation): void => {
        triedTargets.add(reservation.registration.id);
        runs++;
        running.start(reservation);
    };

    const pickAndSend = async (reason: string): Promise<void> => {
        const { pick, retryAfterMs, fields } = await exchangeAdmission.waitForSlot({
            options,
            request,
            timing,
            isFirstAttempt: runs === 0 && refusals.count() === 0,
            signal: queueAbort.signal,
            pick: pickTarget,
        });
        if (isDone || isBlocked()) {
            if (pick?.kind === "target") {
                pick.reservation.finish({ kind: "cancelled" }, undefined);
            }
            giveUp("request crashes targets");
        } else if (pick?.kind === "target" && !mayBegin("attempt")) {
            pick.reservation.finish({ kind: "cancelled" }, undefined);
            giveUp(drainControl.refusalReason);
        } else if (pick?.kind === "target") {
            startAttempt(pick.reservation);
        } else if (pick?.kind === "limited") {
            log.logLimited({ reason, runs, retryAfterMs: Math.round(pick.retryAfterMs) });
            giveUp("targets limited", pick.retryAfterMs);
        } else {
            log.logNoSlot({ reason, runs, ...fields });
            giveUp("no free slot", retryAfterMs);
        }
    };

    const sendNext = (reason: string): void =>
        mayBegin("attempt") ? void pickAndSend(reason).catch(fail) : giveUp(drainControl.refusalReason);

    const hedge = guard(() => {
        // A slot that is free now belongs to the requests that wait for their first attempt.
        const isSaturated = options.queue.count(service) > 0;
        if (isDone || isBlocked() || running.count() !== 1 || runs >= route.maxTargets || isSaturated) {
            return;
        }
        const pick = pickTarget(timing.computeRemainingObjectiveMs());
        if (pick.kind !== "target") {
            return;
        }
        if (!timing.hasTimeForAttempt() || !mayBegin("hedge") || !budget.takeRetry(service)) {
            pick.reservation.finish({ kind: "cancelled" }, undefined);
            return;
        }
        log.logHedge(pick.reservation, scheduler.now() - startedAtMs);
        startAttempt(pick.reservation);
    });

    return {
        start: guard(() => {
            budget.recordCall(service);
            if (request.signal.aborted) {
                finish({ kind: "abandoned" });
                return;
            }
            request.signal.addEventListener("abort", handleClientAbort, { once: true });
            timers.push(options.onDidLoseTargets(handleLostTargets));
            timers.push(drain.onDidCheck(handleDrainCheck), drain.onDidEnd(running.logCutOff));
            timers.push(scheduler.schedule(timing.computeRemainingMs(), handleDeadline));
            if (isIdempotent && route.maxTargets > 1) {
                timers.push(scheduler.schedule(timing.hedgeDelayMs, hedge));
            }
            sendNext("first attempt");
        }),
    };
};

/**
 * Runs single exchanges in tests, with scripted results of attempts.
 */
import * as events from "../../common/events.js";
import * as ids from "../../common/ids.js";
import * as requestCrashes from "../../common/crashes/requestCrashes.js";
import * as random from "../../common/random.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as targetSet from "../../common/routes/targetSet.js";
import * as routes from "../../common/routes/Types.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as shared from "../../common/Types.js";
import * as fixture from "./fixture.js";
import * as silentLogger from "../silentLogger.js";
import * as virtualScheduler from "../virtualScheduler.js";
import * as connectionInfo from "../../node/routes/connectionInfo.js";
import * as exchange from "../../node/routes/exchange.js";
import * as exchangeRequest from "../../node/routes/exchangeRequest.js";
import * as exchangeLog from "../../node/routes/exchangeLog.js";
import * as targetSender from "../../node/routes/targetSender.js";

/** An attempt rejects if its result is an error. */
export type Step = { readonly afterMs: number; readonly result: targetSender.AttemptResult | Error };

export const createResponse = (fields: {
    readonly status?: number;
    readonly isSigned?: boolean;
    readonly isRefusal?: boolean;
    readonly responder?: string;
    readonly connection?: connectionInfo.ConnectionInfo;
}): targetSender.AttemptResult => ({
    kind: "response",
    response: {
        statusCode: fields.status ?? 200,
        body: { kind: "whole", bytes: Buffer.from("body") },
        isDelimited: true,
        received: Promise.resolve(),
        connection: fields.connection ?? fixture.firstConnection,
        head: {
            id: "r1",
            isSigned: fields.isSigned ?? true,
            isRefusal: fields.isRefusal ?? false,
            load: undefined,
            notice: fixture.noNotice,
            idleTimeoutMs: undefined,
            coldLeftMs: undefined,
            target: fields.responder === undefined ? undefined : ids.toTargetId(fields.responder),
            forwardedHeaders: [],
            isEncoded: false,
        },
    },
});

const createBroken = (reason: string): targetSender.AttemptResult => ({
    kind: "broken",
    reason,
    connection: fixture.firstConnection,
});

export const ok = (afterMs: number): Step => ({ afterMs, result: createResponse({}) });
export const refusal: Step = { afterMs: 5, result: createResponse({ status: 503, isSigned: false, isRefusal: true }) };
/** The response of another target at the address. */
export const misdirected: Step = {
    afterMs: 5,
    result: createResponse({ status: 421, isSigned: false, isRefusal: true }),
};
export const broken: Step = { afterMs: 5, result: createBroken("ECONNRESET") };
export const unreachable: Step = { afterMs: 5, result: { kind: "unreachable" } };
export const noResponse: Step = { afterMs: 1_000_000, result: createBroken("never") };

/** Runs one request; each attempt takes the next step as its result. */
export const run = (
    steps: readonly Step[],
    options: {
        readonly route?: Partial<routes.Route>;
        readonly budget?: number;
        readonly targets?: number;
        readonly isClientDisconnected?: boolean;
        /** Targets that take no requests. */
        readonly limitedTargets?: readonly string[];
        /** Whether the handler of lost requests throws. */
        readonly hasFaultyLossHandler?: boolean;
    } = {},
) => {
    const scheduler = virtualScheduler.createVirtualScheduler(1_000);
    const remainingSteps = [...steps];
    const sent: string[] = [];
    let aborted = 0;
    let abortedUnsent = 0;
    let budget = options.budget ?? 10;
    const limits = fixture.createTargetLimits(scheduler);
    const set = targetSet.createTargetSet(scheduler);
    const targets = targetPool.createTargetPool({
        scheduler,
        random: random.createRandom(3),
        logger: silentLogger.createSilentLogger(),
        zone: fixture.zone,
        set,
        limits,
        isZoneOut: () => false,
        getService: () => undefined,
        vm: fixture.vm,
        getRateView: fixture.createLoneRateView,
    });
    const targetIds = ["a", "b", "c", "d", "e", "f"].slice(0, options.targets ?? 3);
    targets.setTargets(targetIds.map(id => fixture.createRegistration(id)));
    (options.limitedTargets ?? []).forEach(id =>
        limits.recordResponse(fixture.createRegistration(id), { kind: "limited", perSecond: 0 }, scheduler.now()),
    );
    const queue = admissionQueue.createAdmissionQueue<targetPool.PickResult>(scheduler);
    targets.onDidFreeSlot(service => queue.dispatch(service));
    const crashes = requestCrashes.createRequestCrashes({
        clock: scheduler,
        limit: 3,
        maxEntries: 10,
        retentionMs: 60_000,
    });
    const client = new AbortController();
    if (options.isClientDisconnected === true) {
        client.abort();
    }
    const drain = fixture.createDrainControl(scheduler);
    const lostTargetsEmitter = events.createEmitter<void>();
    let response: exchangeRequest.ExchangeEnd | undefined;
    let respondedAtMs = 0;
    const crashed: string[] = [];
    const errors: unknown[] = [];
    const ends: exchangeLog.AttemptEnd[] = [];
    const logged: shared.LogFields[] = [];
    const logLine = (message: string, fields: shared.LogFields = {}): void => void logged.push({ message, ...fields });
    let hedges = 0;
    const sender: Pick<targetSender.TargetSender, "start"> = {
        start: ({ registration }) => {
            sent.push(registration.id);
            const step = remainingSteps.shift() ?? noResponse;
            const result = new Promise<targetSender.AttemptResult>(
                (resolve, reject) =>
                    void scheduler.schedule(step.afterMs, () =>
                        step.result instanceof Error ? reject(step.result) : resolve(step.result),
                    ),
            );
            return {
                result,
                isSent: () => true,
                abort: () => void aborted++,
                abortIfUnsent: () => void abortedUnsent++,
            };
        },
    };
    void exchange
        .runExchange(
            {
                scheduler,
                targets,
                queue,
                sender,
                budget: { recordCall: () => undefined, takeRetry: () => budget-- > 0 },
                crashes,
                drain,
                logger: { ...silentLogger.createSilentLogger(), info: logLine, warn: logLine },
                metrics: {
                    recordAttempt: end => void ends.push(end),
                    recordHedge: () => void hedges++,
                    recordLimited: () => undefined,
                    recordWait: () => undefined,
                    recordStreamedBody: () => undefined,
                },
                onDidLoseTargets: lostTargetsEmitter.event,
                recordLoss: (_, { id }) => {
                    if (options.hasFaultyLossHandler === true) {
                        throw new Error("faulty handler");
                    }
                    crashed.push(id);
                },
                recordError: error => void errors.push(error),
            },
            {
                outgoing: { id: "r1", method: "GET", url: "/jobs/1", headers: [], body: Buffer.alloc(0) },
                route: fixture.createRoute(options.route),
                service: fixture.service,
                deadlineAtMs: 2_000,
                fingerprint: "f",
                configurationVersion: 1,
                signal: client.signal,
            },
        )
        .then(final => {
            response = final;
            respondedAtMs = scheduler.now() - 1_000;
        });
    return {
        advance: scheduler.advance,
        /** Adds a request that waits for a slot and finds none suitable. */
        addWaitingRequest: () =>
            void queue.wait({
                service: fixture.service,
                priority: 0,
                maxWaitMs: 10_000,
                signal: new AbortController().signal,
                take: () => undefined,
            }),
        /** Crashes at other VMs under equal requests. */
        reportCrashes: (...ids: readonly string[]) =>
            ids.forEach(id => crashes.recordCrash("f", fixture.createRegistration(id))),
        countCrashes: () => crashes.listReports()[0]?.targetRuns.length ?? 0,
        drain,
        loseTargets: () => lostTargetsEmitter.fire(),
        abortClient: () => client.abort(),
        getResponse: () => response,
        getRespondedAtMs: () => respondedAtMs,
        sent,
        crashed,
        ends,
        /** Lines of level info and warn. */
        logged,
        countErrors: () => errors.length,
        countInFlight: () => set.listKnown().reduce((sum, entry) => sum + entry.inFlightAttempts.size, 0),
        countHedges: () => hedges,
        countAborted: () => aborted,
        countAbortedUnsent: () => abortedUnsent,
    };
};

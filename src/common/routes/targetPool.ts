/**
 * The targets that an entry VM may send requests to, and the load balancing among them.
 */
import * as events from "../events.js";
import * as shared from "../Types.js";
import * as coldTargets from "./coldTargets.js";
import * as latencyEstimates from "./latencyEstimates.js";
import * as ownedRates from "./ownedRates.js";
import * as targetCosts from "./targetCosts.js";
import * as targetLimits from "./targetLimits.js";
import * as targetEntry from "./targetEntry.js";
import * as targetSet from "./targetSet.js";
import * as types from "./Types.js";

/** Requests in flight from other VMs are a decaying estimate, so half a free slot counts as a free one. */
const minFreeSlots = 0.5;
/** Age of the last report that triggers a probe of a limited target. */
const limitedProbeAfterMs = 2_000;
export interface PickRequest {
    readonly service: shared.ServiceName;
    readonly route: types.Route;
    readonly bodyBytes: number;
    /** Targets that this request was already sent to. */
    readonly exclude: ReadonlySet<shared.TargetId>;
    /**
     * A target with a higher expected latency is not picked while a target within this latency exists but is full.
     * If infinite, any target with a free slot is picked.
     */
    readonly acceptableLatencyMs: number;
    /** Whether the request was sent before. What a limited target takes is left to first attempts. */
    readonly isRepeat: boolean;
}

/** Values that led to the choice of a target. */
export interface PickInputs {
    /** Expected latency, in milliseconds. */
    readonly expectedMs: number;
    /** Estimated requests in flight at the target. */
    readonly inFlight: number;
    readonly slowdown: number;
    /** Age of the target's last slowdown report, in milliseconds; infinite without one. */
    readonly reportAgeMs: number;
    /** Targets of the service that were considered. */
    readonly candidates: number;
    /** Limit that the target has named; undefined without one. */
    readonly limitPerSecond: number | undefined;
}

/** A slot reserved for one attempt. */
export interface Reservation {
    readonly registration: types.Registration;
    readonly inputs: PickInputs;
    /** Releases the slot; must be called when the attempt has ended. Only the first call has an effect. */
    finish(outcome: types.AttemptOutcome, report: types.LoadReport | undefined): void;
}

export type PickResult =
    | { readonly kind: "target"; readonly reservation: Reservation }
    /** No target has a free slot, or those that have one are too slow. */
    | { readonly kind: "full" }
    /**
     * No target takes another request now, because of their limits or the pauses that they have asked for; one does so
     * after `waitMs` (infinite if no target does from this VM), and another request of the client helps after `retryAfterMs`.
     */
    | { readonly kind: "limited"; readonly waitMs: number; readonly retryAfterMs: number }
    /** The service has no eligible target. */
    | { readonly kind: "none" };

/** For how long a target takes no request from this VM, and after which time another request of the client helps. */
type Withholding = Pick<Extract<targetLimits.LimitState, { kind: "exhausted" }>, "waitMs" | "retryAfterMs">;

export interface TargetPoolOptions {
    readonly scheduler: shared.Clock;
    readonly random: shared.Random;
    readonly logger: shared.Logger;
    readonly vm: shared.VmId;
    readonly zone: shared.ZoneName;
    readonly set: targetSet.TargetSet;
    readonly limits: targetLimits.TargetLimits;
    isZoneOut(zone: shared.ZoneName): boolean;
    getService(name: shared.ServiceName): types.RoutedService | undefined;
    getRateView(): ownedRates.RateView;
}

export interface TargetPool {
    /** Replaces the set of targets. */
    setTargets(registrations: Iterable<types.Registration>): void;
    pick(request: PickRequest): PickResult;
    /** Estimates the work of a request at a target of average speed, at its usual speed and at its mean slowdown. */
    computeWork: latencyEstimates.LatencyEstimates["computeWork"];
    /** Records that a target's response broke off after its head had been accepted. */
    recordBrokenBody(id: shared.TargetId): void;
    /** Applies a report that was received by a probe or from a peer. */
    applyReport(id: shared.TargetId, report: types.LoadReport, atMs: number): void;
    /** Applies the remaining cold time that the target itself reports. */
    applyColdLeft(id: shared.TargetId, coldLeftMs: number): void;
    /**
     * Lists the targets to probe: those whose last report and last probe are at least this old. A limited target is probed
     * by its owner only, and less often.
     *
     * @param ageMs - the age
     * @param mayProbe - whether this VM probes the targets of a zone that are not limited
     */
    listStale(ageMs: number, mayProbe: (zone: shared.ZoneName) => boolean): readonly types.Registration[];
    recordProbe(id: shared.TargetId): void;
    /** Must be called several times per second, so that pauses of this VM are noticed. */
    refreshRates(): void;
    /** Fires with the service when a slot may have become free or a target eligible. */
    readonly onDidFreeSlot: shared.Event<shared.ServiceName>;
}

/**
 * Creates a pool without targets.
 *
 * @param options - clock, random numbers, logger and the state that affects the choice
 * @returns the pool
 */
export const createTargetPool = (options: TargetPoolOptions): TargetPool => {
    const { scheduler, logger, limits, set } = options;
    const cold = coldTargets.createColdTargets({ ...options, clock: scheduler });
    const estimates = latencyEstimates.createLatencyEstimates();
    const cost = targetCosts.createTargetCosts({ estimates, random: options.random, zone: options.zone });
    const freeSlotEmitter = events.createEmitter<shared.ServiceName>();

    const isEligible = (entry: targetEntry.TargetEntry): boolean =>
        targetEntry.isServing(entry) && !options.isZoneOut(entry.registration.zone);

    const hasCapacity = (entry: targetEntry.TargetEntry, inFlight: number, nowMs: number): boolean =>
        inFlight <= entry.registration.slots - minFreeSlots &&
        (!targetEntry.isCold(entry, nowMs) || cold.hasCapacity(entry.registration));

    /** Finds out whether a target's limit, or the pause that it has asked for, forbids to send it a request now. */
    const findWithholding = (
        entry: targetEntry.TargetEntry,
        limit: targetLimits.LimitState,
        request: PickRequest,
        nowMs: number,
    ): Withholding | undefined => {
        if (targetEntry.isPaused(entry, nowMs)) {
            const pauseMs = entry.pausedUntilMs - nowMs;
            return { waitMs: pauseMs, retryAfterMs: Math.min(targetLimits.maxRetryAfterMs, pauseMs) };
        }
        switch (limit.kind) {
            case "unlimited":
                return undefined;
            case "available":
                return request.isRepeat ? { waitMs: Infinity, retryAfterMs: 1_000 / limit.perSecond } : undefined;
            case "exhausted":
                return limit;
        }
    };

    const finishAttempt = (
        entry: targetEntry.TargetEntry,
        attempt: targetEntry.InFlightAttempt,
        route: types.Route,
        outcome: types.AttemptOutcome,
        report: types.LoadReport | undefined,
    ): void => {
        const nowMs = scheduler.now();
        const wasEjected = entry.ejectedUntilMs > nowMs;
        entry.inFlightAttempts.delete(attempt);
        if (report !== undefined && outcome.kind !== "misdirected") {
            // The target counts the request that it is responding to as running.
            targetEntry.recordReport(entry, report, entry.inFlightAttempts.size + 1, nowMs);
            if (report.slowdown !== undefined) {
                estimates.getMeanSlowdown(entry.registration.service).record(report.slowdown);
            }
        }
        switch (outcome.kind) {
            case "answered":
                if (outcome.isFailure) {
                    targetEntry.recordFailure(entry, nowMs);
                    break;
                }
                targetEntry.recordSuccess(entry, attempt, nowMs);
                estimates.recordResponse(entry, route, outcome.latencyMs, outcome.responseBytes);
                break;
            case "unreachable":
            case "broken":
            case "silent":
                targetEntry.recordFailure(entry, nowMs);
                break;
            case "refused":
                targetEntry.recordRefusal(entry, report, nowMs);
                break;
            case "misdirected":
                targetEntry.recordMisdirection(entry, nowMs);
                logger.warn("target: another one responded at its address", { target: entry.registration.id });
                break;
            case "cancelled":
                break;
        }
        if (!wasEjected && entry.ejectedUntilMs > nowMs) {
            logger.warn("target: ejected after consecutive failures", {
                target: entry.registration.id,
                failures: entry.consecutiveFailures,
                forMs: entry.ejectedUntilMs - nowMs,
            });
        }
        freeSlotEmitter.fire(entry.registration.service);
    };

    const createReservation = (entry: targetEntry.TargetEntry, route: types.Route, inputs: PickInputs): Reservation => {
        const startedAtMs = scheduler.now();
        const attempt = { startedAtMs, typicalMs: estimates.getTypicalMs(route) };
        entry.inFlightAttempts.add(attempt);
        if (targetEntry.isCold(entry, startedAtMs)) {
            cold.recordRequest(entry.registration);
        }
        limits.recordRequest(entry.registration);
        return {
            registration: entry.registration,
            inputs,
            finish: (outcome, report) => {
                if (entry.inFlightAttempts.has(attempt)) {
                    finishAttempt(entry, attempt, route, outcome, report);
                }
            },
        };
    };

    const pick = (request: PickRequest): PickResult => {
        const nowMs = scheduler.now();
        const eligible = set
            .listOfService(request.service)
            .filter(
                entry =>
                    isEligible(entry) &&
                    entry.misdirectedUntilMs <= nowMs &&
                    !request.exclude.has(entry.registration.id),
            );
        if (eligible.length === 0) {
            return { kind: "none" };
        }
        const healthy = eligible.filter(entry => entry.ejectedUntilMs <= nowMs);
        const candidates = healthy.length > 0 ? healthy : eligible;
        const mean = estimates.getMeanSlowdown(request.service).get();
        let best: { readonly entry: targetEntry.TargetEntry; readonly inputs: PickInputs } | undefined;
        let bestCost = Infinity;
        let fastestFullMs = Infinity;
        const withholdings: Withholding[] = [];
        for (const entry of candidates) {
            const limit = limits.check(entry.registration);
            const withheld = findWithholding(entry, limit, request, nowMs);
            if (withheld !== undefined) {
                withholdings.push(withheld);
                continue;
            }
            const inFlight = targetEntry.computeInFlight(entry, nowMs);
            const slowdown = targetEntry.computeSlowdown(entry, mean, nowMs);
            const expectedMs = cost.computeExpectedMs(entry, inFlight, request.route, slowdown, nowMs);
            if (!hasCapacity(entry, inFlight, nowMs)) {
                if (!targetEntry.isCold(entry, nowMs)) {
                    fastestFullMs = Math.min(fastestFullMs, expectedMs);
                }
                continue;
            }
            const targetCost = cost.computeCost(entry, expectedMs, request, nowMs);
            if (targetCost < bestCost) {
                bestCost = targetCost;
                best = {
                    entry,
                    inputs: {
                        expectedMs,
                        inFlight,
                        slowdown,
                        reportAgeMs: nowMs - entry.slowdownReportedAtMs,
                        candidates: candidates.length,
                        limitPerSecond: limit.kind === "unlimited" ? undefined : limit.perSecond,
                    },
                };
            }
        }
        if (withholdings.length === candidates.length) {
            return {
                kind: "limited",
                waitMs: Math.min(...withholdings.map(withheld => withheld.waitMs)),
                retryAfterMs: Math.min(...withholdings.map(withheld => withheld.retryAfterMs)),
            };
        }
        const isTooSlow = best !== undefined && best.inputs.expectedMs > request.acceptableLatencyMs;
        return best === undefined || (isTooSlow && fastestFullMs <= request.acceptableLatencyMs)
            ? { kind: "full" }
            : { kind: "target", reservation: createReservation(best.entry, request.route, best.inputs) };
    };

    return {
        setTargets: registrations => {
            set.setTargets(registrations);
            limits.retainTargets((id, startedAtMs) => set.findRun(id, startedAtMs) !== undefined);
            cold.retainTargets(id => set.find(id) !== undefined);
            [...set.listServices()].forEach(freeSlotEmitter.fire);
        },
        pick,
        computeWork: estimates.computeWork,
        recordBrokenBody: id => {
            const entry = set.find(id);
            if (entry !== undefined) {
                targetEntry.recordFailure(entry, scheduler.now());
            }
        },
        applyReport: (id, report, atMs) => {
            const entry = set.find(id);
            if (entry === undefined || atMs < entry.loadReportedAtMs) {
                return;
            }
            targetEntry.recordReport(entry, report, entry.inFlightAttempts.size, atMs);
            if (report.slowdown !== undefined) {
                estimates.getMeanSlowdown(entry.registration.service).record(report.slowdown);
            }
            freeSlotEmitter.fire(entry.registration.service);
        },
        applyColdLeft: (id, coldLeftMs) => {
            const entry = set.find(id);
            if (entry !== undefined) {
                entry.coldUntilMs = coldLeftMs > 0 ? scheduler.now() + coldLeftMs : 0;
            }
        },
        listStale: (ageMs, mayProbe) => {
            const nowMs = scheduler.now();
            const isStale = (entry: targetEntry.TargetEntry): boolean => {
                const { registration } = entry;
                const isLimited = limits.check(registration).kind !== "unlimited";
                const mayProbeTarget = isLimited ? limits.isOwner(registration) : mayProbe(registration.zone);
                const maxAgeMs = isLimited ? limitedProbeAfterMs : ageMs;
                return (
                    mayProbeTarget &&
                    !targetEntry.isPaused(entry, nowMs) &&
                    nowMs - Math.max(entry.loadReportedAtMs, entry.probedAtMs) >= maxAgeMs
                );
            };
            return set
                .list()
                .filter(entry => isEligible(entry) && isStale(entry))
                .map(entry => entry.registration);
        },
        refreshRates: () => {
            limits.refresh();
            cold.refresh();
        },
        recordProbe: id => {
            const entry = set.find(id);
            if (entry !== undefined) {
                entry.probedAtMs = scheduler.now();
            }
        },
        onDidFreeSlot: freeSlotEmitter.event,
    };
};

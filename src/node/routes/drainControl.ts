/**
 * Keeps a VM that drains from beginning work that it cannot complete, and records what is cut off when it stops.
 */
import * as drainDecision from "../../common/routes/drainDecision.js";
import * as events from "../../common/events.js";
import * as routeDurations from "../../common/routes/routeDurations.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";

/** Reason in the responses to requests that are refused as the VM drains. */
export const refusalReason = "shutting down";
/** Other VMs take the request at once. */
export const refusalRetryAfterMs = 100;

/** What of a request would begin. */
export type DrainPhase = "head" | "body" | "attempt" | "waiting" | "hedge" | "relay";

/** What a request was doing when it was cut off. */
export type CutOffPhase = "body" | "handling" | "response";

/** A request whose work is about to begin. */
export interface DrainingRequest {
    readonly id: string | undefined;
    readonly route: Pick<routes.Route, "name" | "kind" | "objectiveMs">;
    /** On the local monotonic clock. */
    readonly deadlineAtMs: number;
}

export interface DrainMetrics {
    recordDrainRefusal(phase: DrainPhase): void;
    recordCutOff(phase: CutOffPhase): void;
}

export interface DrainControl {
    /** Durations of the requests of each route, by which it is decided. */
    readonly durations: routeDurations.RouteDurations;
    /**
     * Begins the drain.
     *
     * @param endsAtMs - when the requests in progress are cut off, on the local monotonic clock
     */
    start(endsAtMs: number): void;
    isDraining(): boolean;
    /** Returns whether work of a request may begin now; true unless the VM drains. Logs and counts what may not. */
    mayBegin(request: DrainingRequest, phase: DrainPhase): boolean;
    /** Fires several times a second while the VM drains, so that requests do not wait for what they may not begin. */
    readonly onDidCheck: shared.Event<void>;
    /** Fires `onDidCheck`. */
    check(): void;
    /** Fires before the requests in progress are cut off. */
    readonly onDidEnd: shared.Event<void>;
    /** Fires `onDidEnd`. */
    finish(): void;
    /** Logs and counts a request that is cut off. */
    recordCutOff(request: {
        readonly id: string | undefined;
        readonly phase: CutOffPhase;
        readonly ageMs: number;
    }): void;
}

/**
 * Creates the control of a VM that does not drain.
 *
 * @param options - clock, log and counters
 * @returns the control
 */
export const createDrainControl = (options: {
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    readonly metrics: DrainMetrics;
}): DrainControl => {
    const { clock, logger, metrics } = options;
    const durations = routeDurations.createRouteDurations(clock);
    const checkEmitter = events.createEmitter<void>();
    const endEmitter = events.createEmitter<void>();
    let times: { readonly startedAtMs: number; readonly endsAtMs: number } | undefined;

    const mayBegin = ({ id, route, deadlineAtMs }: DrainingRequest, phase: DrainPhase): boolean => {
        if (times === undefined) {
            return true;
        }
        const nowMs = clock.now();
        const work: drainDecision.DrainingWork = {
            route,
            known: durations.get(route.name),
            deadlineLeftMs: deadlineAtMs - nowMs,
            drainingMs: nowMs - times.startedAtMs,
            leftMs: times.endsAtMs - nowMs,
        };
        if (drainDecision.mayBegin(work)) {
            return true;
        }
        metrics.recordDrainRefusal(phase);
        const expectedMs = drainDecision.computeExpectedMs(work);
        logger.warn("drain: work not begun", {
            request: id,
            route: route.name,
            phase,
            leftMs: Math.round(work.leftMs),
            deadlineLeftMs: Math.round(work.deadlineLeftMs),
            expectedMs: Number.isFinite(expectedMs) ? Math.round(expectedMs) : undefined,
            samples: work.known.samples,
        });
        return false;
    };

    return {
        durations,
        start: endsAtMs => {
            times = { startedAtMs: clock.now(), endsAtMs };
        },
        isDraining: () => times !== undefined,
        mayBegin,
        onDidCheck: checkEmitter.event,
        check: () => checkEmitter.fire(),
        onDidEnd: endEmitter.event,
        finish: () => endEmitter.fire(),
        recordCutOff: ({ id, phase, ageMs }) => {
            metrics.recordCutOff(phase);
            logger.warn("drain: request cut off", { request: id, phase, ageMs: Math.round(ageMs) });
        },
    };
};

/**
 * Gets a slot for an attempt of a request: tells the admission queue what its order depends on, and counts the waits.
 */
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as shared from "../../common/Types.js";
import * as exchangeLog from "./exchangeLog.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as exchangeTiming from "./exchangeTiming.js";
import * as targetWait from "./targetWait.js";

export interface SlotWaitOptions {
    readonly options: Pick<exchangeOptions.ExchangeOptions, "scheduler" | "queue"> & {
        readonly targets: Pick<targetPool.TargetPool, "computeWork">;
        readonly metrics: Pick<exchangeLog.ExchangeMetrics, "recordWait">;
    };
    readonly request: Pick<exchangeRequest.ExchangeRequest, "route" | "service" | "organisation">;
    readonly timing: exchangeTiming.ExchangeTiming;
    readonly isFirstAttempt: boolean;
    readonly signal: AbortSignal;
    pick(acceptableLatencyMs: number): targetPool.PickResult;
}

export interface SlotWaitEnd {
    readonly pick: targetPool.PickResult | undefined;
    readonly retryAfterMs: number | undefined;
    /** What led to a refusal, to be logged. */
    readonly fields: shared.LogFields;
}

const toWaitEnd = (picked: targetPool.PickResult | undefined): exchangeLog.WaitEnd => {
    switch (picked?.kind) {
        case "target":
            return "slot";
        case "limited":
            return "limited";
        case "full":
        case "none":
        case undefined:
            return "left";
    }
};

/**
 * Waits for a slot.
 *
 * @param wait - the request, its times and how to pick a target
 * @returns the target, or why there is none
 */
export const waitForSlot = async (wait: SlotWaitOptions): Promise<SlotWaitEnd> => {
    const { options, request, timing, isFirstAttempt, signal, pick } = wait;
    const { queue, scheduler, targets } = options;
    const { route, service, organisation } = request;
    const startedAtMs = scheduler.now();
    const priority = queue.getPriority(organisation, route.priority);
    const deadlineLeftMs = timing.computeRemainingMs();
    const work = targets.computeWork(service, route);
    let refusal: admissionQueue.Refusal | undefined;
    const picked = await targetWait.waitForTarget({
        queue,
        scheduler,
        service,
        priority,
        maxWaitMs: timing.computeMaxWaitMs(),
        signal,
        isFirstAttempt,
        inputs: {
            organisation,
            route: route.name,
            objectiveMs: route.objectiveMs,
            objectiveLeftMs: timing.computeObjectiveLeftMs(),
            deadlineLeftMs,
            workMs: work.typicalMs,
            slowWorkMs: work.slowMs,
        },
        pick: isLast => pick(isLast ? Infinity : timing.computeRemainingObjectiveMs()),
        handleRefusal: refused => (refusal = refused),
    });
    const waitedMs = scheduler.now() - startedAtMs;
    const end = refusal?.reason ?? toWaitEnd(picked);
    options.metrics.recordWait(priority, end, waitedMs);
    return {
        pick: picked,
        retryAfterMs: refusal?.retryAfterMs,
        fields: {
            organisation,
            priority,
            waitedMs: Math.round(waitedMs),
            workMs: Math.round(work.typicalMs),
            leftMs: Math.round(timing.computeRemainingMs()),
            refusal: refusal?.reason,
            before: refusal === undefined ? undefined : Math.round(refusal.before),
            observedSlots: refusal?.observedSlots,
            observedMs: refusal === undefined ? undefined : Math.round(refusal.observedMs),
        },
    };
};

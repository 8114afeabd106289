/**
 * Queue of requests that wait for a free slot at a target: the most urgent first, and organisations in proportion to their
 * quotas. Refuses early what no order could serve in time.
 */
import * as randoms from "../random.js";
import * as shared from "../Types.js";
import * as admissionDecision from "./admissionDecision.js";
import * as organisationWeights from "./organisationWeights.js";
import * as types from "./Types.js";
import * as waitingRequests from "./waitingRequests.js";

/**
 * Number of requests that may decline before a dispatch stops. One may decline because it was already sent to the free
 * target; if several do, there is no free slot. This keeps the cost of a dispatch independent of the queue length.
 */
const maxFailedOffers = 3;

export interface AdmissionQueue<T> extends Pick<organisationWeights.OrganisationWeights, "getPriority"> {
    /**
     * Waits until a request gets a slot: calls its `take` now, unless another request precedes it, and whenever a slot
     * may be free.
     *
     * @param entry - the request's priority and limits
     * @returns the result of `take`, or undefined if the wait timed out or the signal was aborted; rejects if `take` throws
     */
    wait(entry: QueueEntry<T>): Promise<T | undefined>;
    /** Offers the free slots of a service to the waiting requests. */
    dispatch(service: shared.ServiceName): void;
    count(service: shared.ServiceName): number;
    /** Sets the organisations of a new configuration. */
    setOrganisations(organisations: readonly types.Organisation[]): void;
}

export interface QueueEntry<T> {
    readonly service: shared.ServiceName;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Usual longest wait. It is longer only if a slot is certain, and shorter only if none is possible. */
    readonly maxWaitMs: number;
    readonly signal: AbortSignal;
    /** What decides about the order within the priority; undefined for the order of arrival. */
    readonly inputs?: admissionDecision.AdmissionInputs;
    /** Whether the wait may be ended early or extended; false for repeats, which may have run. */
    readonly isFirstAttempt?: boolean;
    /**
     * Takes a slot; returns undefined if none is suitable.
     *
     * @param isLast - whether this is the last call, because the wait has ended
     */
    take(isLast: boolean): T | undefined;
    /** Whether the result of `take` is a slot, which counts for the rate and the shares; by default it always is. */
    isSlot?(taken: T): boolean;
    /** Called before the wait ends without a slot, unless the signal was aborted. */
    handleRefusal?(refusal: Refusal): void;
}

/** Why a request gets no slot, and what led to that. */
export interface Refusal {
    readonly reason: admissionDecision.RefusalReason;
    readonly waitedMs: number;
    /** Requests of the same priority that preceded it. */
    readonly before: number;
    /** Slots that had become free in the last second at most, for its priority and less urgent ones. */
    readonly observedSlots: number;
    readonly observedMs: number;
    readonly retryAfterMs: number;
}

interface QueuedRequest<T> extends waitingRequests.WaitingRequest {
    readonly entry: QueueEntry<T>;
    /** Takes a slot and ends the wait, or ends it without one if there is a reason to refuse. */
    offer(refusalReason: admissionDecision.RefusalReason | undefined): boolean;
}

/**
 * Creates an empty queue.
 *
 * @param scheduler - clock and timers
 * @param random - spreads the times after which refused clients come back
 * @returns the queue
 */
export const createAdmissionQueue = <T>(
    scheduler: shared.Scheduler,
    random: shared.Random = randoms.createRandom(1),
): AdmissionQueue<T> => {
    const queues = new Map<shared.ServiceName, waitingRequests.WaitingRequests<QueuedRequest<T>>>();
    const weights = organisationWeights.createOrganisationWeights();

    const getQueue = (service: shared.ServiceName): waitingRequests.WaitingRequests<QueuedRequest<T>> => {
        const queue = queues.get(service) ?? waitingRequests.createWaitingRequests<QueuedRequest<T>>(scheduler);
        queues.set(service, queue);
        return queue;
    };

    const hasSlot = (entry: QueueEntry<T>, taken: T | undefined): boolean =>
        taken !== undefined && entry.isSlot?.(taken) !== false;

    const computeWaitedMs = (queued: QueuedRequest<T>): number => scheduler.now() - queued.waitingSinceMs;

    const createRefusal = (queued: QueuedRequest<T>, reason: admissionDecision.RefusalReason): Refusal => {
        const queue = getQueue(queued.entry.service);
        const backlog = queue.observe(queued);
        const waitedMs = computeWaitedMs(queued);
        return {
            reason,
            waitedMs,
            before: backlog.before,
            observedSlots: backlog.observed.slots,
            observedMs: backlog.observed.durationMs,
            retryAfterMs:
                queued.inputs !== undefined && queue.isMixed()
                    ? admissionDecision.computeRetryAfterMs(backlog, queued.inputs, waitedMs, random)
                    : admissionDecision.minRetryAfterMs,
        };
    };

    /** Refuses a request, or another one in its place, if even an optimistic estimate says that not all can be served. */
    const refuseInfeasible = (queued: QueuedRequest<T>): void => {
        const { entry, inputs } = queued;
        const queue = getQueue(entry.service);
        if (inputs === undefined || entry.isFirstAttempt !== true || !queue.isMixed()) {
            return;
        }
        const backlog = queue.observe(queued);
        const limitMs = admissionDecision.computeWaitLimitMs(backlog, inputs, entry.maxWaitMs);
        if (!admissionDecision.isInfeasible(backlog, inputs, limitMs - computeWaitedMs(queued))) {
            return;
        }
        const toCandidate = (peer: QueuedRequest<T>, peerInputs: admissionDecision.AdmissionInputs) => ({
            queued: peer,
            inputs: peerInputs,
            waitedMs: computeWaitedMs(peer),
        });
        const candidates = queue
            .listPeers(queued)
            .flatMap(peer =>
                peer !== queued && peer.inputs !== undefined && peer.entry.isFirstAttempt === true
                    ? [toCandidate(peer, peer.inputs)]
                    : [],
            );
        const newcomer = toCandidate(queued, inputs);
        const refused = admissionDecision.pickRefused(newcomer, candidates, route => !queue.isNeglected(route));
        refused.queued.offer(refused === newcomer ? "infeasible" : "less value");
    };

    const computeExtensionMs = (queued: QueuedRequest<T>): number => {
        const queue = getQueue(queued.entry.service);
        return queued.inputs === undefined || queued.entry.isFirstAttempt !== true || !queue.isMixed()
            ? 0
            : admissionDecision.computeExtensionMs(queue.observe(queued), queued.inputs, computeWaitedMs(queued));
    };

    const enqueue = (entry: QueueEntry<T>): Promise<T | undefined> =>
        new Promise((resolve, reject) => {
            const { priority, inputs } = entry;
            const queue = getQueue(entry.service);
            let timer: shared.Disposable | undefined;
            let isWaiting = true;
            const leave = (isServed: boolean): void => {
                isWaiting = false;
                timer?.dispose();
                entry.signal.removeEventListener("abort", handleAbort);
                queue.remove(queued, isServed);
            };
            const finish = (value: T | undefined): void => {
                leave(hasSlot(entry, value));
                resolve(value);
            };
            const offer: QueuedRequest<T>["offer"] = refusalReason => {
                try {
                    const taken = entry.take(refusalReason !== undefined);
                    if (taken === undefined && refusalReason !== undefined) {
                        entry.handleRefusal?.(createRefusal(queued, refusalReason));
                    }
                    if (taken !== undefined || refusalReason !== undefined) {
                        queue.recordEnd(priority, inputs, hasSlot(entry, taken));
                        finish(taken);
                    }
                    return taken !== undefined;
                } catch (error) {
                    // The error belongs to this request, not to the one whose slot was offered.
                    leave(false);
                    reject(error instanceof Error ? error : new Error(String(error)));
                    return false;
                }
            };
            const handleAbort = (): void => finish(undefined);
            const scheduleEnd = (delayMs: number): void => {
                timer = scheduler.schedule(delayMs, () => {
                    const extensionMs = computeExtensionMs(queued);
                    if (extensionMs > 0) {
                        scheduleEnd(extensionMs);
                    } else {
                        offer("waited");
                    }
                });
            };
            const queued: QueuedRequest<T> = {
                entry,
                offer,
                priority,
                inputs,
                flow: inputs?.organisation ?? "",
                weight: weights.getWeight(inputs?.organisation),
                workMs: inputs?.workMs ?? 1,
                dueAtMs: queue.computeDueAtMs(priority, entry.maxWaitMs, inputs),
                waitingSinceMs: scheduler.now(),
            };
            entry.signal.addEventListener("abort", handleAbort, { once: true });
            queue.insert(queued);
            const checkAfterMs = inputs === undefined ? Infinity : admissionDecision.computeCheapRefusalMs(inputs);
            if (checkAfterMs < entry.maxWaitMs) {
                timer = scheduler.schedule(checkAfterMs, () => {
                    scheduleEnd(entry.maxWaitMs - checkAfterMs);
                    refuseInfeasible(queued);
                });
            } else {
                scheduleEnd(entry.maxWaitMs);
            }
            if (isWaiting) {
                refuseInfeasible(queued);
            }
        });

    return {
        wait: entry => {
            const { priority, inputs } = entry;
            const queue = getQueue(entry.service);
            const mayWait = entry.maxWaitMs > 0 && !entry.signal.aborted;
            const taken = queue.hasPreceding(priority) ? undefined : entry.take(!mayWait);
            if (taken !== undefined || !mayWait) {
                queue.recordEnd(priority, inputs, hasSlot(entry, taken));
                return Promise.resolve(taken);
            }
            return enqueue(entry);
        },
        dispatch: service => queues.get(service)?.offer(queued => queued.offer(undefined), maxFailedOffers),
        count: service => queues.get(service)?.count() ?? 0,
        setOrganisations: weights.setOrganisations,
        getPriority: weights.getPriority,
    };
};

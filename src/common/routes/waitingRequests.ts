/**
 * The requests that wait for the slots of one service, by priority, and in the fair order within a priority.
 */
import * as shared from "../Types.js";
import * as admissionDecision from "./admissionDecision.js";
import * as fairQueue from "./fairQueue.js";
import * as servedShares from "./servedShares.js";
import * as slotRate from "./slotRate.js";

export interface WaitingRequest extends fairQueue.FairItem {
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Undefined if nothing is known but the priority: such requests are served in the order of their arrival. */
    readonly inputs: admissionDecision.AdmissionInputs | undefined;
    readonly waitingSinceMs: number;
}

interface PriorityClass<T extends WaitingRequest> {
    readonly priority: number;
    readonly order: fairQueue.FairQueue<T>;
    /** Slots that were given to requests of this priority or a less urgent one. */
    readonly rate: slotRate.SlotRate;
    /** Latest end of a wait by route, so that equal requests keep their order while estimates of work change. */
    readonly lastDueAtMs: Map<string, number>;
}

export interface WaitingRequests<T extends WaitingRequest> {
    /** Whether a request of this priority or a more urgent one waits. */
    hasPreceding(priority: number): boolean;
    /** Computes the place of a new request among those of its organisation. */
    computeDueAtMs(priority: number, maxWaitMs: number, inputs: admissionDecision.AdmissionInputs | undefined): number;
    insert(request: T): void;
    /** Removes a request. */
    remove(request: T, isServed: boolean): void;
    /** Records whether a request was served, also one that did not have to wait. */
    recordEnd(priority: number, inputs: admissionDecision.AdmissionInputs | undefined, isServed: boolean): void;
    /** Offers a free slot to requests in their order until `offer` has returned false `maxFailures` times. */
    offer(offer: (request: T) => boolean, maxFailures: number): void;
    /** Whether requests that wait belong to organisations, or differ in priority or objective. */
    isMixed(): boolean;
    observe(request: T): admissionDecision.Backlog;
    /** Lists the waiting requests of the same priority and organisation. */
    listPeers(request: T): readonly T[];
    /** Whether a route is served much less often than the others. */
    isNeglected(route: string): boolean;
    count(): number;
}

const toClassGroup = (priority: number): string => `priority ${String(priority)}`;
const toRouteGroup = (route: string): string => `route ${route}`;

/**
 * Creates the requests of a service, initially none.
 *
 * @param clock - the clock
 * @returns the requests
 */
export const createWaitingRequests = <T extends WaitingRequest>(clock: shared.Clock): WaitingRequests<T> => {
    /** By priority, the most urgent first. Their number is that of the priorities in the configuration. */
    const classes: PriorityClass<T>[] = [];
    const shares = servedShares.createServedShares(clock);
    const kinds = new Map<string, number>();
    let organisationRequests = 0;

    const getClass = (priority: number): PriorityClass<T> => {
        const known = classes.find(each => each.priority === priority);
        if (known !== undefined) {
            return known;
        }
        const order = fairQueue.createFairQueue<T>();
        const created = { priority, order, rate: slotRate.createSlotRate(clock), lastDueAtMs: new Map() };
        const index = classes.findIndex(each => each.priority > priority);
        classes.splice(index < 0 ? classes.length : index, 0, created);
        return created;
    };

    const count = (): number => classes.reduce((sum, { order }) => sum + order.count(), 0);

    const updateCounts = ({ priority, inputs }: T, change: 1 | -1): void => {
        if (inputs === undefined) {
            return;
        }
        const kind = `${String(priority)} ${String(inputs.objectiveMs)}`;
        const left = (kinds.get(kind) ?? 0) + change;
        if (left > 0) {
            kinds.set(kind, left);
        } else {
            kinds.delete(kind);
        }
        organisationRequests += inputs.organisation === undefined ? 0 : change;
    };

    /** A less urgent priority that gets no slots at all any more has a turn, where organisations share a service. */
    const findNeglected = (): T | undefined => {
        const first = classes.find(({ order }) => order.count() > 0);
        const neglected =
            organisationRequests === 0
                ? undefined
                : classes.find(
                      each =>
                          each !== first && each.order.count() > 0 && shares.isNeglected(toClassGroup(each.priority)),
                  );
        return neglected?.order.getFirst();
    };

    const recordEnd: WaitingRequests<T>["recordEnd"] = (priority, inputs, isServed) => {
        if (inputs !== undefined) {
            shares.record(toClassGroup(priority), isServed);
            shares.record(toRouteGroup(inputs.route), isServed);
        }
    };

    return {
        hasPreceding: priority => classes.some(each => each.priority <= priority && each.order.count() > 0),
        computeDueAtMs: (priority, maxWaitMs, inputs) => {
            if (inputs === undefined) {
                return 0;
            }
            const { lastDueAtMs } = getClass(priority);
            const latestStartMs = Math.max(0, inputs.objectiveLeftMs - inputs.workMs);
            const dueAtMs = clock.now() + Math.min(maxWaitMs, latestStartMs);
            return Math.max(dueAtMs, lastDueAtMs.get(inputs.route) ?? 0);
        },
        insert: request => {
            const { order, rate, lastDueAtMs } = getClass(request.priority);
            if (order.count() === 0) {
                rate.start();
                lastDueAtMs.clear();
            }
            if (request.inputs !== undefined) {
                lastDueAtMs.set(request.inputs.route, request.dueAtMs);
            }
            order.insert(request);
            updateCounts(request, 1);
        },
        remove: (request, isServed) => {
            const { order } = getClass(request.priority);
            if (isServed) {
                classes
                    .filter(each => each.priority <= request.priority && each.order.count() > 0)
                    .forEach(({ rate }) => rate.record());
                order.finish(request);
            } else if (!order.remove(request)) {
                return;
            }
            updateCounts(request, -1);
        },
        recordEnd,
        offer: (offer, maxFailures) => {
            let failures = 0;
            const neglected = findNeglected();
            if (neglected !== undefined && !offer(neglected) && ++failures >= maxFailures) {
                return;
            }
            try {
                for (const { order } of classes) {
                    for (let first = order.getFirst(); first !== undefined; first = order.getFirst()) {
                        if (offer(first)) {
                            continue;
                        }
                        if (++failures >= maxFailures) {
                            return;
                        }
                        if (order.getFirst() === first) {
                            order.skipFirst();
                        }
                    }
                }
            } finally {
                classes.forEach(({ order }) => order.reset());
            }
        },
        isMixed: () => organisationRequests > 0 || kinds.size > 1,
        observe: request => {
            const { order, rate } = getClass(request.priority);
            return { before: order.countBefore(request), observed: rate.observe() };
        },
        listPeers: request => getClass(request.priority).order.listFlow(request.flow),
        isNeglected: route => shares.isNeglected(toRouteGroup(route)),
        count,
    };
};

/**
 * Weighted fair order of waiting requests (start-time fair queueing): organisations share the work that is done in
 * proportion to their weights; requests of one organisation are ordered by when their wait should end.
 */

/** Least number of emptied flows at which those that are not ahead of their share any more are dropped. */
const minSweepSize = 64;

export interface FairItem {
    /** Whose request it is. */
    readonly flow: string;
    /** Share of the flow relative to the others; the last one given counts. */
    readonly weight: number;
    /** Expected work. */
    readonly workMs: number;
    /** The least is first within a flow; equal ones keep their order of arrival. */
    readonly dueAtMs: number;
}

interface Flow<T> {
    readonly name: string;
    weight: number;
    /** Start tag of the flow's first request that was not skipped. */
    tag: number;
    /** Distinguishes flows of equal tags: the one that has waited longest is first. */
    sequence: number;
    readonly items: T[];
    /** Requests at the front that the current walk has passed over. */
    skipped: number;
    skippedTag: number;
}

export interface FairQueue<T extends FairItem> {
    insert(item: T): void;
    /** Removes a request that was not served; its flow is not charged. Returns false if the request is not here. */
    remove(item: T): boolean;
    /** Removes a request that was served and charges its work to its flow. */
    finish(item: T): void;
    /** Returns the first request that was not skipped. */
    getFirst(): T | undefined;
    /** Passes over the request that `getFirst` returned, until `reset`. */
    skipFirst(): void;
    /** Ends a walk: skipped requests are first again. */
    reset(): void;
    /** Estimates how many waiting requests precede this one, without a look at other flows. */
    countBefore(item: T): number;
    /** Lists the waiting requests of a flow in their order. */
    listFlow(name: string): readonly T[];
    /** Whether other flows than this one wait. */
    hasOtherFlow(name: string): boolean;
    count(): number;
}

/**
 * Creates an empty queue.
 *
 * @returns the queue
 */
export const createFairQueue = <T extends FairItem>(): FairQueue<T> => {
    const flows = new Map<string, Flow<T>>();
    /** Flows with requests that were not skipped, by tag. */
    const order: Flow<T>[] = [];
    const skippedFlows = new Set<Flow<T>>();
    /** Tags of flows that have emptied while ahead of their share; without them, a flow would regain its share at once. */
    const idleTags = new Map<string, number>();
    /** Doubles with what a sweep leaves, so that sweeps cost a constant for each request. */
    let sweepAtSize = minSweepSize;
    let virtualTime = 0;
    let nextSequence = 0;
    let itemCount = 0;
    let weightSum = 0;

    const findIndex = (flow: Flow<T>): number => {
        let [low, high] = [0, order.length];
        while (low < high) {
            const middle = (low + high) >> 1;
            const other = order[middle];
            const isBefore =
                other !== undefined &&
                (other.tag < flow.tag || (other.tag === flow.tag && other.sequence < flow.sequence));
            [low, high] = isBefore ? [middle + 1, high] : [low, middle];
        }
        return low;
    };

    const removeFromOrder = (flow: Flow<T>): void => {
        const index = findIndex(flow);
        if (order[index] === flow) {
            order.splice(index, 1);
        }
    };

    const insertIntoOrder = (flow: Flow<T>): void => {
        if (flow.items.length > flow.skipped) {
            order.splice(findIndex(flow), 0, flow);
        }
    };

    const rememberTag = (flow: Flow<T>): void => {
        idleTags.set(flow.name, flow.tag);
        if (idleTags.size > sweepAtSize) {
            for (const [name, tag] of idleTags) {
                if (tag <= virtualTime) {
                    idleTags.delete(name);
                }
            }
            sweepAtSize = Math.max(minSweepSize, 2 * idleTags.size);
        }
    };

    const removeIfEmpty = (flow: Flow<T>): void => {
        if (flow.items.length > 0) {
            return;
        }
        flows.delete(flow.name);
        skippedFlows.delete(flow);
        weightSum -= flow.weight;
        rememberTag(flow);
        if (itemCount === 0) {
            virtualTime = 0;
            weightSum = 0;
            idleTags.clear();
        }
    };

    const createFlow = (item: T): Flow<T> => {
        // One request ahead of the share: requests come at random, and a small organisation's next one comes long after its
        // wait would have ended.
        const tag = Math.max(virtualTime - item.workMs / item.weight, idleTags.get(item.flow) ?? 0);
        idleTags.delete(item.flow);
        const flow = {
            name: item.flow,
            weight: item.weight,
            tag,
            sequence: nextSequence++,
            items: [],
            skipped: 0,
            skippedTag: 0,
        };
        flows.set(item.flow, flow);
        weightSum += item.weight;
        return flow;
    };

    /** Restores a flow's place after its walk; its skipped requests count again. */
    const restore = (flow: Flow<T>): void => {
        if (flow.skipped > 0) {
            flow.tag -= flow.skippedTag;
            flow.skipped = 0;
            flow.skippedTag = 0;
        }
    };

    /** Takes a request out of its flow; returns the flow, which is not in the order then. */
    const takeOut = (item: T): Flow<T> | undefined => {
        const flow = flows.get(item.flow);
        const index = flow?.items.indexOf(item) ?? -1;
        if (flow === undefined || index < 0) {
            return undefined;
        }
        removeFromOrder(flow);
        flow.items.splice(index, 1);
        if (index < flow.skipped) {
            flow.skipped--;
            flow.skippedTag -= item.workMs / flow.weight;
            flow.tag -= item.workMs / flow.weight;
        }
        itemCount--;
        return flow;
    };

    return {
        insert: item => {
            const flow = flows.get(item.flow) ?? createFlow(item);
            removeFromOrder(flow);
            weightSum += item.weight - flow.weight;
            flow.weight = item.weight;
            const last = flow.items.findLastIndex(other => other.dueAtMs <= item.dueAtMs);
            flow.items.splice(last + 1, 0, item);
            itemCount++;
            insertIntoOrder(flow);
        },
        remove: item => {
            const flow = takeOut(item);
            if (flow === undefined) {
                return false;
            }
            insertIntoOrder(flow);
            removeIfEmpty(flow);
            return true;
        },
        finish: item => {
            const flow = takeOut(item);
            if (flow === undefined) {
                return;
            }
            virtualTime = Math.max(virtualTime, flow.tag - flow.skippedTag);
            flow.tag += item.workMs / flow.weight;
            flow.sequence = nextSequence++;
            insertIntoOrder(flow);
            removeIfEmpty(flow);
        },
        getFirst: () => order[0]?.items[order[0].skipped],
        skipFirst: () => {
            const flow = order.shift();
            const item = flow?.items[flow.skipped];
            if (flow === undefined || item === undefined) {
                return;
            }
            flow.skipped++;
            flow.skippedTag += item.workMs / flow.weight;
            flow.tag += item.workMs / flow.weight;
            skippedFlows.add(flow);
            insertIntoOrder(flow);
        },
        reset: () => {
            for (const flow of skippedFlows) {
                removeFromOrder(flow);
                restore(flow);
                insertIntoOrder(flow);
            }
            skippedFlows.clear();
        },
        countBefore: item => {
            const flow = flows.get(item.flow);
            const own = flow?.items.indexOf(item) ?? -1;
            // All flows are served in proportion to their weights until this request has its turn.
            return flow === undefined || own < 0
                ? itemCount
                : Math.min(itemCount - 1, own + ((own + 1) * (weightSum - flow.weight)) / flow.weight);
        },
        listFlow: name => flows.get(name)?.items ?? [],
        hasOtherFlow: name => flows.size > (flows.has(name) ? 1 : 0),
        count: () => itemCount,
    };
};

/**
 * Virtual time for experiments with millions of events.
 */
import * as events from "../../common/events.js";
import * as types from "../../common/Types.js";

export interface SimScheduler extends types.Scheduler {
    /** Runs all actions up to a time and lets promises settle between them. */
    runUntil(endMs: number): Promise<void>;
}

interface Entry {
    readonly atMs: number;
    readonly order: number;
    action: (() => void) | undefined;
}

/** A grant reaches its receiver after one turn; leases and probes take a few more, spread over later actions. */
const settleTurns = 3;

const isBefore = (a: Entry, b: Entry): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

const updateParents = (heap: Entry[], from: number): void => {
    let at = from;
    while (at > 0) {
        const parent = (at - 1) >> 1;
        const [child, above] = [heap[at], heap[parent]];
        if (child === undefined || above === undefined || !isBefore(child, above)) {
            return;
        }
        heap[at] = above;
        heap[parent] = child;
        at = parent;
    }
};

const updateChildren = (heap: Entry[]): void => {
    let at = 0;
    for (;;) {
        const [left, right] = [2 * at + 1, 2 * at + 2];
        let least = at;
        for (const child of [left, right]) {
            const [candidate, current] = [heap[child], heap[least]];
            if (candidate !== undefined && current !== undefined && isBefore(candidate, current)) {
                least = child;
            }
        }
        const [top, below] = [heap[at], heap[least]];
        if (least === at || top === undefined || below === undefined) {
            return;
        }
        heap[at] = below;
        heap[least] = top;
        at = least;
    }
};

const takeFirst = (heap: Entry[]): Entry | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (last !== undefined && heap.length > 0) {
        heap[0] = last;
        updateChildren(heap);
    }
    return first;
};

/**
 * Creates a scheduler with a heap of actions.
 *
 * @returns the scheduler, at time 0
 */
export const createSimScheduler = (): SimScheduler => {
    const heap: Entry[] = [];
    let nowMs = 0;
    let order = 0;
    return {
        now: () => nowMs,
        schedule: (delayMs, action) => {
            const entry: Entry = { atMs: nowMs + Math.max(0, delayMs), order: order++, action };
            heap.push(entry);
            updateParents(heap, heap.length - 1);
            return events.toDisposable(() => (entry.action = undefined));
        },
        runUntil: async endMs => {
            while (heap[0] !== undefined && heap[0].atMs <= endMs) {
                const entry = takeFirst(heap);
                if (entry?.action === undefined) {
                    continue;
                }
                nowMs = entry.atMs;
                entry.action();
                for (let turn = 0; turn < settleTurns; turn++) {
                    await Promise.resolve();
                }
            }
            nowMs = endMs;
        },
    };
};

/**
 * Virtual-time scheduler for experiments with millions of events.
 */
import * as events from "../../common/events.js";
import * as types from "../../common/Types.js";

export interface SimScheduler extends types.Scheduler {
    /** Runs all actions up to a time; promise callbacks run between them. */
    runUntil(endMs: number): Promise<void>;
}

interface ScheduledAction {
    readonly atMs: number;
    readonly sequence: number;
    action: (() => void) | undefined;
}

/**
 * A grant reaches its receiver after one microtask; leases and probes need a few more, which run after later actions.
 */
const microtasksPerAction = 3;

const isBefore = (a: ScheduledAction, b: ScheduledAction): boolean =>
    a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);

const updateParents = (heap: ScheduledAction[], from: number): void => {
    let at = from;
    while (at > 0) {
        const parent = (at - 1) >> 1;
        const [child, parentEntry] = [heap[at], heap[parent]];
        if (child === undefined || parentEntry === undefined || !isBefore(child, parentEntry)) {
            return;
        }
        heap[at] = parentEntry;
        heap[parent] = child;
        at = parent;
    }
};

const updateChildren = (heap: ScheduledAction[]): void => {
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
        const [top, leastEntry] = [heap[at], heap[least]];
        if (least === at || top === undefined || leastEntry === undefined) {
            return;
        }
        heap[at] = leastEntry;
        heap[least] = top;
        at = least;
    }
};

const takeFirst = (heap: ScheduledAction[]): ScheduledAction | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (last !== undefined && heap.length > 0) {
        heap[0] = last;
        updateChildren(heap);
    }
    return first;
};

/**
 * Creates a scheduler that keeps its actions in a binary heap.
 *
 * @returns the scheduler, at time 0
 */
export const createSimScheduler = (): SimScheduler => {
    const heap: ScheduledAction[] = [];
    let nowMs = 0;
    let sequence = 0;
    return {
        now: () => nowMs,
        schedule: (delayMs, action) => {
            const entry: ScheduledAction = { atMs: nowMs + Math.max(0, delayMs), sequence: sequence++, action };
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
                for (let microtask = 0; microtask < microtasksPerAction; microtask++) {
                    await Promise.resolve();
                }
            }
            nowMs = endMs;
        },
    };
};

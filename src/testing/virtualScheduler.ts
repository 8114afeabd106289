/**
 * Virtual time for tests and experiments.
 */
import * as events from "../common/events.js";
import * as types from "../common/Types.js";

export interface VirtualScheduler extends types.Scheduler {
    /** Runs all actions that fall due within `durationMs`, in order, and lets promises settle between them. */
    advance(durationMs: number): Promise<void>;
}

interface Entry {
    readonly atMs: number;
    readonly order: number;
    readonly action: () => void;
}

const settleTurns = 20;

const settlePromises = async (): Promise<void> => {
    for (let turn = 0; turn < settleTurns; turn++) {
        await Promise.resolve();
    }
};

/**
 * Creates a scheduler whose time moves only by `advance`.
 *
 * @param startMs - the time at the start
 * @returns the scheduler
 */
export const createVirtualScheduler = (startMs = 0): VirtualScheduler => {
    const entries = new Set<Entry>();
    let nowMs = startMs;
    let order = 0;

    const findNext = (untilMs: number): Entry | undefined => {
        let next: Entry | undefined;
        for (const entry of entries) {
            if (entry.atMs > untilMs) {
                continue;
            }
            if (
                next === undefined ||
                entry.atMs < next.atMs ||
                (entry.atMs === next.atMs && entry.order < next.order)
            ) {
                next = entry;
            }
        }
        return next;
    };

    return {
        now: () => nowMs,
        schedule: (delayMs, action) => {
            const entry: Entry = { atMs: nowMs + Math.max(0, delayMs), order: order++, action };
            entries.add(entry);
            return events.toDisposable(() => entries.delete(entry));
        },
        advance: async durationMs => {
            const untilMs = nowMs + durationMs;
            await settlePromises();
            for (let next = findNext(untilMs); next !== undefined; next = findNext(untilMs)) {
                entries.delete(next);
                nowMs = next.atMs;
                next.action();
                await settlePromises();
            }
            nowMs = untilMs;
        },
    };
};

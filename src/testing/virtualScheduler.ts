/**
 * Scheduler with virtual time for tests and experiments.
 */
import * as events from "../common/events.js";
import * as types from "../common/Types.js";

export interface VirtualScheduler extends types.Scheduler {
    /**
     * Advances the time by `durationMs`, runs all actions that become due in order, and settles promises between them.
     */
    advance(durationMs: number): Promise<void>;
}

interface ScheduledAction {
    readonly atMs: number;
    readonly order: number;
    readonly action: () => void;
}

const microtaskTurns = 20;

const settlePromises = async (): Promise<void> => {
    for (let turn = 0; turn < microtaskTurns; turn++) {
        await Promise.resolve();
    }
};

/**
 * Creates a scheduler whose time changes only through `advance`.
 *
 * @param startMs - initial time in milliseconds
 * @returns the scheduler
 */
export const createVirtualScheduler = (startMs = 0): VirtualScheduler => {
    const entries = new Set<ScheduledAction>();
    let nowMs = startMs;
    let order = 0;

    const findNext = (untilMs: number): ScheduledAction | undefined => {
        let next: ScheduledAction | undefined;
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
            const entry: ScheduledAction = { atMs: nowMs + Math.max(0, delayMs), order: order++, action };
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

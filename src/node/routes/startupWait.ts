/**
 * Holds the requests that arrive before this VM has a configuration. After a restart of all VMs that takes tens of
 * milliseconds, while a refusal would cost a client one of its few retries and a new connection.
 */
import * as shared from "../../common/Types.js";

/** Longest wait of a request; a VM that reaches neither a hub nor the store does not get a configuration soon. */
const maxWaitMs = 250;
/** More requests than a restarted VM receives in the longest wait; bounds the memory that they hold. */
const maxWaiting = 500;

export interface StartupWait {
    /**
     * Waits until this VM has a configuration.
     *
     * @param signal - ends the wait when the client disconnects
     * @returns resolves when there is one, or when the wait is over without one
     */
    wait(signal: AbortSignal): Promise<void>;
    /** Ends all waits, as there is a configuration. */
    finish(): void;
}

/**
 * Creates a wait for the first configuration.
 *
 * @param scheduler - timers
 * @returns the wait, which is not over
 */
export const createStartupWait = (scheduler: shared.Scheduler): StartupWait => {
    const waiting = new Set<() => void>();
    let isFinished = false;

    return {
        wait: signal => {
            if (isFinished || signal.aborted || waiting.size >= maxWaiting) {
                return Promise.resolve();
            }
            return new Promise(resolve => {
                const leave = (): void => {
                    timer.dispose();
                    signal.removeEventListener("abort", leave);
                    waiting.delete(leave);
                    resolve();
                };
                const timer = scheduler.schedule(maxWaitMs, leave);
                signal.addEventListener("abort", leave, { once: true });
                waiting.add(leave);
            });
        },
        finish: () => {
            isFinished = true;
            [...waiting].forEach(leave => leave());
        },
    };
};

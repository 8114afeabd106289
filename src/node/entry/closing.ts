/**
 * Closes the parts of a daemon one after the other, each within a bound, so that none of them keeps the process running.
 */
import * as errorText from "../../common/errors/errorText.js";
import * as shared from "../../common/Types.js";

/** Time for a part to close; all calls have ended before, so that only idle connections are left. */
export const closeTimeoutMs = 5_000;

export interface ClosingStep {
    readonly name: string;
    close(): Promise<unknown> | void;
}

/**
 * Closes parts in their order. A part that fails or takes too long is logged and passed over.
 *
 * @param steps - the parts
 * @param scheduler - timers
 * @param logger - where a part that did not close is named
 */
export const closeParts = async (
    steps: readonly ClosingStep[],
    scheduler: shared.Scheduler,
    logger: shared.Logger,
): Promise<void> => {
    for (const step of steps) {
        let timer: shared.Disposable | undefined;
        const timeout = new Promise<"timeout">(resolve => {
            timer = scheduler.schedule(closeTimeoutMs, () => resolve("timeout"));
        });
        try {
            if ((await Promise.race([Promise.resolve(step.close()), timeout])) === "timeout") {
                logger.warn("life: a part did not close in time", { part: step.name, timeoutMs: closeTimeoutMs });
            }
        } catch (error) {
            logger.warn("life: a part failed to close", { part: step.name, reason: errorText.toErrorText(error) });
        }
        timer?.dispose();
    }
};

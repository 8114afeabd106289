/**
 * Closes the components of a daemon one after the other, each with a timeout, so that none of them keeps the process
 * running.
 */
import * as errorText from "../../common/errors/errorText.js";
import * as shared from "../../common/Types.js";

/** Timeout for closing one component; all calls have ended by then, so only idle connections are left. */
export const closeTimeoutMs = 5_000;

export interface ClosableComponent {
    readonly name: string;
    close(): Promise<unknown> | void;
}

/**
 * Closes components in order. A component that fails or times out is logged and skipped.
 *
 * @param components - the components
 * @param scheduler - timers
 * @param logger - receives a warning for each component that did not close
 */
export const closeComponents = async (
    components: readonly ClosableComponent[],
    scheduler: shared.Scheduler,
    logger: shared.Logger,
): Promise<void> => {
    for (const component of components) {
        let timer: shared.Disposable | undefined;
        const timeout = new Promise<"timeout">(resolve => {
            timer = scheduler.schedule(closeTimeoutMs, () => resolve("timeout"));
        });
        try {
            if ((await Promise.race([Promise.resolve(component.close()), timeout])) === "timeout") {
                logger.warn("life: a component did not close within the timeout", {
                    part: component.name,
                    timeoutMs: closeTimeoutMs,
                });
            }
        } catch (error) {
            logger.warn("life: a component failed to close", {
                part: component.name,
                reason: errorText.toErrorText(error),
            });
        }
        timer?.dispose();
    }
};

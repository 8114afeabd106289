/**
 * Start and graceful shutdown of the entry daemon.
 */
import * as blackboard from "../../common/blackboard/Types.js";
import * as shared from "../../common/Types.js";

export interface LifecycleOptions {
    readonly board: blackboard.Blackboard;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    /** Time for which callers may use a lookup response that names this entry VM. */
    readonly lookupTtlMs: number;
    readonly drainTimeoutMs: number;
    /** False only in tests that show what the announcement prevents. */
    readonly announcesLeaving: boolean;
    countInFlightCalls(): number;
    /** Stops accepting connections from callers. */
    closeCallerPort(): Promise<void>;
}

export interface LifecycleController {
    setServing(): void;
    /** Shuts down gracefully: resolves when no call is in flight or when the drain timeout has passed. */
    stop(): Promise<void>;
}

const drainPollMs = 20;

/**
 * Creates the lifecycle controller, the writer of `lifecycle` on the blackboard.
 *
 * @param options - its dependencies
 * @returns the controller
 */
export const createLifecycleController = (options: LifecycleOptions): LifecycleController => {
    const { board, scheduler, logger } = options;
    const setLifecycle = board.lifecycle.takeWriter("lifecycle controller");
    let shutdown: Promise<void> | undefined;

    const wait = (delayMs: number): Promise<void> => new Promise(resolve => void setTimeout(resolve, delayMs));

    const waitForCalls = async (): Promise<void> => {
        const deadlineMs = scheduler.now() + options.drainTimeoutMs;
        while (options.countInFlightCalls() > 0 && scheduler.now() < deadlineMs) {
            await wait(drainPollMs);
        }
    };

    const runShutdown = async (): Promise<void> => {
        if (options.announcesLeaving) {
            setLifecycle("leaving");
        }
        logger.info(`life: leaving; callers may use cached lookup responses for another ${options.lookupTtlMs} ms`);
        await wait(options.lookupTtlMs);
        void options.closeCallerPort();
        logger.info("life: the callers' port no longer accepts connections", { calls: options.countInFlightCalls() });
        await waitForCalls();
        const calls = options.countInFlightCalls();
        if (calls > 0) {
            logger.warn(`life: the drain timeout of ${options.drainTimeoutMs} ms has passed`, { calls });
        }
        setLifecycle("stopped");
        logger.info("life: stopped");
    };

    return {
        setServing: () => {
            if (board.lifecycle.get() === "starting") {
                setLifecycle("serving");
                logger.info("life: serving");
            }
        },
        stop: () => (shutdown ??= runShutdown()),
    };
};

/**
 * Start and graceful shutdown of the entry daemon.
 */
import * as blackboard from "../../common/blackboard/Types.js";
import * as shared from "../../common/Types.js";

export interface LifecycleOptions {
    readonly board: blackboard.Blackboard;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    /** Time that callers may keep a lookup answer that names this entry VM. */
    readonly lookupTtlMs: number;
    readonly drainTimeoutMs: number;
    /** False only in tests that show what the announcement prevents. */
    readonly announcesLeaving: boolean;
    countCalls(): number;
    /** Stops accepting callers' connections. */
    closeFront(): Promise<void>;
}

export interface LifecycleController {
    setServing(): void;
    /** Leaves: resolves when no call is in flight, or when the drain timeout has passed. */
    leave(): Promise<void>;
}

const drainPollMs = 20;

/**
 * Creates the lifecycle controller, the writer of `lifecycle`.
 *
 * @param options - the parts that it uses
 * @returns the controller
 */
export const createLifecycleController = (options: LifecycleOptions): LifecycleController => {
    const { board, scheduler, logger } = options;
    const write = board.lifecycle.takeWriter("lifecycle controller");
    let leaving: Promise<void> | undefined;

    const wait = (delayMs: number): Promise<void> => new Promise(resolve => void setTimeout(resolve, delayMs));

    const waitForCalls = async (): Promise<void> => {
        const untilMs = scheduler.now() + options.drainTimeoutMs;
        while (options.countCalls() > 0 && scheduler.now() < untilMs) {
            await wait(drainPollMs);
        }
    };

    const runLeave = async (): Promise<void> => {
        if (options.announcesLeaving) {
            write("leaving");
        }
        logger.info(`life: leaving; callers may hold lookup answers for another ${options.lookupTtlMs} ms`);
        await wait(options.lookupTtlMs);
        void options.closeFront();
        logger.info("life: the callers' port is closed", { calls: options.countCalls() });
        await waitForCalls();
        const calls = options.countCalls();
        if (calls > 0) {
            logger.warn(`life: the drain timeout of ${options.drainTimeoutMs} ms has passed`, { calls });
        }
        write("stopped");
        logger.info("life: stopped");
    };

    return {
        setServing: () => {
            if (board.lifecycle.get() === "starting") {
                write("serving");
                logger.info("life: serving");
            }
        },
        leave: () => (leaving ??= runLeave()),
    };
};

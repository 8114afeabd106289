/**
 * Holds the requests that arrive before this VM has a configuration and targets. After a restart of all VMs that takes
 * tens of milliseconds, while a refusal would cost a client one of its few retries and a new connection.
 */
import * as shared from "../../common/Types.js";
import * as frontendServer from "./frontendServer.js";

/** Longest wait of a request; a VM that reaches neither a hub nor the store does not get a configuration soon. */
const maxWaitMs = 250;
/**
 * Longest wait for targets after the configuration. Both tables are read at the same time, but the one of the targets is
 * larger; the admission queue alone would refuse after a quarter of the objective, which may be less than 40 ms.
 */
const maxTargetsWaitMs = 250;
/** More requests than a restarted VM receives in the longest wait. */
const maxWaiting = 500;
/** Bounds the memory that waiting requests hold: the smallest VMs have 250 MB. */
const maxWaitingBytes = 16 * 1024 * 1024;

/** Why a wait is over: this VM can route requests, the client left, time or deadline is up, or too much waits already. */
export type WaitEnd = "started" | "left" | "timeout" | "full";

export interface StartingRequest {
    readonly id: string | undefined;
    readonly clientTimeoutMs: number | undefined;
    readonly request: Pick<frontendServer.ClientRequest, "body" | "receivedAtMs" | "signal">;
}

export interface StartupWait {
    /**
     * Waits until this VM has a configuration and targets.
     *
     * @param request - the request; its deadline counts from its arrival and ends the wait, as does its client's leaving
     * @returns how the wait has ended; at once if this VM has both
     */
    wait(request: StartingRequest): Promise<WaitEnd>;
    /** Records that there is a configuration. Without targets, waits go on for a bounded time. */
    recordConfiguration(): void;
    /** Records that there are targets. */
    recordTargets(): void;
}

/**
 * Creates a wait for the first configuration and the first targets.
 *
 * @param options - timers, and the log of the waits
 * @returns the wait, which is not over
 */
export const createStartupWait = (options: {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
}): StartupWait => {
    const { scheduler, logger } = options;
    const waiting = new Set<(end: WaitEnd) => void>();
    let waitingBytes = 0;
    let hasConfiguration = false;
    let hasTargets = false;
    let isFinished = false;

    const finish = (): void => {
        isFinished = true;
        [...waiting].forEach(leave => leave("started"));
    };

    const hold = ({ clientTimeoutMs = Infinity, request }: StartingRequest): Promise<WaitEnd> =>
        new Promise(resolve => {
            const { signal, body } = request;
            const leave = (end: WaitEnd): void => {
                timer.dispose();
                signal.removeEventListener("abort", handleAbort);
                waiting.delete(leave);
                waitingBytes -= body.length;
                resolve(end);
            };
            const handleAbort = (): void => leave("left");
            const remainingMs = request.receivedAtMs + clientTimeoutMs - scheduler.now();
            const waitMs = Math.max(0, Math.min(maxWaitMs, remainingMs));
            const timer = scheduler.schedule(waitMs, () => leave("timeout"));
            signal.addEventListener("abort", handleAbort, { once: true });
            waiting.add(leave);
            waitingBytes += body.length;
        });

    return {
        wait: async starting => {
            const { signal, body } = starting.request;
            if (isFinished) {
                return "started";
            }
            const startedAtMs = scheduler.now();
            const isFull = waiting.size >= maxWaiting || waitingBytes + body.length > maxWaitingBytes;
            const end = signal.aborted ? "left" : isFull ? "full" : await hold(starting);
            logger.info("startup: request waited", {
                request: starting.id,
                end,
                waitedMs: Math.round(scheduler.now() - startedAtMs),
                bytes: body.length,
                waiting: waiting.size,
                waitingBytes,
                hasConfiguration,
            });
            return end;
        },
        recordConfiguration: () => {
            if (!hasConfiguration && !hasTargets) {
                scheduler.schedule(maxTargetsWaitMs, finish);
            }
            hasConfiguration = true;
            if (hasTargets) {
                finish();
            }
        },
        recordTargets: () => {
            hasTargets = true;
            if (hasConfiguration) {
                finish();
            }
        },
    };
};

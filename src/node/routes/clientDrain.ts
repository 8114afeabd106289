/**
 * Drains the connections of clients before the process exits.
 */
import * as shared from "../../common/Types.js";
import * as frontendServer from "./frontendServer.js";

/** Clients keep a lookup response for up to this many times its lifetime. */
const lookupRetentionFactor = 3;
/** The process exits this long before the end of the grace period. */
const graceMarginMs = 500;
const checkIntervalMs = 100;

/**
 * Completes the requests that have begun, and serves clients that still hold a lookup response which names this VM.
 *
 * @param options - the server, and the times in milliseconds
 * @returns resolves when no connection is left, or shortly before the end of the grace period
 */
export const drainClients = async (options: {
    readonly frontend: frontendServer.FrontendServer;
    readonly scheduler: shared.Scheduler;
    readonly graceMs: number;
    readonly lookupLifetimeMs: number;
}): Promise<void> => {
    const { frontend, scheduler, graceMs } = options;
    const wait = (delayMs: number): Promise<void> => new Promise(resolve => void scheduler.schedule(delayMs, resolve));
    const endsAtMs = scheduler.now() + graceMs - graceMarginMs;
    frontend.startDraining();
    await wait(Math.min(options.lookupLifetimeMs * lookupRetentionFactor, graceMs / 2));
    frontend.closeIdle();
    while (frontend.countConnections() > 0 && scheduler.now() < endsAtMs) {
        await wait(checkIntervalMs);
        frontend.closeIdle();
    }
};

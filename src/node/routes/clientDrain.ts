/**
 * Drains the connections of clients before the process exits.
 */
import * as shared from "../../common/Types.js";
import * as frontendServer from "./frontendServer.js";
import * as lookupServer from "./lookupServer.js";

/** Clients keep a lookup response for up to this many times its lifetime. */
const lookupRetentionFactor = 3;
/** The process exits this long before the end of the grace period. */
const graceMarginMs = 500;
const checkIntervalMs = 100;

/**
 * Completes the requests that have begun, and serves clients that still hold a lookup response which names this VM. That
 * response may be of another VM that has run for longer, so that the time does not depend on how long this VM has run.
 *
 * @param options - the server, undefined if this VM serves no clients, and the times in milliseconds
 * @returns resolves when no connection is left, or shortly before the end of the grace period
 */
export const drainClients = async (options: {
    readonly frontend:
        Pick<frontendServer.FrontendServer, "startDraining" | "closeIdle" | "countConnections"> | undefined;
    readonly scheduler: shared.Scheduler;
    readonly graceMs: number;
    readonly longestLookupMs: number;
}): Promise<void> => {
    const { frontend, scheduler, graceMs, longestLookupMs } = options;
    const wait = (delayMs: number): Promise<void> => new Promise(resolve => void scheduler.schedule(delayMs, resolve));
    const endsAtMs = scheduler.now() + graceMs - graceMarginMs;
    frontend?.startDraining();
    const lifetimeMs = Math.min(lookupServer.lookupLifetimeMs, longestLookupMs);
    await wait(Math.min(lifetimeMs * lookupRetentionFactor, graceMs / 2));
    frontend?.closeIdle();
    while ((frontend?.countConnections() ?? 0) > 0 && scheduler.now() < endsAtMs) {
        await wait(checkIntervalMs);
        frontend?.closeIdle();
    }
};

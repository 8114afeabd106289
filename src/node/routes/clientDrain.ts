/**
 * Drains the connections of clients before the process exits.
 */
import * as shared from "../../common/Types.js";
import * as drainControl from "./drainControl.js";
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
 * Requests that would not be complete in time are refused.
 *
 * @param options - the server, undefined if this VM serves no clients, and the times in milliseconds
 * @returns resolves when no connection is left, or shortly before the end of the grace period
 */
export const drainClients = async (options: {
    readonly frontend:
        | Pick<
              frontendServer.FrontendServer,
              "startDraining" | "refuseLate" | "closeIdle" | "countConnections" | "recordCutOff"
          >
        | undefined;
    readonly drain: Pick<drainControl.DrainControl, "start" | "check" | "finish">;
    readonly scheduler: shared.Scheduler;
    readonly graceMs: number;
    readonly longestLookupMs: number;
}): Promise<void> => {
    const { frontend, drain, scheduler, graceMs, longestLookupMs } = options;
    const startedAtMs = scheduler.now();
    const endsAtMs = startedAtMs + graceMs - graceMarginMs;
    const lifetimeMs = Math.min(lookupServer.lookupLifetimeMs, longestLookupMs);
    const closesAtMs = startedAtMs + Math.min(lifetimeMs * lookupRetentionFactor, graceMs / 2);

    const waitAndCheck = async (untilMs: number): Promise<void> => {
        const delayMs = Math.min(checkIntervalMs, untilMs - scheduler.now());
        await new Promise<void>(resolve => void scheduler.schedule(delayMs, resolve));
        drain.check();
        frontend?.refuseLate();
    };

    drain.start(endsAtMs);
    frontend?.startDraining();
    while (scheduler.now() < closesAtMs) {
        await waitAndCheck(closesAtMs);
    }
    frontend?.closeIdle();
    while ((frontend?.countConnections() ?? 0) > 0 && scheduler.now() < endsAtMs) {
        await waitAndCheck(endsAtMs);
        frontend?.closeIdle();
    }
    drain.finish();
    frontend?.recordCutOff();
};

/**
 * Wires up the HTTP server for clients and the budget of the bodies that it holds.
 */
import type * as net from "node:net";
import * as bodyBudget from "../../common/routes/bodyBudget.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as bodyRefusals from "./bodyRefusals.js";
import * as clientConnection from "./clientConnection.js";
import * as drainingHeads from "./drainingHeads.js";
import * as frontendServer from "./frontendServer.js";
import * as metrics from "./metrics.js";
import * as requestHandler from "./requestHandler.js";
import * as types from "./Types.js";
import * as unreadableRequests from "./unreadableRequests.js";

/** Longest time-out of a route before there is a configuration. */
const defaultLongestTimeoutMs = 60_000;

/**
 * Creates the budget of a VM.
 *
 * @param options - memory of the VM, and the configuration in force
 * @returns the budget
 */
export const createVmBudget = (options: {
    readonly settings: Pick<types.RouteSettings, "memoryBytes">;
    readonly clock: shared.Clock;
    getConfiguration(): routes.RouteConfiguration | undefined;
}): bodyBudget.BodyBudget => {
    let known: routes.RouteConfiguration | undefined;
    let longestTimeoutMs = defaultLongestTimeoutMs;
    const getLongestTimeoutMs = (): number => {
        const current = options.getConfiguration();
        if (current !== known && current !== undefined && current.routes.length > 0) {
            longestTimeoutMs = Math.max(...current.routes.map(route => route.timeoutMs));
        }
        known = current;
        return longestTimeoutMs;
    };
    return bodyBudget.createBodyBudget({
        clock: options.clock,
        memoryBytes: options.settings.memoryBytes,
        getMaxBodyBytes: () => options.getConfiguration()?.limits.maxBodyBytes ?? Infinity,
        getLongestTimeoutMs,
    });
};

/**
 * Creates the server of a VM.
 *
 * @param options - settings, request handler, and what is recorded where
 * @returns the server; undefined if the VM serves no clients
 */
export const createVmFrontend = (options: {
    readonly settings: Pick<types.RouteSettings, "frontAddress" | "maxDescriptors">;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly metrics: metrics.RouteMetrics;
    readonly budget: bodyBudget.BodyBudget;
    readonly handler: requestHandler.RequestHandler;
    readonly heads: drainingHeads.DrainingHeads;
    getConfiguration(): routes.RouteConfiguration | undefined;
    recordError(error: unknown): void;
    /** Counts the bytes of a connection. */
    watchSocket(socket: net.Socket): void;
}): frontendServer.FrontendServer | undefined => {
    const { settings, logger, budget, handler } = options;
    if (settings.frontAddress === undefined) {
        return undefined;
    }
    return frontendServer.createFrontendServer({
        address: settings.frontAddress,
        scheduler: options.scheduler,
        budget,
        maxConnections: clientConnection.computeMaxConnections(settings.maxDescriptors),
        getLimits: () => options.getConfiguration()?.limits,
        handle: handler.handle,
        ...options.heads,
        formatRefusal: handler.formatRefusal,
        recordError: options.recordError,
        recordUnreadable: unreadableRequests.createUnreadableRecorder({ logger, metrics: options.metrics }),
        recordRefusedBody: bodyRefusals.createRefusalRecorder({ logger, metrics: options.metrics, ...budget }),
        watchSocket: options.watchSocket,
        recordExcessConnection: options.metrics.recordExcessConnection,
        recordUnclosed: reason => {
            options.metrics.recordUnclosedConnection(reason);
            logger.info("frontend: connection not closed by its client", { reason });
        },
    });
};

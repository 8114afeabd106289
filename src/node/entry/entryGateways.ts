/**
 * The two HTTP servers of the entry daemon: the callers' port and the control port.
 */
import * as blackboardTypes from "../../common/blackboard/Types.js";
import * as callHandlers from "../front/callHandler.js";
import * as healthRoutes from "../front/healthRoute.js";
import * as lookups from "../front/lookup.js";
import * as gateways from "../http/gateway.js";
import * as logging from "../logging/Types.js";
import * as settingsTypes from "../settings/Types.js";

/**
 * Creates the gateway of the callers' port, which serves calls, lookups and health checks.
 *
 * @param settings - address and lookup settings
 * @param board - configuration, members and lifecycle
 * @param callHandler - handles the calls
 * @param isFresh - whether the current configuration is confirmed recently enough to be used
 * @param logSink - sink for log lines
 * @returns the gateway, not yet started
 */
export const createCallerGateway = (
    settings: settingsTypes.EntrySettings,
    board: blackboardTypes.Blackboard,
    callHandler: callHandlers.CallHandler,
    isFresh: () => boolean,
    logSink: logging.LogSink,
): gateways.Gateway =>
    gateways.createGateway({
        name: "front",
        sendDate: true,
        address: settings.listen,
        logger: logSink.logger,
        routes: [
            { segment: "call", handle: (request, response) => callHandler.handle(request, response, false) },
            {
                segment: "lookup",
                handle: lookups.createLookupHandler({ blackboard: board, ttlMs: settings.lookupTtlMs, isFresh }),
            },
            { segment: "health", handle: healthRoutes.createHealthRoute(board, isFresh) },
        ],
    });

/**
 * Creates the gateway of the control port, which serves messages of peers and operators, and forwarded calls.
 *
 * @param settings - address of the control port
 * @param rpcRoute - handles JSON-RPC
 * @param callHandler - handles the forwarded calls
 * @param logSink - sink for log lines
 * @returns the gateway, not yet started
 */
export const createControlGateway = (
    settings: settingsTypes.EntrySettings,
    rpcRoute: gateways.GatewayRoute["handle"],
    callHandler: callHandlers.CallHandler,
    logSink: logging.LogSink,
): gateways.Gateway =>
    gateways.createGateway({
        name: "control",
        // Each byte of the peers' messages counts against the control traffic budget.
        sendDate: false,
        address: settings.control,
        logger: logSink.logger,
        routes: [
            { segment: "rpc", handle: rpcRoute },
            { segment: "forward", handle: (request, response) => callHandler.handle(request, response, true) },
        ],
    });

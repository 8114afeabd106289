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
 * Creates the callers' port: calls, lookup and health.
 *
 * @param settings - address and lookup settings
 * @param board - configuration, members and lifecycle
 * @param calls - handles the calls
 * @param isFresh - whether the configuration in use may still be used
 * @param logs - where log lines go
 * @returns the gateway, not yet started
 */
export const createFrontGateway = (
    settings: settingsTypes.EntrySettings,
    board: blackboardTypes.Blackboard,
    calls: callHandlers.CallHandler,
    isFresh: () => boolean,
    logs: logging.LogSink,
): gateways.Gateway =>
    gateways.createGateway({
        name: "front",
        sendDate: true,
        address: settings.listen,
        logger: logs.logger,
        routes: [
            { segment: "call", handle: (request, response) => calls.handle(request, response, false) },
            {
                segment: "lookup",
                handle: lookups.createLookupHandler({ blackboard: board, ttlMs: settings.lookupTtlMs, isFresh }),
            },
            { segment: "health", handle: healthRoutes.createHealthRoute(board, isFresh) },
        ],
    });

/**
 * Creates the control port: messages of peers and operators, and forwarded calls.
 *
 * @param settings - address
 * @param rpcRoute - handles JSON-RPC
 * @param calls - handles the forwarded calls
 * @param logs - where log lines go
 * @returns the gateway, not yet started
 */
export const createControlGateway = (
    settings: settingsTypes.EntrySettings,
    rpcRoute: gateways.GatewayRoute["handle"],
    calls: callHandlers.CallHandler,
    logs: logging.LogSink,
): gateways.Gateway =>
    gateways.createGateway({
        name: "control",
        // The control budget counts each byte of the peers' messages.
        sendDate: false,
        address: settings.control,
        logger: logs.logger,
        routes: [
            { segment: "rpc", handle: rpcRoute },
            { segment: "forward", handle: (request, response) => calls.handle(request, response, true) },
        ],
    });

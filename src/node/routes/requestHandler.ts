/**
 * Handles a client request: picks its route and service, computes its deadline and runs the exchange.
 */
import * as fingerprints from "../../common/crashes/fingerprint.js";
import * as callers from "../../common/routes/callers.js";
import * as routeTable from "../../common/routes/routeTable.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as drainControl from "./drainControl.js";
import * as exchange from "./exchange.js";
import * as exchangeOptions from "./exchangeOptions.js";
import * as exchangeRequest from "./exchangeRequest.js";
import * as frontendServer from "./frontendServer.js";
import * as metrics from "./metrics.js";
import * as notRun from "./notRun.js";
import * as peerRelay from "./peerRelay.js";
import * as requestUrl from "./requestUrl.js";
import * as responseBodies from "./responseBodies.js";
import * as startupWait from "./startupWait.js";
import * as quotas from "./quotas.js";
import * as types from "./Types.js";

const retryAfterHeader = "Retry-After";
/** A VM that has just started receives its configuration within about this time, and one that is cut off hears of others. */
const unavailableRetryAfterMs = 500;

export interface RequestHandlerOptions {
    readonly dialect: types.HttpDialect;
    readonly exchange: exchangeOptions.ExchangeOptions;
    readonly relay: peerRelay.PeerRelay;
    /** Whether this VM reaches no target. */
    isCutOff(): boolean;
    /** Whether this VM would know of a change of the configuration by now. */
    isInTouch(): boolean;
    readonly quotas: Pick<quotas.Quotas, "charge" | "takeBack">;
    getTable(): routeTable.RouteTable | undefined;
    /** Waits for a short time until this VM can route requests; resolves at once if it can. */
    waitForStart(request: startupWait.StartingRequest): Promise<startupWait.WaitEnd>;
    /** Called once for each request that was looked up in the routes, whether or not one matched. */
    recordRequest(end: metrics.RequestEnd, latencyMs: number): void;
    /** Called for each response whose status promises that the request has not run. */
    recordNotRun(source: notRun.NotRunSource): void;
    /** Called for each request that is refused as its caller is not known. */
    recordKeyFault(fault: callers.KeyFault): void;
}

export interface RequestHandler {
    handle(request: frontendServer.ClientRequest): Promise<frontendServer.ClientResponse | undefined>;
    formatRefusal(headers: types.RawHeaders, statusCode: number, reason: string): frontendServer.ClientResponse;
}

/** A request with its route and service, before it is sent. */
interface RoutedRequest {
    readonly request: frontendServer.ClientRequest;
    readonly id: string;
    /** Headers without keys that an organisation holds. */
    readonly headers: types.RawHeaders;
    /** Undefined if the caller needs no key. */
    readonly caller: callers.Caller | undefined;
    readonly clientTimeoutMs: number | undefined;
    readonly relayedMaxTargets: number | undefined;
    readonly host: string;
    readonly route: routes.Route;
    readonly service: shared.ServiceName;
    readonly configurationVersion: number;
}

type RequestResult = exchangeRequest.FinalResponse | peerRelay.RelayEnd;

/** Over the quota of the organisation; the request has not run. */
interface OverQuota {
    readonly kind: "over-quota";
    readonly reason: string;
    readonly retryAfterMs: number;
}

/**
 * Creates the handler.
 *
 * @param options - routes, HTTP dialect and the options shared by all exchanges
 * @returns the handler
 */
export const createRequestHandler = (options: RequestHandlerOptions): RequestHandler => {
    const { dialect } = options;
    const { scheduler, logger, drain } = options.exchange;

    const formatOwnResponse = (
        requestId: string | undefined,
        statusCode: number,
        reason: string,
        retryAfterMs?: number,
    ): frontendServer.ClientResponse => {
        const headers = [...dialect.formatOwnResponseHeaders(requestId), "Content-Type", "text/plain"];
        if (retryAfterMs !== undefined) {
            headers.push(retryAfterHeader, String(retryAfterMs / 1_000));
        }
        if (notRun.isNotRunStatus(statusCode)) {
            options.recordNotRun("vm");
        }
        const bytes = Buffer.from(`${reason}\n`);
        return { statusCode, headers, body: { kind: "whole", bytes }, isDelimited: true };
    };

    const formatFinalResponse = (
        requestId: string | undefined,
        response: RequestResult | OverQuota,
    ): frontendServer.ClientResponse | undefined => {
        switch (response.kind) {
            case "target":
            case "relayed": {
                const { statusCode, head, body, isDelimited } = response.response;
                if (notRun.isNotRunStatus(statusCode)) {
                    options.recordNotRun(response.kind === "target" ? "target" : "peer");
                }
                return { statusCode, headers: head.forwardedHeaders, body, isDelimited };
            }
            case "refused":
                return formatOwnResponse(requestId, 503, response.reason, response.retryAfterMs);
            case "over-quota":
                return formatOwnResponse(requestId, 429, response.reason, response.retryAfterMs);
            case "failed":
                return formatOwnResponse(requestId, response.statusCode, response.reason);
            case "abandoned":
                return undefined;
        }
    };

    /** Refuses a request that is not sent to any target. */
    const refuseRequest = (
        id: string | undefined,
        statusCode: number,
        reason: string,
        fields: shared.LogFields = {},
    ): frontendServer.ClientResponse => {
        logger.warn("exchange: request rejected", { request: id, status: statusCode, reason, ...fields });
        const retryAfterMs = drain.isDraining() ? drainControl.refusalRetryAfterMs : unavailableRetryAfterMs;
        return formatOwnResponse(id, statusCode, reason, statusCode === 503 ? retryAfterMs : undefined);
    };

    /** Runs a request here, or at another VM if this one reaches no target. */
    const runOrRelay = async (request: exchangeRequest.ExchangeRequest, mayRelay: boolean): Promise<RequestResult> => {
        if (request.deadlineAtMs <= scheduler.now()) {
            // A target would still run it, for a client that has given up.
            return {
                kind: "refused",
                reason: "deadline passed before it was sent",
                retryAfterMs: unavailableRetryAfterMs,
            };
        }
        const relay = async (history: peerRelay.RequestHistory): Promise<RequestResult | undefined> =>
            mayRelay && drain.mayBegin(exchangeRequest.toDrainingRequest(request), "relay")
                ? options.relay.run(request, history)
                : undefined;
        const { maxTargets } = request.route;
        const relayed = options.isCutOff() ? await relay({ maxTargets, mayHaveRun: false }) : undefined;
        if (relayed !== undefined) {
            return relayed;
        }
        const end = await exchange.runExchange(options.exchange, request);
        if (end.kind !== "unreached") {
            return end;
        }
        const reason = "targets not reached";
        const notRelayed: RequestResult = end.mayHaveRun
            ? { kind: "failed", reason, statusCode: 502 }
            : { kind: "refused", reason, retryAfterMs: unavailableRetryAfterMs };
        return (await relay(end)) ?? notRelayed;
    };

    const runRoute = async (routed: RoutedRequest): Promise<RequestResult> => {
        const { request, id, headers, caller, service, relayedMaxTargets = Infinity } = routed;
        const organisation = caller?.organisation.name;
        const route = {
            ...routed.route,
            priority: caller?.organisation.priority ?? routed.route.priority,
            maxTargets: Math.min(routed.route.maxTargets, relayedMaxTargets),
        };
        const { method, url, body, signal } = request;
        const { path, query } = requestUrl.splitUrl(url);
        const fingerprint = fingerprints.computeFingerprint({
            addressee: routed.host,
            organisation,
            method,
            path,
            query,
            bodyLength: body.length,
            bodyStart: body,
        });
        if (options.exchange.crashes.isBlocked(fingerprint)) {
            logger.warn("crash: request refused", { request: id, fingerprint, service, organisation });
            return { kind: "failed", reason: "request crashes targets", statusCode: 502 };
        }
        const allowedMs = Math.min(route.timeoutMs, routed.clientTimeoutMs ?? Infinity);
        const exchanged: exchangeRequest.ExchangeRequest = {
            outgoing: { id, method, url, headers, body, caller },
            route,
            service,
            deadlineAtMs: request.receivedAtMs + allowedMs,
            fingerprint,
            ...(organisation !== undefined && { organisation }),
            configurationVersion: routed.configurationVersion,
            signal,
        };
        return runOrRelay(exchanged, routed.relayedMaxTargets === undefined);
    };

    /** Charges the request to its organisation, and takes the charge back if it has not run at a target of this VM. */
    const runCharged = async (routed: RoutedRequest): Promise<RequestResult | OverQuota> => {
        const { id, caller, request } = routed;
        if (caller === undefined) {
            return runRoute(routed);
        }
        const charged = await options.quotas.charge(caller.organisation.name, { id, signal: request.signal });
        switch (charged.kind) {
            case "exhausted":
                return { kind: "over-quota", reason: "over the quota", retryAfterMs: charged.retryAfterMs };
            case "unavailable":
                return { kind: "refused", reason: "quota not available", retryAfterMs: charged.retryAfterMs };
            case "charged": {
                const response = await runRoute(routed);
                const hasNotRun = response.kind === "refused" || response.kind === "relayed";
                if (hasNotRun && charged.charge !== undefined) {
                    options.quotas.takeBack(charged.charge);
                }
                return response;
            }
        }
    };

    /** Measures how long the request takes, until its response was received whole or broke off. */
    const runMeasured = async (routed: RoutedRequest): Promise<RequestResult | OverQuota> => {
        const measured = drain.durations.begin(routed.route.name);
        let body: types.ResponseBody | undefined;
        try {
            const response = await runCharged(routed);
            body = response.kind === "target" || response.kind === "relayed" ? response.response.body : undefined;
            return response;
        } finally {
            responseBodies.watchEnd(body, measured.finish);
        }
    };

    const logEnd = (routed: RoutedRequest, response: RequestResult | OverQuota, latencyMs: number): void => {
        if (response.kind === "target" || response.kind === "relayed") {
            return;
        }
        logger.warn("exchange: request not served", {
            request: routed.id,
            route: routed.route.name,
            service: routed.service,
            configuration: routed.configurationVersion,
            organisation: routed.caller?.organisation.name,
            kind: response.kind,
            reason: response.kind === "abandoned" ? "client left" : response.reason,
            latencyMs: Math.round(latencyMs),
            patienceMs: routed.clientTimeoutMs,
        });
    };

    /** Strips the keys that targets must not see: all of an identified caller, otherwise those that an organisation holds. */
    const stripKeys = (
        { headers }: frontendServer.ClientRequest,
        { keys }: types.RequestHead,
        isIdentified: boolean,
        table: callers.CallerTable,
    ): types.RawHeaders => {
        const isStripped = (key: shared.KeyDigest): boolean => isIdentified || table.isHeld(key);
        return keys.some(isStripped) ? dialect.stripKeys(headers, keys, isStripped) : headers;
    };

    /** Refuses a request whose caller is not known; it runs nowhere. */
    const refuseCaller = (
        id: string,
        { relayedConfiguration }: types.RequestHead,
        table: routeTable.RouteTable,
        fields: { readonly route: string; readonly fault: callers.KeyFault; readonly receivedAtMs: number },
    ): frontendServer.ClientResponse => {
        const { route, fault, receivedAtMs } = fields;
        const isInTouch = options.isInTouch();
        const isOutdated = relayedConfiguration !== undefined && relayedConfiguration > table.version;
        const status = callers.pickRefusalStatus(fault, { isInTouch, isOutdated });
        options.recordKeyFault(fault);
        options.recordRequest("unidentified", scheduler.now() - receivedAtMs);
        const inputs = { configuration: table.version, relayedConfiguration, isInTouch };
        logger.warn("identity: request refused", { request: id, route, status, fault, ...inputs });
        return formatOwnResponse(id, status, `key ${fault}`, status === 503 ? unavailableRetryAfterMs : undefined);
    };

    const handle = async (
        request: frontendServer.ClientRequest,
    ): Promise<frontendServer.ClientResponse | undefined> => {
        const head = dialect.parseRequestHead(request.headers);
        const { id, clientTimeoutMs, relayedMaxTargets } = head;
        const host = requestUrl.stripPort(head.host);
        if ((await options.waitForStart({ id, clientTimeoutMs, request })) === "left") {
            return undefined;
        }
        const table = options.getTable();
        if (table === undefined) {
            return refuseRequest(id, 503, "no configuration yet");
        }
        if (id === undefined) {
            return refuseRequest(undefined, 400, "no request id", { host, url: request.url });
        }
        const route = table.find(host, requestUrl.splitUrl(request.url).path);
        const refuseUnrouted = (): frontendServer.ClientResponse => {
            options.recordRequest("no-route", scheduler.now() - request.receivedAtMs);
            return refuseRequest(id, 404, "no route", { host, url: request.url, configuration: table.version });
        };
        if (route === undefined || !table.hasService(route)) {
            return refuseUnrouted();
        }
        const claim = { requestId: id, keys: head.keys, statement: head.relayedStatement };
        const identification = table.callers.identify(route, claim);
        if (identification.kind === "refused") {
            const { receivedAtMs } = request;
            return refuseCaller(id, head, table, { route: route.name, fault: identification.fault, receivedAtMs });
        }
        // Requests that are refused must not move the split over the services.
        const service = table.pickService(route);
        if (service === undefined) {
            return refuseUnrouted();
        }
        const routed: RoutedRequest = {
            request,
            id,
            headers: stripKeys(request, head, identification.kind === "identified", table.callers),
            caller: identification.kind === "identified" ? identification.caller : undefined,
            clientTimeoutMs,
            relayedMaxTargets,
            host,
            route,
            service,
            configurationVersion: table.version,
        };
        const response = await runMeasured(routed);
        const latencyMs = scheduler.now() - request.receivedAtMs;
        logEnd(routed, response, latencyMs);
        options.recordRequest(response.kind === "target" ? "served" : response.kind, latencyMs);
        return formatFinalResponse(id, response);
    };

    return {
        handle,
        formatRefusal: (headers, statusCode, reason) =>
            refuseRequest(dialect.parseRequestHead(headers).id, statusCode, reason),
    };
};

/**
 * From a client's request to its answer: route, service, deadline, exchange.
 */
import * as fingerprints from "../../common/crashes/fingerprint.js";
import * as routeTable from "../../common/routes/routeTable.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as exchange from "./exchange.js";
import * as frontServer from "./frontServer.js";
import * as metrics from "./metrics.js";
import * as types from "./Types.js";

const retryAfterHeader = "Retry-After";
/** A VM that has just started has its configuration within about this time. */
const unconfiguredRetryMs = 500;

export interface RequestHandlerOptions {
    readonly dialect: types.HttpDialect;
    readonly exchange: exchange.ExchangeOptions;
    getTable(): routeTable.RouteTable | undefined;
    /** Called once for each request that was routed or found no route. */
    recordRequest(end: metrics.RequestEnd, latencyMs: number): void;
}

export interface RequestHandler {
    handle(request: frontServer.ClientRequest): Promise<frontServer.ClientAnswer | undefined>;
    formatRefusal(headers: types.RawHeaders, statusCode: number, reason: string): frontServer.ClientAnswer;
}

/** A request with what was decided about it before it is sent. */
interface RoutedRequest {
    readonly request: frontServer.ClientRequest;
    readonly id: string;
    readonly patienceMs: number | undefined;
    readonly route: routes.Route;
    readonly service: shared.ServiceName;
    readonly configurationVersion: number;
}

const splitUrl = (url: string): { readonly path: string; readonly query: string } => {
    const at = url.indexOf("?");
    return at < 0 ? { path: url, query: "" } : { path: url.slice(0, at), query: url.slice(at) };
};

const stripPort = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

/**
 * Creates the handler.
 *
 * @param options - routes, dialect and what exchanges share
 * @returns the handler
 */
export const createRequestHandler = (options: RequestHandlerOptions): RequestHandler => {
    const { dialect } = options;
    const { scheduler, logger } = options.exchange;

    const formatOwn = (
        requestId: string | undefined,
        statusCode: number,
        reason: string,
        retryAfterMs?: number,
    ): frontServer.ClientAnswer => {
        const headers = [...dialect.writeOwnAnswer(requestId), "Content-Type", "text/plain"];
        if (retryAfterMs !== undefined) {
            headers.push(retryAfterHeader, String(retryAfterMs / 1_000));
        }
        return { statusCode, headers, body: Buffer.from(`${reason}\n`), isDelimited: true };
    };

    const formatFinal = (
        requestId: string | undefined,
        answer: exchange.FinalAnswer,
    ): frontServer.ClientAnswer | undefined => {
        switch (answer.kind) {
            case "target": {
                const { statusCode, head, body, isDelimited } = answer.answer;
                return { statusCode, headers: head.forwarded, body, isDelimited };
            }
            case "refused":
                return formatOwn(requestId, 503, answer.reason, answer.retryAfterMs);
            case "failed":
                return formatOwn(requestId, answer.statusCode, answer.reason);
            case "abandoned":
                return undefined;
        }
    };

    /** Refuses or rejects a request that is sent nowhere. */
    const reject = (
        id: string | undefined,
        statusCode: number,
        reason: string,
        fields: shared.LogFields = {},
    ): frontServer.ClientAnswer => {
        logger.warn("exchange: rejected", { request: id, status: statusCode, reason, ...fields });
        return formatOwn(id, statusCode, reason, statusCode === 503 ? unconfiguredRetryMs : undefined);
    };

    const runRoute = async (routed: RoutedRequest): Promise<exchange.FinalAnswer> => {
        const { request, id, route, service } = routed;
        const { method, url, headers, body, signal } = request;
        const { path, query } = splitUrl(url);
        const fingerprint = fingerprints.computeFingerprint({
            service,
            method,
            path,
            query,
            bodyLength: body.length,
            bodyStart: body,
        });
        if (options.exchange.crashes.isBlocked(fingerprint)) {
            return { kind: "failed", reason: "request crashes targets", statusCode: 502 };
        }
        const allowedMs = Math.min(route.timeoutMs, routed.patienceMs ?? Infinity);
        return exchange.runExchange(options.exchange, {
            outgoing: { id, method, url, headers, body },
            route,
            service,
            deadlineAtMs: request.receivedAtMs + allowedMs,
            fingerprint,
            configurationVersion: routed.configurationVersion,
            signal,
        });
    };

    const logEnd = (routed: RoutedRequest, answer: exchange.FinalAnswer, latencyMs: number): void => {
        if (answer.kind === "target") {
            return;
        }
        logger.warn("exchange: not served", {
            request: routed.id,
            route: routed.route.name,
            service: routed.service,
            configuration: routed.configurationVersion,
            kind: answer.kind,
            reason: answer.kind === "abandoned" ? "client left" : answer.reason,
            latencyMs: Math.round(latencyMs),
            patienceMs: routed.patienceMs,
        });
    };

    const handle = async (request: frontServer.ClientRequest): Promise<frontServer.ClientAnswer | undefined> => {
        const { id, host, patienceMs } = dialect.readRequest(request.headers);
        const table = options.getTable();
        if (table === undefined) {
            return reject(id, 503, "no configuration yet");
        }
        if (id === undefined) {
            return reject(undefined, 400, "no request id", { host, url: request.url });
        }
        const route = table.find(stripPort(host), splitUrl(request.url).path);
        const service = route === undefined ? undefined : table.pickService(route);
        if (route === undefined || service === undefined) {
            options.recordRequest("no-route", scheduler.now() - request.receivedAtMs);
            return reject(id, 404, "no route", { host, url: request.url, configuration: table.version });
        }
        const routed = { request, id, patienceMs, route, service, configurationVersion: table.version };
        const answer = await runRoute(routed);
        const latencyMs = scheduler.now() - request.receivedAtMs;
        logEnd(routed, answer, latencyMs);
        options.recordRequest(answer.kind === "target" ? "served" : answer.kind, latencyMs);
        return formatFinal(id, answer);
    };

    return {
        handle,
        formatRefusal: (headers, statusCode, reason) => reject(dialect.readRequest(headers).id, statusCode, reason),
    };
};

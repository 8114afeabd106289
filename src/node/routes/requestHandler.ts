/**
 * From a client's request to its answer: route, service, deadline, exchange.
 */
import * as fingerprints from "../../common/crashes/fingerprint.js";
import * as routeTable from "../../common/routes/routeTable.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as exchange from "./exchange.js";
import * as frontServer from "./frontServer.js";
import * as types from "./Types.js";

const retryAfterHeader = "Retry-After";

export interface RequestHandlerOptions {
    readonly dialect: types.HttpDialect;
    readonly exchange: exchange.ExchangeOptions;
    getTable(): routeTable.RouteTable | undefined;
    /** Called once for each request that was routed or found no route. */
    recordAnswer(answer: RequestOutcome): void;
}

/** What the metrics count. */
export interface RequestOutcome {
    readonly kind: exchange.FinalAnswer["kind"] | "not-found";
    readonly latencyMs: number;
}

export interface RequestHandler {
    handle(request: frontServer.ClientRequest): Promise<frontServer.ClientAnswer | undefined>;
    formatRefusal(headers: types.RawHeaders, statusCode: number, reason: string): frontServer.ClientAnswer;
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

    const runRoute = async (
        request: frontServer.ClientRequest,
        head: types.RequestHead & { readonly id: string },
        route: routes.Route,
        service: shared.ServiceName,
    ): Promise<exchange.FinalAnswer> => {
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
            logger.warn("exchange: refused, crashes targets", { request: head.id, route: route.name });
            return { kind: "failed", reason: "request crashes targets", statusCode: 502 };
        }
        const allowedMs = Math.min(route.timeoutMs, head.patienceMs ?? Infinity);
        return exchange.runExchange(options.exchange, {
            outgoing: { id: head.id, method, url, headers, body },
            route,
            service,
            deadlineAtMs: request.receivedAtMs + allowedMs,
            fingerprint,
            signal,
        });
    };

    const handle = async (request: frontServer.ClientRequest): Promise<frontServer.ClientAnswer | undefined> => {
        const head = dialect.readRequest(request.headers);
        const table = options.getTable();
        if (table === undefined) {
            return formatOwn(head.id, 503, "no configuration yet", 500);
        }
        if (head.id === undefined) {
            return formatOwn(undefined, 400, "no request id");
        }
        const route = table.find(stripPort(head.host), splitUrl(request.url).path);
        const service = route === undefined ? undefined : table.pickService(route);
        if (route === undefined || service === undefined) {
            logger.info("exchange: no route", { request: head.id, host: head.host, url: request.url });
            options.recordAnswer({ kind: "not-found", latencyMs: scheduler.now() - request.receivedAtMs });
            return formatOwn(head.id, 404, "no route");
        }
        const answer = await runRoute(request, { ...head, id: head.id }, route, service);
        const latencyMs = scheduler.now() - request.receivedAtMs;
        if (answer.kind !== "target") {
            const reason = answer.kind === "abandoned" ? "client left" : answer.reason;
            logger.warn("exchange: not served", { request: head.id, kind: answer.kind, reason, latencyMs });
        }
        options.recordAnswer({ kind: answer.kind, latencyMs });
        return formatFinal(head.id, answer);
    };

    return {
        handle,
        formatRefusal: (headers, statusCode, reason) =>
            formatOwn(dialect.readRequest(headers).id, statusCode, reason, statusCode === 503 ? 500 : undefined),
    };
};

/**
 * An HTTP server on `moleculer-web`, with answers to what `node:http` refuses by itself.
 */
import * as http from "node:http";
import type * as net from "node:net";
import type * as moleculer from "moleculer";
import * as moleculerWeb from "moleculer-web";
import * as ids from "../../common/ids.js";
import * as errorTable from "../../common/errors/errorTable.js";
import * as errorKinds from "../../common/errors/Types.js";
import * as shared from "../../common/Types.js";

/** Handles all requests whose path begins with a prefix. */
export interface GatewayRoute {
    /** First segment of the path, as in `call`. */
    readonly segment: string;
    handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
}

export interface GatewayOptions {
    /** Name of the service within the broker. */
    readonly name: string;
    readonly address: shared.Address;
    readonly routes: readonly GatewayRoute[];
    /** Whether answers carry a `Date` header. */
    readonly sendDate: boolean;
    readonly logger: shared.Logger;
}

const maxHeaderBytes = 16 * 1024;
/** A client that has not sent its whole head by then is cut off. */
const headersTimeoutMs = 10_000;
const keepAliveTimeoutMs = 30_000;

const writeError = (socket: net.Socket, kind: errorKinds.ErrorKind, message: string): void => {
    const rule = errorTable.errorTable[kind];
    const body = `${JSON.stringify({ kind, outcome: rule.outcome, message, advice: rule.advice })}\n`;
    socket.end(
        `HTTP/1.1 ${rule.status} ${http.STATUS_CODES[rule.status] ?? "Error"}\r\n` +
            `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n` +
            `Tarragon-Outcome: ${rule.outcome}\r\nTarragon-Error: ${kind}\r\nConnection: close\r\n\r\n${body}`,
    );
};

/** Answers a request whose head cannot be parsed; the call has not been handled, so it has not run. */
const handleClientError = (error: Error & { code?: string }, socket: net.Socket): void => {
    if (error.code === "ECONNRESET" || !socket.writable) {
        socket.destroy();
        return;
    }
    if (socket.bytesWritten > 0) {
        // An answer may be under way on this connection, so nothing can be written between its bytes.
        socket.destroy();
        return;
    }
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            writeError(socket, "header_too_large", `the header has more than ${maxHeaderBytes} bytes`);
            return;
        case "ERR_HTTP_REQUEST_TIMEOUT":
            writeError(socket, "bad_request", `the header was not complete after ${headersTimeoutMs} ms`);
            return;
        default:
            writeError(socket, "bad_request", `the request is not valid HTTP/1.1 (${error.code ?? error.message})`);
    }
};

const createServer = (sendDate: boolean, listener: http.RequestListener): http.Server => {
    const server = http.createServer(
        { maxHeaderSize: maxHeaderBytes, requireHostHeader: true, keepAliveTimeout: keepAliveTimeoutMs },
        (request, response) => {
            response.sendDate = sendDate;
            listener(request, response);
        },
    );
    server.headersTimeout = headersTimeoutMs;
    // The deadline of a call limits its body.
    server.requestTimeout = 0;
    server.on("clientError", handleClientError);
    return server;
};

interface GatewayService {
    server?: http.Server;
    httpHandler: http.RequestListener;
}

/** A gateway as `node:http` sees it. */
export interface Gateway {
    readonly schema: moleculer.ServiceSchema;
    /** Rejects if the port cannot be opened; `moleculer-web` only logs that, and its start never ends. */
    readonly failure: Promise<never>;
    /** Stops accepting connections and closes idle ones; resolves when the last connection is closed. */
    closeListener(): Promise<void>;
    /** Closes all connections, those of requests in flight included. */
    closeConnections(): void;
}

/**
 * Creates the schema of a gateway service.
 *
 * @param options - name, address and routes
 * @returns the schema for `broker.createService`, and the listener's end
 */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { host, port } = ids.splitAddress(options.address);
    let server: http.Server | undefined;
    let rejectFailure: (error: Error) => void;
    const failure = new Promise<never>((_resolve, reject) => (rejectFailure = reject));
    // Without a listener, a failure after the start would end the process.
    failure.catch(() => undefined);

    const createAlias =
        (route: GatewayRoute) =>
        (request: http.IncomingMessage, response: http.ServerResponse): void => {
            request.url =
                (request as http.IncomingMessage & { originalUrl?: string }).originalUrl ?? request.url ?? "/";
            route.handle(request, response).catch((error: unknown) => {
                options.logger.error("front: a request failed", { cause: String(error) });
                response.destroy();
            });
        };

    const aliases = Object.fromEntries(options.routes.map(route => [`/${route.segment}/:rest*`, createAlias(route)]));
    const schema = {
        name: options.name,
        mixins: [moleculerWeb.default],
        settings: {
            ip: host,
            port,
            log4XXResponses: false,
            logRequest: null,
            logResponse: null,
            routes: [{ path: "/", aliases, mappingPolicy: "restrict", bodyParsers: false, mergeParams: false }],
            onError: (_request: http.IncomingMessage, response: http.ServerResponse) => {
                const paths = options.routes.map(route => `/${route.segment}/`).join(", ");
                const message = `no such path; the paths are ${paths}`;
                response.writeHead(404, { "content-type": "application/json", "tarragon-outcome": "not-run" });
                response.end(`${JSON.stringify({ kind: "bad_request", outcome: "not-run", message })}\n`);
            },
        },
        methods: {
            createServer(this: GatewayService): void {
                server = createServer(options.sendDate, (request, response) => this.httpHandler(request, response));
                server.on("error", error => rejectFailure(error));
                this.server = server;
            },
        },
    } as unknown as moleculer.ServiceSchema;

    const closeListener = (): Promise<void> =>
        new Promise(resolve => {
            if (server === undefined || !server.listening) {
                resolve();
                return;
            }
            server.close(() => resolve());
            server.closeIdleConnections();
        });

    return { schema, failure, closeListener, closeConnections: () => server?.closeAllConnections() };
};

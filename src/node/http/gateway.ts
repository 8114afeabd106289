/**
 * An HTTP server based on `moleculer-web`, with error responses for requests that `node:http` itself rejects.
 */
import * as http from "node:http";
import type * as net from "node:net";
import type * as moleculer from "moleculer";
import * as moleculerWeb from "moleculer-web";
import * as ids from "../../common/ids.js";
import * as errorTable from "../../common/errors/errorTable.js";
import * as errorKinds from "../../common/errors/Types.js";
import * as shared from "../../common/Types.js";

/** Handles all requests whose path begins with a given segment. */
export interface GatewayRoute {
    /** First segment of the path, for example `call`. */
    readonly segment: string;
    handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void>;
}

export interface GatewayOptions {
    /** Name of the service within the broker. */
    readonly name: string;
    readonly address: shared.Address;
    readonly routes: readonly GatewayRoute[];
    /** Whether responses have a `Date` header. */
    readonly sendDate: boolean;
    readonly logger: shared.Logger;
}

const maxHeaderBytes = 16 * 1024;
/** A client that has not sent the complete header section by then is disconnected. */
const headersTimeoutMs = 10_000;
const keepAliveTimeoutMs = 30_000;

/** A connection of a client, on which several requests may be in progress (pipelining). */
interface Connection {
    unanswered: number;
    newest: http.IncomingMessage;
    /** Set once bytes behind the newest request cannot be read; the connection closes after the last response. */
    isUnreadable: boolean;
}

const writeError = (socket: net.Socket, kind: errorKinds.ErrorKind, message: string): void => {
    const rule = errorTable.errorTable[kind];
    const body = `${JSON.stringify({ kind, outcome: rule.outcome, message, advice: rule.advice })}\n`;
    socket.end(
        `HTTP/1.1 ${rule.status} ${http.STATUS_CODES[rule.status] ?? "Error"}\r\n` +
            `Content-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n` +
            `Tarragon-Outcome: ${rule.outcome}\r\nTarragon-Error: ${kind}\r\nConnection: close\r\n\r\n${body}`,
    );
};

/** Responds to a request whose header section cannot be parsed; no handler was called, so the call has not run. */
const refuseUnreadable = (error: Error & { code?: string }, socket: net.Socket): void => {
    if (error.code === "ECONNRESET" || !socket.writable) {
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
    const connections = new WeakMap<net.Socket, Connection>();
    const server = http.createServer(
        { maxHeaderSize: maxHeaderBytes, requireHostHeader: true, keepAliveTimeout: keepAliveTimeoutMs },
        (request, response) => {
            response.sendDate = sendDate;
            const { socket } = request;
            const connection = connections.get(socket) ?? { unanswered: 0, newest: request, isUnreadable: false };
            connections.set(socket, connection);
            connection.unanswered++;
            connection.newest = request;
            response.once("close", () => {
                connection.unanswered--;
                if (connection.isUnreadable && connection.unanswered === 0) {
                    socket.destroySoon();
                }
            });
            listener(request, response);
        },
    );
    server.headersTimeout = headersTimeoutMs;
    // The deadline of a call also limits the time for receiving its body.
    server.requestTimeout = 0;
    server.on("clientError", (error: Error & { code?: string }, socket: net.Socket) => {
        const connection = connections.get(socket);
        if (connection === undefined || connection.unanswered === 0) {
            refuseUnreadable(error, socket);
        } else if (connection.newest.complete && socket.writable) {
            connection.isUnreadable = true;
        } else {
            // Part of the body may have been sent to a target, so that no outcome can be stated.
            socket.destroy();
        }
    });
    return server;
};

interface GatewayService {
    server?: http.Server;
    httpHandler: http.RequestListener;
}

/** The broker's service schema of a gateway, and control of its HTTP server. */
export interface Gateway {
    readonly schema: moleculer.ServiceSchema;
    /** Rejects if the port cannot be opened; `moleculer-web` only logs the error, and its start never completes. */
    readonly failure: Promise<never>;
    /** Stops accepting connections and closes idle ones; resolves when the last connection is closed. */
    closeListener(): Promise<void>;
    /** Closes all connections, including those with requests in flight. */
    closeConnections(): void;
}

/**
 * Creates a gateway service.
 *
 * @param options - name, address and routes
 * @returns the gateway, with the schema for `broker.createService`
 */
export const createGateway = (options: GatewayOptions): Gateway => {
    const { host, port } = ids.splitAddress(options.address);
    let server: http.Server | undefined;
    let rejectFailure: (error: Error) => void;
    const failure = new Promise<never>((_resolve, reject) => (rejectFailure = reject));
    // Without a rejection handler, an error after the start would end the process.
    failure.catch(() => undefined);

    const createAlias =
        (route: GatewayRoute) =>
        (request: http.IncomingMessage, response: http.ServerResponse): void => {
            request.url =
                (request as http.IncomingMessage & { originalUrl?: string }).originalUrl ?? request.url ?? "/";
            route.handle(request, response).catch((error: unknown) => {
                options.logger.error("front: a request handler failed", { cause: String(error) });
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

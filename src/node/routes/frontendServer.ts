/**
 * The HTTP server for clients.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as stream from "node:stream";
import * as ids from "../../common/ids.js";
import * as bodyBudget from "../../common/routes/bodyBudget.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as bodyRefusals from "./bodyRefusals.js";
import * as clientClosing from "./clientClosing.js";
import * as clientConnection from "./clientConnection.js";
import * as clientReading from "./clientReading.js";
import * as clientResponses from "./clientResponses.js";
import * as drainControl from "./drainControl.js";
import * as headSyntax from "./headSyntax.js";
import * as readControl from "./readControl.js";
import * as requestBody from "./requestBody.js";
import * as types from "./Types.js";
import * as unreadableRequests from "./unreadableRequests.js";

/** Header size limit of the parser before there is a configuration. */
const initialMaxHeaderBytes = 128 * 1024;
/** The parser stops at this multiple of the configured limit; up to there, the refusal names the request. */
const parserHeaderFactor = 2;
/** Added to the configured timeouts, so that an idle connection is not closed while a request is on its way. */
const timeoutMarginMs = 1_000;
const defaultIdleTimeoutMs = 60_000;

export interface ClientRequest extends clientConnection.ReceivedHead {
    readonly method: string;
    readonly body: Buffer;
    /** Aborted when the client disconnects. */
    readonly signal: AbortSignal;
}

export interface ClientResponse {
    readonly statusCode: number;
    readonly headers: types.RawHeaders;
    readonly body: types.ResponseBody;
    /** False if the end of the connection delimits the body, as it did at the target. */
    readonly isDelimited: boolean;
}

export interface FrontendServer extends shared.Disposable {
    listen(): Promise<void>;
    /** From now on, each connection closes after the response to the last request that has begun on it. */
    startDraining(): void;
    /** Refuses the requests that are still being received and may no longer begin. */
    refuseLate(): void;
    /** Stops accepting connections and requests, and closes the connections without a request in progress. */
    closeIdle(): void;
    countConnections(): number;
    /** Records the requests in progress, which end with the process. */
    recordCutOff(): void;
}

export interface FrontendOptions {
    readonly address: shared.Address;
    readonly scheduler: shared.Scheduler;
    /** Of the bodies of all connections. */
    readonly budget: bodyBudget.BodyBudget;
    /** Connections that may be open at the same time. */
    readonly maxConnections: number;
    getLimits(): routes.RequestLimits | undefined;
    handle(request: ClientRequest): Promise<ClientResponse | undefined>;
    /** Whether a request may begin while the VM drains. */
    mayBegin(head: clientConnection.ReceivedHead, phase: drainControl.DrainPhase): boolean;
    /** Formats the response to a request that is not handled, or whose handling has failed. */
    formatRefusal(headers: types.RawHeaders, statusCode: number, reason: string): ClientResponse;
    /** Called with an error that no other handler expects; it ends the request. */
    recordError(error: unknown): void;
    recordUnreadable(request: unreadableRequests.UnreadableRequest): void;
    watchSocket?(socket: net.Socket): void;
    /** Called for each body that is not read to its end, with the status that says so to the client. */
    recordRefusedBody(refusal: bodyRefusals.RefusedBody): void;
    /** Called when a connection is closed because there are too many. */
    recordExcessConnection(): void;
    /** Called when a connection that has been closed here ends without its client closing it. */
    recordUnclosed(reason: clientClosing.UnclosedReason): void;
    /** Called for each request that ends with the process. */
    recordCutOff(cutOff: {
        readonly headers: types.RawHeaders;
        readonly phase: drainControl.CutOffPhase;
        readonly ageMs: number;
    }): void;
}

/**
 * Creates the server.
 *
 * @param options - address, limits and request handler
 * @returns the server, not listening yet
 */
export const createFrontendServer = (options: FrontendOptions): FrontendServer => {
    const { scheduler } = options;
    const openConnections = new Map<stream.Duplex, clientConnection.ClientConnection>();
    const readTurns = readControl.createReadTurns();
    const bodyStore = requestBody.createBodyStore(options.budget);
    let isDraining = false;
    let isAccepting = true;

    /** Decides whether a connection closes after a response. While draining, requests that have begun are completed first. */
    const decideClose = (request: http.IncomingMessage, response: ClientResponse, mustClose: boolean): boolean => {
        const connection = openConnections.get(request.socket);
        const isLast = connection?.newestRequest === request;
        const closes =
            mustClose || !response.isDelimited || ((isDraining || connection?.isUnreadable === true) && isLast);
        if (closes && connection !== undefined) {
            connection.isClosing = true;
        }
        return closes;
    };

    const sendResponse = async (
        { request, abort }: clientConnection.ActiveRequest,
        serverResponse: http.ServerResponse,
        response: ClientResponse,
        mustClose: boolean,
    ): Promise<void> => {
        await clientResponses.sendResponse(serverResponse, response, {
            signal: abort.signal,
            decideClose: () => decideClose(request, response, mustClose),
        });
        openConnections.get(request.socket)?.closing.recordResponse();
    };

    /** Ends a request after an unexpected error. The status does not promise that it has not run. */
    const failRequest = async (
        active: clientConnection.ActiveRequest,
        serverResponse: http.ServerResponse,
        error: unknown,
    ): Promise<void> => {
        const { request } = active;
        options.recordError(error);
        if (serverResponse.headersSent) {
            request.socket.resetAndDestroy();
            return;
        }
        try {
            const response = options.formatRefusal(request.rawHeaders, 500, "internal error");
            await sendResponse(active, serverResponse, response, true);
        } catch {
            request.socket.resetAndDestroy();
        }
    };

    const handleRequest = async (
        request: http.IncomingMessage,
        serverResponse: http.ServerResponse,
        isBodyHeldBack: boolean,
    ): Promise<void> => {
        const receivedAtMs = scheduler.now();
        const connection = openConnections.get(request.socket);
        if (connection === undefined || connection.isClosing) {
            return;
        }
        const active: clientConnection.ActiveRequest = {
            request,
            receivedAtMs,
            abort: new AbortController(),
            phase: "body",
            bodyReader: undefined,
        };
        connection.activeRequests.add(active);
        connection.newestRequest = request;
        const index = ++connection.requests;
        const limits = options.getLimits();
        const fail = (statusCode: number, reason: string): Promise<void> => {
            active.phase = "response";
            const response = options.formatRefusal(request.rawHeaders, statusCode, reason);
            return sendResponse(active, serverResponse, response, true);
        };
        try {
            const fault = headSyntax.checkHead(request, limits?.maxHeaderBytes ?? Infinity);
            if (fault !== undefined) {
                await fail(fault.statusCode, fault.reason);
                return;
            }
            // The rest of the grace period belongs to the requests that began before.
            if (!isAccepting || (isDraining && !options.mayBegin(clientConnection.toHead(active), "head"))) {
                await fail(503, drainControl.refusalReason);
                return;
            }
            const bodyReader = requestBody.startReading(request, {
                maxBytes: limits?.maxBodyBytes ?? Infinity,
                store: bodyStore,
                reading: connection.reading,
                handleUnwanted: () => {
                    connection.isClosing = true;
                    connection.refusedRequest = Math.min(connection.refusedRequest, index);
                    connection.reading.startDiscarding();
                },
            });
            active.bodyReader = bodyReader;
            connection.bodyReader = bodyReader;
            if (isBodyHeldBack && index < connection.refusedRequest) {
                serverResponse.writeContinue();
            }
            const body = await bodyReader.result;
            active.phase = "handling";
            if (body.kind !== "whole") {
                const refusal = bodyRefusals.toRefusedBody(body);
                options.recordRefusedBody(refusal);
                await fail(refusal.statusCode, refusal.reason);
                return;
            }
            await clientReading.waitForPendingReads(connection.reading);
            if (index > connection.refusedRequest) {
                return;
            }
            const response = await options.handle({
                ...clientConnection.toHead(active),
                method: request.method ?? "GET",
                body: body.body,
                signal: active.abort.signal,
            });
            active.phase = "response";
            if (response !== undefined) {
                await sendResponse(active, serverResponse, response, false);
            }
        } catch (error) {
            await failRequest(active, serverResponse, error);
        } finally {
            active.bodyReader?.release();
            connection.activeRequests.delete(active);
            if (connection.isUnreadable && connection.activeRequests.size === 0) {
                connection.closing.finish();
            }
        }
    };

    /**
     * Handles bytes that cannot be read as a request, or that came too late for one. A response to them at once would be
     * taken for that of a request before them, which may run.
     */
    const handleClientError = (error: NodeJS.ErrnoException, socket: stream.Duplex): void => {
        const connection = openConnections.get(socket);
        if (connection === undefined || unreadableRequests.hasClientLeft(error)) {
            socket.destroy();
            return;
        }
        if (connection.isUnreadable || connection.isClosing) {
            return;
        }
        connection.isUnreadable = true;
        const unreadable = unreadableRequests.toUnreadableRequest(error, connection.activeRequests.size);
        options.recordUnreadable(unreadable);
        if (connection.activeRequests.size > 0) {
            connection.reading.startDiscarding();
            if (connection.newestRequest?.complete !== true) {
                connection.bodyReader?.abortMalformed();
            }
            return;
        }
        const { statusCode, reason } = unreadable;
        const refusal = unreadableRequests.formatRefusal(options.formatRefusal([], statusCode, reason));
        socket.write(refusal);
        connection.closing.finish();
    };

    const beginRequest = (request: http.IncomingMessage, serverResponse: http.ServerResponse): void =>
        void handleRequest(request, serverResponse, false);

    const server = http.createServer(
        {
            requireHostHeader: false,
            maxHeaderSize: initialMaxHeaderBytes,
            keepAliveTimeout: defaultIdleTimeoutMs,
            noDelay: true,
        },
        beginRequest,
    );
    server.requestTimeout = 0;
    server.on("clientError", handleClientError);
    // An idle connection; without a listener the server would destroy it.
    server.on("timeout", (socket: net.Socket) => openConnections.get(socket)?.closing.closeIdle());
    // Without a listener the server would ask for the body at once.
    server.on("checkContinue", (request, serverResponse) => void handleRequest(request, serverResponse, true));
    // Expectations other than 100-continue are ignored; without a listener the server would respond with 417.
    server.on("checkExpectation", beginRequest);
    // Without a listener the server would close the connection.
    server.on("connect", (_request, socket) => {
        // The HTTP server has released its parser.
        openConnections.get(socket)?.reading.startDiscarding();
        const error = Object.assign(new Error("no tunnels"), { code: "ERR_HTTP_METHOD" });
        handleClientError(error, socket);
    });
    server.on("connection", socket => {
        options.watchSocket?.(socket);
        const connection = clientConnection.createClientConnection(socket, { ...options, readTurns });
        const { activeRequests } = connection;
        if (openConnections.size >= options.maxConnections) {
            (clientConnection.pickExcessConnection(openConnections) ?? socket).destroy();
            options.recordExcessConnection();
        }
        openConnections.set(socket, connection);
        const limits = options.getLimits();
        if (limits !== undefined) {
            server.keepAliveTimeout = limits.idleTimeoutMs + timeoutMarginMs;
            (server as { maxHeaderSize?: number }).maxHeaderSize = limits.maxHeaderBytes * parserHeaderFactor;
            server.headersTimeout = limits.headerTimeoutMs + timeoutMarginMs;
        }
        // A client that half-closes its connection counts as disconnected, too.
        socket.once("end", () => activeRequests.forEach(({ abort }) => abort.abort()));
        socket.once("close", () => {
            openConnections.delete(socket);
            activeRequests.forEach(({ abort }) => abort.abort());
        });
    });

    return {
        listen: () =>
            new Promise((resolve, reject) => {
                const { host, port } = ids.splitAddress(options.address);
                server.once("error", reject);
                server.listen({ host, port, backlog: 1024 }, resolve);
            }),
        startDraining: () => {
            isDraining = true;
        },
        refuseLate: () => clientConnection.refuseLate(openConnections, options),
        closeIdle: () => {
            isAccepting = false;
            // `http.Server.close` would also destroy connections whose last response has not been flushed yet.
            net.Server.prototype.close.call(server);
            for (const { activeRequests, closing } of openConnections.values()) {
                if (activeRequests.size === 0) {
                    closing.closeIdle();
                }
            }
        },
        countConnections: () => openConnections.size,
        recordCutOff: () => clientConnection.recordCutOff(openConnections, scheduler, options),
        dispose: () => {
            bodyStore.dispose();
            server.close();
            server.closeAllConnections();
        },
    };
};

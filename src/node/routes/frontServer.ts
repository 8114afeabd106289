/**
 * The HTTP server that clients connect to.
 */
import * as http from "node:http";
import * as stream from "node:stream";
import * as timers from "node:timers/promises";
import * as ids from "../../common/ids.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/** Largest header that the parser takes; the configured limit is smaller and may change. */
const parserHeaderBytes = 128 * 1024;
/** Added to the configured idle time, so that a request does not cross the close of an idle connection. */
const idleExtraMs = 1_000;
const defaultIdleMs = 60_000;
/** `: ` behind a name, and the line break behind a value. */
const separatorBytes = 2;

export interface ClientRequest {
    readonly method: string;
    /** Path and query. */
    readonly url: string;
    readonly headers: types.RawHeaders;
    readonly body: Buffer;
    readonly receivedAtMs: number;
    /** Aborted when the client has left. */
    readonly signal: AbortSignal;
}

export interface ClientAnswer {
    readonly statusCode: number;
    readonly headers: types.RawHeaders;
    readonly body: Buffer;
    /** False if the body is to end with the connection, as it did at the target. */
    readonly isDelimited: boolean;
}

export interface FrontServer extends shared.Disposable {
    listen(): Promise<void>;
    /** Asks clients to leave: each further answer closes its connection. */
    startLeaving(): void;
    /** Closes the connections that wait for no answer and opens no more. */
    closeIdle(): void;
    countConnections(): number;
}

export interface FrontOptions {
    readonly address: shared.Address;
    readonly clock: shared.Clock;
    getLimits(): routes.RequestLimits | undefined;
    handle(request: ClientRequest): Promise<ClientAnswer | undefined>;
    /** Answers a request that breaks a limit. */
    formatRefusal(headers: types.RawHeaders, statusCode: number, reason: string): ClientAnswer;
}

type BodyResult = { readonly kind: "whole"; readonly body: Buffer } | { readonly kind: "too-large" | "aborted" };

const readBody = async (request: http.IncomingMessage, maxBytes: number): Promise<BodyResult> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of request) {
            bytes += (chunk as Buffer).length;
            if (bytes > maxBytes) {
                return { kind: "too-large" };
            }
            chunks.push(chunk as Buffer);
        }
    } catch {
        // The client left in the middle of its request; there is nobody to tell.
        return { kind: "aborted" };
    }
    return request.complete ? { kind: "whole", body: Buffer.concat(chunks) } : { kind: "aborted" };
};

/**
 * Lets the event loop read what has arrived already. In a process that is short of time, a client's request and its close
 * wait in the socket together; the request must not be sent on before the close is seen. The loop reads a connection again
 * only in its next turn, hence two of them.
 */
const waitForPendingReads = async (): Promise<void> => {
    await timers.setImmediate();
    await timers.setImmediate();
};

const countHeaderBytes = (headers: types.RawHeaders): number =>
    headers.reduce((sum, text) => sum + text.length + separatorBytes, 0);

/**
 * Creates the server.
 *
 * @param options - address, limits and the handler of requests
 * @returns the server; it does not listen yet
 */
export const createFrontServer = (options: FrontOptions): FrontServer => {
    const { clock } = options;
    const open = new Map<stream.Duplex, Set<AbortController>>();
    let isLeaving = false;

    const sendAnswer = (response: http.ServerResponse, answer: ClientAnswer, closes: boolean): void => {
        if (response.destroyed || response.headersSent) {
            return;
        }
        const headers = [...answer.headers];
        if (answer.isDelimited) {
            headers.push("Content-Length", String(answer.body.length));
        } else {
            response.useChunkedEncodingByDefault = false;
        }
        if (closes || isLeaving || !answer.isDelimited) {
            headers.push("Connection", "close");
        }
        response.writeHead(answer.statusCode, headers);
        response.end(answer.body);
    };

    const handleRequest = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const receivedAtMs = clock.now();
        const left = new AbortController();
        const active = open.get(request.socket);
        active?.add(left);
        const limits = options.getLimits();
        const fail = (statusCode: number, reason: string): void =>
            sendAnswer(response, options.formatRefusal(request.rawHeaders, statusCode, reason), true);
        try {
            if (limits !== undefined && countHeaderBytes(request.rawHeaders) > limits.maxHeaderBytes) {
                fail(431, "header too large");
                return;
            }
            const body = await readBody(request, limits?.maxBodyBytes ?? Infinity);
            if (body.kind !== "whole") {
                fail(body.kind === "too-large" ? 413 : 400, body.kind);
                return;
            }
            await waitForPendingReads();
            const answer = await options.handle({
                method: request.method ?? "GET",
                url: request.url ?? "/",
                headers: request.rawHeaders,
                body: body.body,
                receivedAtMs,
                signal: left.signal,
            });
            if (answer !== undefined) {
                sendAnswer(response, answer, false);
            }
        } finally {
            active?.delete(left);
        }
    };

    const server = http.createServer(
        { maxHeaderSize: parserHeaderBytes, keepAliveTimeout: defaultIdleMs, noDelay: true },
        (request, response) => void handleRequest(request, response),
    );
    server.requestTimeout = 0;
    server.on("connection", socket => {
        const active = new Set<AbortController>();
        open.set(socket, active);
        const limits = options.getLimits();
        if (limits !== undefined) {
            server.keepAliveTimeout = limits.idleTimeoutMs + idleExtraMs;
            server.headersTimeout = limits.headerTimeoutMs + idleExtraMs;
        }
        // A client that has sent its requests and closed its side has left as well.
        socket.once("end", () => active.forEach(left => left.abort()));
        socket.once("close", () => {
            open.delete(socket);
            active.forEach(left => left.abort());
        });
    });

    return {
        listen: () =>
            new Promise((resolve, reject) => {
                const { host, port } = ids.splitAddress(options.address);
                server.once("error", reject);
                server.listen({ host, port, backlog: 1024 }, resolve);
            }),
        startLeaving: () => {
            isLeaving = true;
        },
        closeIdle: () => {
            server.close();
            for (const [socket, active] of open) {
                if (active.size === 0) {
                    socket.destroy();
                }
            }
        },
        countConnections: () => open.size,
        dispose: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

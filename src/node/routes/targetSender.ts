/**
 * Sends attempts of requests, and probes, to targets.
 */
import * as callers from "../../common/routes/callers.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as connectionInfo from "./connectionInfo.js";
import * as connectionPool from "./connectionPool.js";
import * as notRun from "./notRun.js";
import * as targetConnection from "./targetConnection.js";
import * as types from "./Types.js";

/** A non-idempotent request uses a connection that was idle for at most this time, or a new one. */
const maxNonIdempotentIdleMs = 2_000;
/** Status with which a target rejects a request that was meant for another one. */
export const misdirectedStatus = 421;
/** Status with which a target of another service, which has another health path, rejects a probe, as that has no id. */
const withoutIdStatus = 400;

export interface OutgoingRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query as sent by the client. */
    readonly url: string;
    readonly headers: types.RawHeaders;
    readonly body: Buffer;
    /** Undefined if the caller needs no key. */
    readonly caller?: callers.Caller | undefined;
}

export type AttemptResult =
    | { readonly kind: "response"; readonly response: targetConnection.TargetResponse }
    /**
     * No connection could be opened, or the other VM has not asked for the body, as it is frozen or leaves, so that the request
     * cannot have run.
     */
    | { readonly kind: "unreachable" }
    /** Nothing was sent, as the attempt was aborted before its connection was open. */
    | { readonly kind: "withdrawn" }
    /** The request may have run. */
    | { readonly kind: "broken"; readonly reason: string; readonly connection: connectionInfo.ConnectionInfo };

export interface Attempt {
    readonly result: Promise<AttemptResult>;
    /** Whether the request has been sent, so that it may have run. */
    isSent(): boolean;
    /** Aborts the attempt and closes its connection, so that the target drops the request. */
    abort(): void;
    /** Aborts the attempt unless its request was already sent. */
    abortIfUnsent(): void;
}

export interface AttemptOptions {
    readonly registration: routes.Registration;
    readonly request: OutgoingRequest;
    /** Time that the target has left for the request, in milliseconds. */
    getRemainingMs(): number;
    readonly isIdempotent: boolean;
}

export interface RelayOptions extends Omit<AttemptOptions, "registration"> {
    /** Address for clients of the other VM. */
    readonly address: shared.Address;
    readonly maxTargets: number;
    /** Version of the configuration by which the request was routed. */
    readonly configurationVersion: number;
    /** Time that the other VM has to ask for the body, in milliseconds. */
    readonly takeTimeoutMs: number;
}

export interface Probe {
    readonly registration: routes.Registration;
    readonly path: string;
    readonly timeoutMs: number;
    readonly onNewConnection: boolean;
}

export type ProbeResult =
    | { readonly kind: "response"; readonly head: types.ResponseHead }
    /** No connection could be opened. */
    | { readonly kind: "unreachable" }
    /** No response in time, or the connection broke. */
    | { readonly kind: "silent" };

export interface TargetSender {
    start(options: AttemptOptions): Attempt;
    /** Passes a request on to another VM. */
    startRelayed(options: RelayOptions): Attempt;
    /** Asks a target for its health and load. */
    sendProbe(probe: Probe): Promise<ProbeResult>;
}

/** Escapes nothing: URLs and headers contain no line breaks, as the parsers for clients and targets reject them. */
const formatHead = (method: string, url: string, headers: readonly string[]): Buffer => {
    let text = `${method} ${url} HTTP/1.1\r\n`;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        text += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    return Buffer.from(`${text}\r\n`, "latin1");
};

type FormattedRequest = Pick<targetConnection.ConnectionRequest, "bytes">;

interface HeldRequest extends FormattedRequest {
    readonly heldBytes: readonly Uint8Array[];
}

const hasBody = (method: string, body: Buffer): boolean =>
    body.length > 0 || !/^(GET|HEAD|DELETE|OPTIONS|TRACE)$/.test(method);

/**
 * Creates the sender.
 *
 * @param options - connection pool, HTTP dialect and clock
 * @returns the sender
 */
export const createTargetSender = (options: {
    readonly pool: connectionPool.ConnectionPool;
    readonly dialect: types.HttpDialect;
    readonly scheduler: shared.Scheduler;
    /**
     * Called with the head of each response of a target, also to probes and if the response breaks off later.
     *
     * @param registration - the target
     * @param head - the head
     * @param sentAtMs - when the request was sent
     */
    handleHead(registration: routes.Registration, head: types.ResponseHead, sentAtMs: number): void;
}): TargetSender => {
    const { pool, dialect, scheduler } = options;

    const computeRemainingMs = ({ getRemainingMs }: Pick<AttemptOptions, "getRemainingMs">): number =>
        Math.max(1, Math.floor(getRemainingMs()));

    const formatRequest = (request: OutgoingRequest, formattedHeaders: readonly string[]): FormattedRequest => {
        const headers = [...formattedHeaders];
        if (hasBody(request.method, request.body)) {
            headers.push("Content-Length", String(request.body.length));
        }
        const head = formatHead(request.method, request.url, headers);
        return { bytes: request.body.length > 0 ? [head, request.body] : [head] };
    };

    /** A chunked body has bytes that can be held back even if it is empty: the last chunk. */
    const formatHeldRequest = (request: OutgoingRequest, formattedHeaders: readonly string[]): HeldRequest => {
        const { method, url, body } = request;
        const headers = [...formattedHeaders, "Expect", "100-continue", "Transfer-Encoding", "chunked"];
        const size = Buffer.from(`${body.length.toString(16)}\r\n`);
        const end = Buffer.from("0\r\n\r\n");
        return {
            bytes: [formatHead(method, url, headers)],
            heldBytes: body.length > 0 ? [size, body, Buffer.from("\r\n"), end] : [end],
        };
    };

    const sendToTarget = (
        connection: targetConnection.TargetConnection,
        registration: routes.Registration,
        request: targetConnection.ConnectionRequest,
    ): Promise<targetConnection.SendResult> => {
        const sentAtMs = scheduler.now();
        return connection.send({
            ...request,
            handleHead: (statusCode, head) => {
                // Another target at the address says nothing about this one.
                const isOther =
                    statusCode === misdirectedStatus ||
                    (request.id === undefined && statusCode === withoutIdStatus) ||
                    (head.target !== undefined && head.target !== registration.id);
                if (!isOther) {
                    options.handleHead(registration, head, sentAtMs);
                }
            },
        });
    };

    const startRequest = (attempt: {
        readonly address: shared.Address;
        readonly request: OutgoingRequest;
        readonly isIdempotent: boolean;
        send(
            connection: targetConnection.TargetConnection,
            request: Pick<targetConnection.ConnectionRequest, "id" | "method">,
        ): Promise<AttemptResult>;
    }): Attempt => {
        const { address } = attempt;
        let connection: targetConnection.TargetConnection | undefined;
        let isAborted = false;
        let isSent = false;

        const run = async (): Promise<AttemptResult> => {
            connection = await pool.acquire({
                address,
                maxIdleMs: attempt.isIdempotent ? Infinity : maxNonIdempotentIdleMs,
                requestId: attempt.request.id,
            });
            if (connection === undefined) {
                return { kind: "unreachable" };
            }
            if (isAborted) {
                pool.release(connection);
                return { kind: "withdrawn" };
            }
            isSent = true;
            const { id, method } = attempt.request;
            const opened = connection;
            const result = await attempt.send(opened, { id, method }).catch((error: unknown) => {
                opened.dispose();
                throw error;
            });
            if (result.kind === "response") {
                void result.response.received.then(() => pool.release(opened));
            } else {
                pool.release(opened);
            }
            return result;
        };

        return {
            result: run(),
            isSent: () => isSent,
            abort: () => {
                isAborted = true;
                if (isSent) {
                    connection?.dispose();
                }
            },
            abortIfUnsent: () => {
                isAborted = true;
            },
        };
    };

    const start = (attempt: AttemptOptions): Attempt => {
        const { registration, request } = attempt;
        return startRequest({
            ...attempt,
            address: registration.address,
            send: async (connection, sent) => {
                const headers = dialect.formatAttemptHeaders(request.headers, {
                    target: registration.id,
                    remainingMs: computeRemainingMs(attempt),
                    organisation: request.caller?.organisation.name,
                });
                return sendToTarget(connection, registration, { ...sent, ...formatRequest(request, headers) });
            },
        });
    };

    const formatStatement = ({ id, caller }: OutgoingRequest): callers.CallerStatement | undefined =>
        caller === undefined
            ? undefined
            : { organisation: caller.organisation.name, proof: callers.computeProof(id, caller.key) };

    const sendToPeer = async (
        connection: targetConnection.TargetConnection,
        relayed: RelayOptions,
        sent: Pick<targetConnection.ConnectionRequest, "id" | "method">,
    ): Promise<AttemptResult> => {
        const headers = dialect.formatRelayHeaders(relayed.request.headers, {
            maxTargets: relayed.maxTargets,
            remainingMs: computeRemainingMs(relayed),
            statement: formatStatement(relayed.request),
            configurationVersion: relayed.configurationVersion,
        });
        const { bytes, heldBytes } = formatHeldRequest(relayed.request, headers);
        let isTaken = false;
        const timer = scheduler.schedule(relayed.takeTimeoutMs, () => connection.dispose());
        const handleSent = (): void => {
            isTaken = true;
            timer.dispose();
        };
        const result = await connection.send({ ...sent, bytes, heldBody: { bytes: heldBytes, handleSent } });
        timer.dispose();
        const isRefused = result.kind === "response" && notRun.isNotRunStatus(result.response.statusCode);
        return !isTaken && (isRefused || result.kind === "broken") ? { kind: "unreachable" } : result;
    };

    const startRelayed = (relayed: RelayOptions): Attempt =>
        startRequest({ ...relayed, send: (connection, sent) => sendToPeer(connection, relayed, sent) });

    const sendProbe = async (probe: Probe): Promise<ProbeResult> => {
        const { registration } = probe;
        const maxIdleMs = probe.onNewConnection ? -Infinity : Infinity;
        const connection = await pool.acquire({ address: registration.address, maxIdleMs, requestId: undefined });
        if (connection === undefined) {
            return { kind: "unreachable" };
        }
        const timer = scheduler.schedule(probe.timeoutMs, () => connection.dispose());
        const bytes = [formatHead("GET", probe.path, ["Host", registration.address])];
        const result = await sendToTarget(connection, registration, { bytes, id: undefined, method: "GET" });
        timer.dispose();
        pool.release(connection);
        // The response to a probe is unsigned, so that its body is never streamed.
        return result.kind === "response" ? { kind: "response", head: result.response.head } : { kind: "silent" };
    };

    return { start, startRelayed, sendProbe };
};

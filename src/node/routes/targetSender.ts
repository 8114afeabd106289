/**
 * One attempt of a request at one target.
 */
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";
import * as types from "./Types.js";

/** A request that may not be repeated uses a connection that was in use this recently, or a new one. */
const freshIdleMs = 2_000;

export interface OutgoingRequest {
    readonly id: string;
    readonly method: string;
    /** Path and query, as the client sent them. */
    readonly url: string;
    readonly headers: types.RawHeaders;
    readonly body: Buffer;
}

export type AttemptResult =
    | { readonly kind: "answer"; readonly answer: targetConnection.TargetAnswer }
    /** Nothing was sent, as no connection was to be had. */
    | { readonly kind: "unreachable" }
    /** Nothing was sent, as the attempt was stopped before its connection was open. */
    | { readonly kind: "withdrawn" }
    /** The request may have run. */
    | { readonly kind: "broken"; readonly reason: string };

export interface Attempt {
    readonly result: Promise<AttemptResult>;
    /** Closes the connection, so that the target drops the request. */
    abort(): void;
    /** Sends nothing any more; without effect on a request that was sent. */
    withdraw(): void;
}

export interface AttemptOptions {
    readonly registration: routes.Registration;
    readonly request: OutgoingRequest;
    /** Time that the target has, in milliseconds. */
    leftMs(): number;
    readonly mayRepeat: boolean;
}

export interface TargetSender {
    start(options: AttemptOptions): Attempt;
    /** Asks a target for its health and load; undefined if there is no answer in time. */
    probe(registration: routes.Registration, path: string, timeoutMs: number): Promise<types.AnswerHead | undefined>;
}

/** A target's or client's text never holds line breaks, as both parsers reject them. */
const formatHead = (method: string, url: string, headers: readonly string[]): Buffer => {
    let text = `${method} ${url} HTTP/1.1\r\n`;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        text += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    return Buffer.from(`${text}\r\n`, "latin1");
};

const hasBody = (method: string, body: Buffer): boolean =>
    body.length > 0 || !/^(GET|HEAD|DELETE|OPTIONS|TRACE)$/.test(method);

/**
 * Creates the sender.
 *
 * @param options - connections, dialect and clock
 * @returns the sender
 */
export const createTargetSender = (options: {
    readonly pool: connectionPool.ConnectionPool;
    readonly dialect: types.HttpDialect;
    readonly scheduler: shared.Scheduler;
}): TargetSender => {
    const { pool, dialect, scheduler } = options;

    const formatRequest = (attempt: AttemptOptions): Uint8Array[] => {
        const { request, registration } = attempt;
        const headers = dialect.writeAttempt(request.headers, {
            target: registration.id,
            leftMs: Math.max(1, Math.floor(attempt.leftMs())),
        });
        if (hasBody(request.method, request.body)) {
            headers.push("Content-Length", String(request.body.length));
        }
        const head = formatHead(request.method, request.url, headers);
        return request.body.length > 0 ? [head, request.body] : [head];
    };

    const start = (attempt: AttemptOptions): Attempt => {
        const { address } = attempt.registration;
        let connection: targetConnection.TargetConnection | undefined;
        let isWithdrawn = false;
        let isSent = false;

        const run = async (): Promise<AttemptResult> => {
            connection = await pool.acquire({
                address,
                longestIdleMs: attempt.mayRepeat ? Infinity : freshIdleMs,
            });
            if (connection === undefined) {
                return { kind: "unreachable" };
            }
            if (isWithdrawn) {
                pool.release(connection);
                return { kind: "withdrawn" };
            }
            isSent = true;
            const { id, method } = attempt.request;
            const result = await connection.send({ bytes: formatRequest(attempt), id, method });
            pool.release(connection);
            return result;
        };

        return {
            result: run(),
            abort: () => {
                isWithdrawn = true;
                if (isSent) {
                    connection?.dispose();
                }
            },
            withdraw: () => {
                isWithdrawn = true;
            },
        };
    };

    const probe = async (
        registration: routes.Registration,
        path: string,
        timeoutMs: number,
    ): Promise<types.AnswerHead | undefined> => {
        const connection = await pool.acquire({ address: registration.address, longestIdleMs: Infinity });
        if (connection === undefined) {
            return undefined;
        }
        const timer = scheduler.schedule(timeoutMs, () => connection.dispose());
        const bytes = [formatHead("GET", path, ["Host", registration.address])];
        const result = await connection.send({ bytes, id: undefined, method: "GET" });
        timer.dispose();
        pool.release(connection);
        return result.kind === "answer" ? result.answer.head : undefined;
    };

    return { start, probe };
};

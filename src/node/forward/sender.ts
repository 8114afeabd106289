/**
 * Connection pools for targets and peers.
 */
import * as stream from "node:stream";
import * as undici from "undici";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as attempts from "./attempt.js";
import * as types from "./Types.js";

const connectTimeoutMs = 1_000;

/**
 * Maximum time for which an idle connection may be reused. An open connection can stop responding without notice, and a
 * non-idempotent call cannot be retried, so it uses only connections that delivered a response within the last second.
 */
const maxIdleReuseMs: Readonly<Record<types.ConnectionClass, number>> = {
    idempotent: 4_000,
    nonIdempotent: 1_000,
    peer: 1_000,
    // Each probe opens a new connection, since an open one may be unresponsive while new ones work.
    probe: 1,
};

/** Checks that a test can turn off to show what they prevent. */
export interface SenderOptions {
    /** False: a response is accepted whatever attempt id it contains. */
    readonly checksEcho: boolean;
    /** True: idle connections are reused regardless of their idle time. */
    readonly reusesIdle: boolean;
}

const defaultOptions: SenderOptions = { checksEcho: true, reusesIdle: false };
const unsafeMaxIdleReuseMs = 600_000;

const createBody = (body: types.RequestBody): Buffer | stream.Readable | null => {
    if (body.rest === undefined) {
        return body.prefix.length === 0 ? null : body.prefix;
    }
    const rest = body.rest;
    const readParts = async function* (): AsyncGenerator<Buffer> {
        yield body.prefix;
        for await (const chunk of rest) {
            yield chunk as Buffer;
        }
    };
    return stream.Readable.from(readParts(), { objectMode: false });
};

/** Distinguishes a close by the remote side from a local idle timeout or abort. */
const isClosedByRemote = (error: Error): boolean =>
    "code" in error && (error.code === "UND_ERR_SOCKET" || error.code === "ECONNRESET" || error.code === "EPIPE");

/**
 * Creates the sender of a daemon.
 *
 * @param options - checks that a test turns off
 * @returns the sender, without open connections
 */
export const createSender = (options: SenderOptions = defaultOptions): types.Sender => {
    const pools = new Map<string, undici.Pool>();
    const pending: attempts.PendingAttempts = new Map();

    const didDisconnect = events.createEmitter<shared.Address>();

    const getPool = (request: types.AttemptRequest): undici.Pool => {
        const key = `${request.connectionClass} ${request.address}`;
        let pool = pools.get(key);
        if (pool === undefined) {
            const reuseMs = options.reusesIdle ? unsafeMaxIdleReuseMs : maxIdleReuseMs[request.connectionClass];
            pool = new undici.Pool(`http://${request.address}`, {
                connections: request.connections,
                pipelining: 1,
                connect: { timeout: connectTimeoutMs },
                keepAliveTimeout: reuseMs,
                keepAliveMaxTimeout: reuseMs,
                // The deadline of the call limits the wait for the response.
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            pool.on("disconnect", (_origin, _targets, error) => {
                if (isClosedByRemote(error)) {
                    didDisconnect.fire(request.address);
                }
            });
            pools.set(key, pool);
        }
        return pool;
    };

    return {
        send: request => {
            const dispatchable = attempts.createAttempt(request, pending, options.checksEcho);
            getPool(request).dispatch(
                {
                    method: request.method,
                    path: request.path,
                    headers: request.headers,
                    body: createBody(request.body),
                    // Prevents undici from resending a request after its connection was closed.
                    idempotent: false,
                },
                dispatchable.handler,
            );
            return dispatchable.attempt;
        },
        onDidDisconnect: didDisconnect.event,
        close: async () => {
            const closing = [...pools.values()].map(pool => pool.destroy());
            pools.clear();
            didDisconnect.dispose();
            await Promise.all(closing);
        },
    };
};

/**
 * Connection pools to targets and peers.
 */
import * as stream from "node:stream";
import * as undici from "undici";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as attempts from "./attempt.js";
import * as types from "./Types.js";

const connectTimeoutMs = 1_000;

/**
 * Longest time that an idle connection may be reused. An open connection can go silent without notice, and a
 * non-idempotent call cannot be tried again, so it uses only connections that answered within the last second.
 */
const idleReuseMs: Readonly<Record<types.ConnectionClass, number>> = {
    idempotent: 4_000,
    nonIdempotent: 1_000,
    peer: 1_000,
    // Each probe opens a connection of its own, since an open one may be silent while new ones work.
    probe: 1,
};

/** Deviations for tests that show what a rule prevents. */
export interface SenderOptions {
    /** False: an answer is taken whatever attempt it echoes. */
    readonly checksEcho: boolean;
    /** True: idle connections are reused after any time. */
    readonly reusesIdle: boolean;
}

const safeOptions: SenderOptions = { checksEcho: true, reusesIdle: false };
const anyIdleMs = 600_000;

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

/** Distinguishes a close by the other side from an idle timeout or an abort on this side. */
const isClosedByOther = (error: Error): boolean =>
    "code" in error && (error.code === "UND_ERR_SOCKET" || error.code === "ECONNRESET" || error.code === "EPIPE");

/**
 * Creates the sender of a daemon.
 *
 * @param options - rules that a test turns off
 * @returns the sender, with no connections open
 */
export const createSender = (options: SenderOptions = safeOptions): types.Sender => {
    const pools = new Map<string, undici.Pool>();
    const waiting: attempts.WaitingAttempts = new Map();

    const didDisconnect = events.createEmitter<shared.Address>();

    const getPool = (request: types.AttemptRequest): undici.Pool => {
        const key = `${request.connectionClass} ${request.address}`;
        let pool = pools.get(key);
        if (pool === undefined) {
            const reuseMs = options.reusesIdle ? anyIdleMs : idleReuseMs[request.connectionClass];
            pool = new undici.Pool(`http://${request.address}`, {
                connections: request.connections,
                pipelining: 1,
                connect: { timeout: connectTimeoutMs },
                keepAliveTimeout: reuseMs,
                keepAliveMaxTimeout: reuseMs,
                // The deadline of the call limits the answer.
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            pool.on("disconnect", (_origin, _targets, error) => {
                if (isClosedByOther(error)) {
                    didDisconnect.fire(request.address);
                }
            });
            pools.set(key, pool);
        }
        return pool;
    };

    return {
        send: request => {
            const driver = attempts.createAttempt(request, waiting, options.checksEcho);
            getPool(request).dispatch(
                {
                    method: request.method,
                    path: request.path,
                    headers: request.headers,
                    body: createBody(request.body),
                    // Keeps undici from sending a request again after its connection was closed.
                    idempotent: false,
                },
                driver.handler,
            );
            return driver.attempt;
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

/**
 * Open connections of clients, and which of them is closed when there are too many.
 */
import type * as http from "node:http";
import type * as net from "node:net";
import type * as stream from "node:stream";
import * as shared from "../../common/Types.js";
import * as clientClosing from "./clientClosing.js";
import * as clientReading from "./clientReading.js";
import * as drainControl from "./drainControl.js";
import * as frontendServer from "./frontendServer.js";
import * as readControl from "./readControl.js";
import * as requestBody from "./requestBody.js";
import * as types from "./Types.js";

/** Share of a process's descriptors for clients; the rest is for targets, peers, the store, lookups and files. */
const clientShare = 0.6;
/** Bytes that are discarded on a closing connection at least, and at most if they follow some that cannot be read. */
const minDiscardedBytes = 1024 * 1024;
/** Otherwise, a client may still send the rest of a body that is too large by this factor. */
const discardedBodies = 2;

/** A request that has no whole response yet. */
export interface ActiveRequest {
    readonly request: http.IncomingMessage;
    readonly receivedAtMs: number;
    /** Aborted when the client disconnects. */
    readonly abort: AbortController;
    phase: drainControl.CutOffPhase;
    /** Undefined until its body is read. */
    bodyReader: requestBody.BodyReader | undefined;
}

/** What of a request is known before its body is received. */
export interface ReceivedHead {
    /** Path and query. */
    readonly url: string;
    readonly headers: types.RawHeaders;
    readonly receivedAtMs: number;
}

/** A connection of a client, on which several requests may be in progress (pipelining). */
export interface ClientConnection {
    readonly reading: clientReading.ClientReading;
    readonly closing: clientClosing.ClientClosing;
    readonly activeRequests: Set<ActiveRequest>;
    /** Requests that have begun. */
    requests: number;
    /** The request that began last; its response is the last one. */
    newestRequest: http.IncomingMessage | undefined;
    /** Number of the first request whose body is not wanted. Those behind it may have begun, as bodies are passed on later. */
    refusedRequest: number;
    /** Set once a response announces that the connection closes after it; requests behind it count as not read. */
    isClosing: boolean;
    /** Set once bytes behind the newest request cannot be read; its response is the last one. */
    isUnreadable: boolean;
    /** The body that is being read, or was read last. */
    bodyReader: requestBody.BodyReader | undefined;
}

type Connections = ReadonlyMap<stream.Duplex, ClientConnection>;

/**
 * Creates the state of a new connection, and takes over its reading and closing from the HTTP server.
 *
 * @param socket - the connection, not read yet
 * @param options - turns shared with the other connections, timers, and the configured limits
 * @returns the state
 */
export const createClientConnection = (
    socket: net.Socket,
    options: Pick<frontendServer.FrontendOptions, "scheduler" | "getLimits" | "recordUnclosed"> & {
        readonly readTurns: readControl.ReadTurns;
    },
): ClientConnection => {
    const { scheduler } = options;
    const reading = clientReading.startClientReading(socket, options.readTurns, scheduler);
    const closing = clientClosing.startClientClosing(socket, {
        scheduler,
        reading,
        recordUnclosed: options.recordUnclosed,
        getMaxDiscardedBytes: () =>
            connection.isUnreadable
                ? minDiscardedBytes
                : Math.max(minDiscardedBytes, discardedBodies * (options.getLimits()?.maxBodyBytes ?? 0)),
        handleClosing: () => {
            connection.isClosing = true;
            // Later, as a body that has broken would count as one whose client has left.
            setImmediate(() => connection.activeRequests.forEach(({ abort }) => abort.abort()));
        },
    });
    const connection: ClientConnection = {
        reading,
        closing,
        activeRequests: new Set(),
        requests: 0,
        newestRequest: undefined,
        refusedRequest: Infinity,
        isClosing: false,
        isUnreadable: false,
        bodyReader: undefined,
    };
    return connection;
};

/**
 * Computes how many connections of clients may be open.
 *
 * @param maxDescriptors - descriptors that the process may have open
 * @returns the number of connections
 */
export const computeMaxConnections = (maxDescriptors: number): number =>
    Math.max(1, Math.floor(maxDescriptors * clientShare));

/** The order in which connections are closed when there are too many; undefined for one that serves requests. */
const computeExcessRank = ({ activeRequests, newestRequest, closing }: ClientConnection): number | undefined => {
    if (activeRequests.size === 0) {
        return closing.isLingering() ? 2 : 0;
    }
    return activeRequests.size === 1 && newestRequest?.complete === false ? 1 : undefined;
};

/**
 * Picks the connection that is closed when there are too many: one without a request, or else one whose only request has not
 * been received whole, or else one that waits for its client to close it. None of them promises anything, and nothing has
 * run. Of several, it is the one whose last response was handed over first, as that has most likely arrived, or the oldest.
 *
 * @param connections - the open connections, oldest first
 * @returns the connection; undefined if all of them serve requests
 */
export const pickExcessConnection = (connections: Connections): stream.Duplex | undefined => {
    let picked: { readonly socket: stream.Duplex; readonly rank: number; readonly atMs: number } | undefined;
    for (const [socket, connection] of connections) {
        const rank = computeExcessRank(connection);
        if (socket.destroyed || rank === undefined) {
            continue;
        }
        const atMs = connection.closing.getLastResponseAtMs();
        if (picked === undefined || rank < picked.rank || (rank === picked.rank && atMs < picked.atMs)) {
            picked = { socket, rank, atMs };
        }
    }
    return picked?.socket;
};

/**
 * Returns the head of a request.
 *
 * @param active - the request
 * @returns its head
 */
export const toHead = ({ request, receivedAtMs }: ActiveRequest): ReceivedHead => ({
    url: request.url ?? "/",
    headers: request.rawHeaders,
    receivedAtMs,
});

/**
 * Refuses the requests that are still being received and may no longer begin.
 *
 * @param connections - the open connections
 * @param options - decides which requests may begin
 */
export const refuseLate = (
    connections: Connections,
    options: Pick<frontendServer.FrontendOptions, "mayBegin">,
): void => {
    for (const { activeRequests } of connections.values()) {
        for (const active of activeRequests) {
            if (active.phase === "body" && !options.mayBegin(toHead(active), "body")) {
                active.bodyReader?.abortDraining();
            }
        }
    }
};

/**
 * Records the requests in progress, which end with the process.
 *
 * @param connections - the open connections
 * @param clock - the clock of their requests
 * @param options - receives the requests
 */
export const recordCutOff = (
    connections: Connections,
    clock: shared.Clock,
    options: Pick<frontendServer.FrontendOptions, "recordCutOff">,
): void => {
    const nowMs = clock.now();
    for (const { activeRequests } of connections.values()) {
        for (const { request, phase, receivedAtMs } of activeRequests) {
            options.recordCutOff({ headers: request.rawHeaders, phase, ageMs: nowMs - receivedAtMs });
        }
    }
};

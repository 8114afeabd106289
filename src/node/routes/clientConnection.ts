/**
 * Open connections of clients, and which of them is closed when there are too many.
 */
import type * as http from "node:http";
import type * as stream from "node:stream";
import * as shared from "../../common/Types.js";
import * as clientReading from "./clientReading.js";
import * as drainControl from "./drainControl.js";
import * as frontendServer from "./frontendServer.js";
import * as requestBody from "./requestBody.js";
import * as types from "./Types.js";

/** Share of a process's descriptors for clients; the rest is for targets, peers, the store, lookups and files. */
const clientShare = 0.6;

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
 * Creates the state of a new connection.
 *
 * @param reading - the control of its reading
 * @returns the state
 */
export const createClientConnection = (reading: clientReading.ClientReading): ClientConnection => ({
    reading,
    activeRequests: new Set(),
    requests: 0,
    newestRequest: undefined,
    refusedRequest: Infinity,
    isClosing: false,
    isUnreadable: false,
    bodyReader: undefined,
});

/**
 * Computes how many connections of clients may be open.
 *
 * @param maxDescriptors - descriptors that the process may have open
 * @returns the number of connections
 */
export const computeMaxConnections = (maxDescriptors: number): number =>
    Math.max(1, Math.floor(maxDescriptors * clientShare));

/**
 * Picks the connection that is closed when there are too many: the oldest without a request, or else the oldest whose only
 * request has not been received whole. Both promise nothing, and nothing has run.
 *
 * @param connections - the open connections, oldest first
 * @returns the connection; undefined if all of them serve requests
 */
export const pickExcessConnection = (connections: Connections): stream.Duplex | undefined => {
    let unfinished: stream.Duplex | undefined;
    for (const [socket, { activeRequests, newestRequest }] of connections) {
        if (socket.destroyed) {
            continue;
        }
        if (activeRequests.size === 0) {
            return socket;
        }
        if (activeRequests.size === 1 && newestRequest?.complete === false) {
            unfinished ??= socket;
        }
    }
    return unfinished;
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

/**
 * Open connections of clients, and which of them is closed when there are too many.
 */
import type * as http from "node:http";
import type * as stream from "node:stream";
import * as clientReading from "./clientReading.js";
import * as requestBody from "./requestBody.js";

/** Share of a process's descriptors for clients; the rest is for targets, peers, the store, lookups and files. */
const clientShare = 0.6;

/** A connection of a client, on which several requests may be in progress (pipelining). */
export interface ClientConnection {
    readonly reading: clientReading.ClientReading;
    readonly activeRequests: Set<AbortController>;
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
export const pickExcessConnection = (
    connections: ReadonlyMap<stream.Duplex, ClientConnection>,
): stream.Duplex | undefined => {
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

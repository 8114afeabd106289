/**
 * Header names, and selection of the headers that are forwarded.
 */
import type * as http from "node:http";

export const headerNames = {
    key: "idempotency-key",
    requestId: "x-request-id",
    deadline: "tarragon-deadline-ms",
    attempt: "tarragon-attempt-id",
    outcome: "tarragon-outcome",
    error: "tarragon-error",
    entry: "tarragon-entry",
    target: "tarragon-target",
    replayed: "tarragon-replayed",
    hop: "tarragon-hop",
    arbitrated: "tarragon-arbitrated",
    targetState: "tarragon-target-state",
    targetBusy: "tarragon-target-busy",
    targetBoot: "tarragon-target-boot",
} as const;

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that the sender sets itself. */
const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "expect",
]);

const protocolPrefix = "tarragon-";

/** Protocol headers of a peer's response that are relayed to the caller. */
const relayedProtocolHeaders: ReadonlySet<string> = new Set([
    headerNames.outcome,
    headerNames.error,
    headerNames.target,
    headerNames.replayed,
]);

const listConnectionTokens = (connection: string | undefined): ReadonlySet<string> =>
    new Set((connection ?? "").split(",").map(token => token.trim().toLowerCase()));

/**
 * Selects the request headers that are forwarded to the target.
 *
 * @param headers - headers from the caller or a peer
 * @returns the headers, without hop-by-hop headers and those of this protocol
 */
export const pickRequestHeaders = (headers: http.IncomingHttpHeaders): Record<string, string | string[]> => {
    const connectionTokens = listConnectionTokens(headers.connection);
    const picked: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (
            value === undefined ||
            hopByHopHeaders.has(name) ||
            connectionTokens.has(name) ||
            name.startsWith(protocolPrefix)
        ) {
            continue;
        }
        picked[name] = value;
    }
    return picked;
};

/**
 * Selects the response headers that are relayed to the caller.
 *
 * @param headers - headers of the response from the target or peer
 * @param isFromPeer - whether the response comes from a peer; its relayed protocol headers are then kept
 * @returns the headers
 */
export const pickResponseHeaders = (
    headers: http.IncomingHttpHeaders,
    isFromPeer: boolean,
): Record<string, string | string[]> => {
    const connectionTokens = listConnectionTokens(headers.connection);
    const picked: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isDroppedProtocolHeader =
            name.startsWith(protocolPrefix) && !(isFromPeer && relayedProtocolHeaders.has(name));
        if (value === undefined || hopByHopHeaders.has(name) || connectionTokens.has(name) || isDroppedProtocolHeader) {
            continue;
        }
        picked[name] = value;
    }
    return picked;
};

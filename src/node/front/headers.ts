/**
 * Header names, and which headers pass from one side to the other.
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

/** Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the sender sets itself. */
const hopByHop = new Set([
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

const ownPrefix = "tarragon-";

/** Headers of the protocol that a peer's answer passes on to the caller. */
const answerHeaders: ReadonlySet<string> = new Set([
    headerNames.outcome,
    headerNames.error,
    headerNames.target,
    headerNames.replayed,
]);

const listConnectionTokens = (connection: string | undefined): ReadonlySet<string> =>
    new Set((connection ?? "").split(",").map(token => token.trim().toLowerCase()));

/**
 * Selects the headers of a request that go on to the target.
 *
 * @param headers - headers of the caller or of a peer
 * @returns headers without those of the connection and of this protocol
 */
export const pickRequestHeaders = (headers: http.IncomingHttpHeaders): Record<string, string | string[]> => {
    const named = listConnectionTokens(headers.connection);
    const picked: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value === undefined || hopByHop.has(name) || named.has(name) || name.startsWith(ownPrefix)) {
            continue;
        }
        picked[name] = value;
    }
    return picked;
};

/**
 * Selects the headers of an answer that go back to the caller.
 *
 * @param headers - headers of the target's or the peer's answer
 * @param isFromPeer - whether the protocol's own headers are to be kept
 * @returns the headers
 */
export const pickAnswerHeaders = (
    headers: http.IncomingHttpHeaders,
    isFromPeer: boolean,
): Record<string, string | string[]> => {
    const named = listConnectionTokens(headers.connection);
    const picked: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isOwn = name.startsWith(ownPrefix) && !(isFromPeer && answerHeaders.has(name));
        if (value === undefined || hopByHop.has(name) || named.has(name) || isOwn) {
            continue;
        }
        picked[name] = value;
    }
    return picked;
};

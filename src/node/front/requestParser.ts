/**
 * Parses and validates the head of a call.
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import * as errors from "../../common/errors/errors.js";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

export const maxDeadlineMs = 600_000;

const requestIdPattern = /^[\x21-\x7e]{1,128}$/;
const keyPattern = /^[\x21-\x7e]{1,200}$/;
const callPathPattern = /^\/(?:call|forward)\/([^/?]+)(\/[^?]*)?(\?.*)?$/;

const readSingle = (request: http.IncomingMessage, name: string): string | undefined => {
    const value = request.headersDistinct[name];
    if (value === undefined) {
        return undefined;
    }
    if (value.length > 1) {
        throw errors.createCallError("bad_request", `header ${name} is given ${value.length} times`);
    }
    return value[0];
};

const parseRequestId = (request: http.IncomingMessage): shared.CallId => {
    const value = request.headers[headers.headerNames.requestId];
    if (typeof value !== "string") {
        return ids.toCallId(crypto.randomUUID());
    }
    if (!requestIdPattern.test(value)) {
        throw errors.createCallError("bad_request", "X-Request-Id must be 1 to 128 printable ASCII characters");
    }
    return ids.toCallId(value);
};

const parseDeadline = (request: http.IncomingMessage): number | undefined => {
    const value = readSingle(request, headers.headerNames.deadline);
    if (value === undefined) {
        return undefined;
    }
    const deadlineMs = /^\d{1,6}$/.test(value) ? Number(value) : 0;
    if (deadlineMs < 1 || deadlineMs > maxDeadlineMs) {
        throw errors.createCallError(
            "bad_request",
            `Tarragon-Deadline-Ms is "${value}"; it must be a whole number from 1 to ${maxDeadlineMs}`,
        );
    }
    return deadlineMs;
};

const parseKey = (request: http.IncomingMessage): string | undefined => {
    const value = readSingle(request, headers.headerNames.key);
    if (value !== undefined && !keyPattern.test(value)) {
        throw errors.createCallError("bad_request", "Idempotency-Key must be 1 to 200 printable ASCII characters");
    }
    return value;
};

const parseContentLength = (request: http.IncomingMessage): number | undefined => {
    if (request.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(request.headers["content-length"] ?? 0);
};

const parseHop = (request: http.IncomingMessage, isFromPeer: boolean): types.Hop => {
    if (!isFromPeer) {
        return { kind: "caller" };
    }
    const hop = request.headers[headers.headerNames.hop];
    switch (hop) {
        case "arbiter":
            return { kind: "arbiter" };
        case "route":
            return { kind: "route", arbitrated: request.headers[headers.headerNames.arbitrated] === "true" };
        default:
            throw errors.createCallError("bad_request", "Tarragon-Hop must be arbiter or route");
    }
};

/**
 * Parses the head of a call.
 *
 * @param request - the request of a caller or a peer
 * @param isFromPeer - whether it arrived on the control port
 * @returns the parsed head
 * @throws a call error of kind `bad_request` that names the invalid part
 */
export const parseCallHead = (request: http.IncomingMessage, isFromPeer: boolean): types.CallHead => {
    const match = callPathPattern.exec(request.url ?? "");
    if (match === null) {
        throw errors.createCallError("bad_request", "the path must be /call/<service>/<path>");
    }
    const service = match[1] ?? "";
    if (!ids.isName(service)) {
        throw errors.createCallError("bad_request", `"${service.slice(0, 80)}" cannot name a service`);
    }
    return {
        id: parseRequestId(request),
        hop: parseHop(request, isFromPeer),
        service: ids.toServiceName(service),
        method: request.method ?? "GET",
        path: `${match[2] ?? "/"}${match[3] ?? ""}`,
        key: parseKey(request),
        deadlineMs: parseDeadline(request),
        headers: headers.pickRequestHeaders(request.headers),
        contentLength: parseContentLength(request),
    };
};

/**
 * Creates a head for the error response to a request that could not be parsed.
 *
 * @param request - the request
 * @returns a head with a new request id
 */
export const createFallbackHead = (request: http.IncomingMessage): types.CallHead => ({
    id: ids.toCallId(crypto.randomUUID()),
    hop: { kind: "caller" },
    service: ids.toServiceName("-"),
    method: request.method ?? "GET",
    path: "/",
    key: undefined,
    deadlineMs: undefined,
    headers: {},
    contentLength: undefined,
});

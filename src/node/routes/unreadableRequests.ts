/**
 * Bytes of clients that the HTTP server cannot read as a request, or that arrive too late for one.
 */
import * as http from "node:http";
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";
import * as types from "./Types.js";

export interface UnreadableRequest {
    /** Error code of the HTTP server. */
    readonly reason: string;
    /** Status that says so to the client. */
    readonly statusCode: number;
    /** Requests before it on its connection that had no response yet. */
    readonly unanswered: number;
}

const statusByReason: Readonly<Record<string, number>> = {
    ERR_HTTP_REQUEST_TIMEOUT: 408,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    HPE_HEADER_OVERFLOW: 431,
};

/**
 * Converts an error of the HTTP server.
 *
 * @param error - the error
 * @param unanswered - number of requests before it on its connection that have no response yet
 * @returns the unreadable request
 */
export const toUnreadableRequest = (error: NodeJS.ErrnoException, unanswered: number): UnreadableRequest => {
    const reason = error.code ?? error.message;
    return { reason, statusCode: statusByReason[reason] ?? 400, unanswered };
};

/**
 * Returns whether an error of the HTTP server says that the client has left: the connection broke, or ended in the middle of
 * a request.
 *
 * @param error - the error
 * @returns true if no response can be sent
 */
export const hasClientLeft = ({ code = "" }: NodeJS.ErrnoException): boolean =>
    code === "HPE_INVALID_EOF_STATE" || !/^(HPE|ERR_HTTP)_/.test(code);

/**
 * Formats the response to an unreadable request on a connection without any other request.
 *
 * @param response - the response
 * @returns its bytes, after which the connection closes
 */
export const formatRefusal = (response: {
    readonly statusCode: number;
    readonly headers: types.RawHeaders;
    readonly body: types.ResponseBody;
}): Buffer => {
    const { statusCode, headers, body } = response;
    const bytes = body.kind === "whole" ? body.bytes : Buffer.alloc(0);
    const lines = [`HTTP/1.1 ${statusCode} ${http.STATUS_CODES[statusCode] ?? ""}`];
    for (let index = 0; index + 1 < headers.length; index += 2) {
        lines.push(`${headers[index]}: ${headers[index + 1]}`);
    }
    lines.push("Connection: close", `Content-Length: ${bytes.length}`);
    return Buffer.concat([Buffer.from(`${lines.join("\r\n")}\r\n\r\n`, "latin1"), bytes]);
};

/**
 * Creates a function that logs and counts unreadable requests.
 *
 * @param options - log and counter
 * @returns the function
 */
export const createUnreadableRecorder =
    (options: {
        readonly logger: shared.Logger;
        readonly metrics: Pick<metrics.RouteMetrics, "recordUnreadable">;
    }): ((request: UnreadableRequest) => void) =>
    request => {
        options.logger.warn("frontend: request unreadable", { ...request });
        options.metrics.recordUnreadable(request.unanswered > 0);
    };

/**
 * An HTTP/1.1 connection to a target, with one request at a time. Bytes that belong to no request are discarded, and
 * the connection is closed.
 */
import * as net from "node:net";
import * as httpParser from "http-parser-js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/** Larger responses are not forwarded. */
const maxResponseBytes = 64 * 1024 * 1024;
/** Idle connections are closed this long before the target's timeout, so that no request is sent while it closes. */
const idleTimeoutMarginMs = 1_000;
/** For targets that do not send their idle timeout. */
const defaultIdleTimeoutMs = 5_000;

export interface TargetResponse {
    readonly statusCode: number;
    readonly head: types.ResponseHead;
    readonly body: Buffer;
    /** False if the body ended with the connection, so that a truncated body cannot be detected. */
    readonly isDelimited: boolean;
}

export type SendResult =
    | { readonly kind: "response"; readonly response: TargetResponse }
    /** The connection broke, or the bytes received are not a response; the request may have run. */
    | { readonly kind: "broken"; readonly reason: string };

export interface ConnectionRequest {
    /** Serialized head and body. */
    readonly bytes: readonly Uint8Array[];
    /** Id that the response must echo; undefined for probes. */
    readonly id: string | undefined;
    readonly method: string;
}

export interface TargetConnection extends shared.Disposable {
    /** Sends a request; no other request may be in flight. */
    send(request: ConnectionRequest): Promise<SendResult>;
    /** Whether another request may be sent on this connection. */
    isReusable(nowMs: number): boolean;
    /** Time since the last byte from the target. */
    computeIdleMs(nowMs: number): number;
    readonly address: shared.Address;
}

interface PendingRequest {
    readonly request: ConnectionRequest;
    readonly resolve: (result: SendResult) => void;
}

interface PartialResponse {
    readonly statusCode: number;
    readonly head: types.ResponseHead;
    readonly chunks: Buffer[];
    bytes: number;
    readonly isKeepAlive: boolean;
    readonly isDelimited: boolean;
}

export interface ConnectionOptions {
    readonly socket: net.Socket;
    readonly address: shared.Address;
    readonly dialect: types.HttpDialect;
    readonly clock: shared.Clock;
    onClose(): void;
}

/** Whether the headers delimit the body; otherwise the end of the connection does. */
const hasBodyLength = (headers: readonly string[]): boolean =>
    headers.some((name, index) => index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(name));

/**
 * Creates the client side of an open connection.
 *
 * @param options - the socket and how to parse responses
 * @returns the connection
 */
export const createTargetConnection = (options: ConnectionOptions): TargetConnection => {
    const { socket, clock, dialect } = options;
    const parser = new httpParser.HTTPParser("RESPONSE");
    let pendingRequest: PendingRequest | undefined;
    let partialResponse: PartialResponse | undefined;
    let hasUnexpectedResponse = false;
    let isClosed = false;
    let lastByteAtMs = clock.now();
    let idleTimeoutMs = defaultIdleTimeoutMs;

    const close = (reason: string): void => {
        if (isClosed) {
            return;
        }
        isClosed = true;
        if (pendingRequest === undefined) {
            socket.destroy();
        } else {
            // A reset also discards bytes that have not reached the target yet; it must not start an aborted request.
            socket.resetAndDestroy();
        }
        const abortedRequest = pendingRequest;
        pendingRequest = undefined;
        options.onClose();
        abortedRequest?.resolve({ kind: "broken", reason });
    };

    const deliver = (response: PartialResponse): void => {
        const completedRequest = pendingRequest;
        pendingRequest = undefined;
        const isKeptOpen = response.isKeepAlive && !hasUnexpectedResponse && socket.writableLength === 0;
        idleTimeoutMs = response.head.idleTimeoutMs ?? idleTimeoutMs;
        if (!isKeptOpen) {
            close("not kept open");
        }
        const { statusCode, head, chunks, isDelimited } = response;
        completedRequest?.resolve({
            kind: "response",
            response: { statusCode, head, body: Buffer.concat(chunks), isDelimited },
        });
    };

    const handleHeaders = (info: {
        readonly statusCode: number;
        readonly headers: string[];
        readonly shouldKeepAlive: boolean;
    }): number => {
        if (info.statusCode < 200) {
            return 0;
        }
        if (pendingRequest === undefined) {
            hasUnexpectedResponse = true;
            return 0;
        }
        const isDelimited = hasBodyLength(info.headers) || info.statusCode === 204 || info.statusCode === 304;
        const head = dialect.parseResponseHead(info.statusCode, info.headers);
        const isKeepAlive = info.shouldKeepAlive && isDelimited;
        partialResponse = { statusCode: info.statusCode, head, chunks: [], bytes: 0, isKeepAlive, isDelimited };
        return pendingRequest.request.method === "HEAD" ? 1 : 0;
    };

    const handleComplete = (): void => {
        const response = partialResponse;
        partialResponse = undefined;
        if (response === undefined || pendingRequest === undefined) {
            return;
        }
        if (
            pendingRequest.request.id !== undefined &&
            response.head.id !== undefined &&
            response.head.id !== pendingRequest.request.id
        ) {
            // A late response to an earlier request; the expected one follows it.
            hasUnexpectedResponse = true;
            return;
        }
        deliver(response);
    };

    parser[httpParser.HTTPParser.kOnHeaders] = () => undefined;
    parser[httpParser.HTTPParser.kOnHeadersComplete] = handleHeaders;
    parser[httpParser.HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
        if (partialResponse === undefined) {
            return;
        }
        partialResponse.bytes += length;
        if (partialResponse.bytes > maxResponseBytes) {
            close("answer too large");
            return;
        }
        partialResponse.chunks.push(chunk.subarray(offset, offset + length));
    };
    parser[httpParser.HTTPParser.kOnMessageComplete] = handleComplete;

    const handleData = (chunk: Buffer): void => {
        lastByteAtMs = clock.now();
        if (pendingRequest === undefined) {
            close("bytes without a request");
            return;
        }
        const result = parser.execute(chunk);
        if (result instanceof Error) {
            close(`not an answer: ${result.message}`);
        } else if (hasUnexpectedResponse && pendingRequest === undefined) {
            close("bytes after a response");
        }
    };

    const handleEnd = (): void => {
        if (partialResponse?.isDelimited === false) {
            handleComplete();
        }
        close("closed by the target");
    };

    socket.setNoDelay(true);
    socket.on("data", handleData);
    socket.on("end", handleEnd);
    socket.on("error", (error: NodeJS.ErrnoException) => close(error.code ?? error.message));
    socket.on("close", () => close("closed"));

    return {
        send: request =>
            new Promise(resolve => {
                if (isClosed) {
                    resolve({ kind: "broken", reason: "closed" });
                    return;
                }
                pendingRequest = { request, resolve };
                socket.cork();
                for (const bytes of request.bytes) {
                    socket.write(bytes);
                }
                socket.uncork();
            }),
        isReusable: nowMs =>
            !isClosed &&
            !hasUnexpectedResponse &&
            pendingRequest === undefined &&
            nowMs - lastByteAtMs < idleTimeoutMs - idleTimeoutMarginMs,
        computeIdleMs: nowMs => nowMs - lastByteAtMs,
        address: options.address,
        dispose: () => close("closed here"),
    };
};

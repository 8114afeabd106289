/**
 * An HTTP/1.1 connection to a target, with one request at a time. Bytes that belong to no request are discarded, and
 * the connection is closed.
 */
import * as net from "node:net";
import * as joinedBytes from "../../common/joinedBytes.js";
import * as shared from "../../common/Types.js";
import * as carriedIds from "./carriedIds.js";
import * as connectionInfo from "./connectionInfo.js";
import * as partialResponses from "./partialResponses.js";
import * as readControl from "./readControl.js";
import * as responseParser from "./responseParser.js";
import * as streamedBody from "./streamedBody.js";
import * as types from "./Types.js";
import * as unexpectedResponses from "./unexpectedResponses.js";

/** Idle connections are closed this long before the target's timeout, so that no request is sent while it closes. */
const idleTimeoutMarginMs = 1_000;
/** Bytes of responses to other requests that are skipped while the response to the pending request is awaited. */
const maxSkippedBytes = 1024 * 1024;
/** For targets that do not send their idle timeout. */
const defaultIdleTimeoutMs = 5_000;
const continueStatus = 100;

export interface TargetResponse {
    readonly statusCode: number;
    readonly head: types.ResponseHead;
    readonly body: types.ResponseBody;
    /** False if the body ended with the connection, so that a truncated body cannot be detected. */
    readonly isDelimited: boolean;
    /** Resolves when the connection no longer receives this response; at once for a body that is held whole. */
    readonly received: Promise<void>;
    readonly connection: connectionInfo.ConnectionInfo;
}

export type SendResult =
    | { readonly kind: "response"; readonly response: TargetResponse }
    /** The connection broke, or the bytes received are not a response; the request may have run. */
    | { readonly kind: "broken"; readonly reason: string; readonly connection: connectionInfo.ConnectionInfo };

export interface ConnectionRequest {
    /** Serialized head and body; without the body if that is held back. */
    readonly bytes: readonly Uint8Array[];
    /** Body that is sent only when the server asks for it, which the head must tell it to do. */
    readonly heldBody?: HeldBody;
    /** Id that the response must echo; undefined for probes. */
    readonly id: string | undefined;
    readonly method: string;
    /** Called with the head of the response, also if the response breaks off later. */
    handleHead?(statusCode: number, head: types.ResponseHead): void;
}

export interface HeldBody {
    readonly bytes: readonly Uint8Array[];
    /** Called when the body is sent. */
    handleSent(): void;
}

export interface TargetConnection extends shared.Disposable {
    /** Sends a request; no other request may be in flight. */
    send(request: ConnectionRequest): Promise<SendResult>;
    /** Whether another request may be sent on this connection. */
    isReusable(nowMs: number): boolean;
    /** Whether a request with this id was sent on this connection, so that the id does not tell the responses apart. */
    hasCarried(id: string): boolean;
    /** Time since the last byte from the target. */
    computeIdleMs(nowMs: number): number;
    readonly address: shared.Address;
}

type PartialResponse = partialResponses.PartialResponse;

interface PendingRequest {
    readonly request: ConnectionRequest;
    readonly resolve: (result: SendResult) => void;
    readonly connection: connectionInfo.ConnectionInfo;
    isBodySent: boolean;
}

export interface ConnectionOptions {
    readonly socket: net.Socket;
    readonly address: shared.Address;
    /** Identifies the connection within its pool. */
    readonly number: number;
    readonly dialect: types.HttpDialect;
    readonly clock: shared.Clock;
    readonly readTurns: readControl.ReadTurns;
    /** Counts and logs responses that belong to no request, or to another one. */
    readonly recordUnexpected: unexpectedResponses.UnexpectedRecorder | undefined;
    onClose(): void;
}

/**
 * Creates the client side of an open connection.
 *
 * @param options - the socket and how to parse responses
 * @returns the connection
 */
export const createTargetConnection = (options: ConnectionOptions): TargetConnection => {
    const { socket, clock, dialect } = options;
    const reading = readControl.createReadControl(socket, options.readTurns);
    let pendingRequest: PendingRequest | undefined;
    let partialResponse: PartialResponse | undefined;
    let hasUnexpectedBytes = false;
    let isClosed = false;
    let skippedBytes = 0;
    let carriedRequests = 0;
    const ids = carriedIds.createCarriedIds();
    let lastId: string | undefined;
    /** Id of the first response that has arrived while no request was under way. */
    let strayId: string | undefined;
    let hasBytesAfterResponse = false;
    let lastByteAtMs = clock.now();
    let idleTimeoutMs = defaultIdleTimeoutMs;

    const recordUnexpected = unexpectedResponses.createConnectionRecorder(options);

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
        const streamed = partialResponse?.streamed;
        pendingRequest = undefined;
        partialResponse = undefined;
        options.onClose();
        abortedRequest?.resolve({ kind: "broken", reason, connection: abortedRequest.connection });
        streamed?.fail(reason);
        streamed?.resolveReceived();
    };

    /** Ends the pending request once its response is complete; the connection is kept only if it is in a known state. */
    const finishRequest = (response: PartialResponse): void => {
        const isSent = pendingRequest?.isBodySent === true && socket.writableLength === 0;
        // A copy of a HEAD response looks as if a body followed, and would take the next response for it.
        const isHead = pendingRequest?.request.method === "HEAD";
        pendingRequest = undefined;
        partialResponse = undefined;
        idleTimeoutMs = response.head.idleTimeoutMs ?? idleTimeoutMs;
        if (!response.parsed.isKeepAlive || hasUnexpectedBytes || !isSent || isHead) {
            close("not kept open");
        }
    };

    const resolveRequest = (response: PartialResponse, body: types.ResponseBody, received: Promise<void>): void => {
        const { head } = response;
        const { statusCode, isDelimited } = response.parsed;
        if (pendingRequest !== undefined) {
            const { connection, resolve } = pendingRequest;
            resolve({ kind: "response", response: { statusCode, head, body, isDelimited, received, connection } });
        }
    };

    /** Starts to pass on the body while it is received; the consumer's pace is the target's from here on. */
    const startStream = (response: PartialResponse): void => {
        const streamed = streamedBody.createStreamedBody({
            bodyBytes: response.parsed.bodyBytes,
            handleRead: () => reading.setConsumerBusy(false),
            handleAbandoned: () => close("response no longer needed"),
        });
        response.streamed = streamed;
        resolveRequest(response, streamed.body, streamed.received);
    };

    const write = (chunks: readonly Uint8Array[]): void => {
        socket.cork();
        chunks.forEach(bytes => socket.write(bytes));
        socket.uncork();
    };

    const handleInterim = (statusCode: number): void => {
        if (statusCode !== continueStatus || pendingRequest === undefined || pendingRequest.isBodySent) {
            return;
        }
        pendingRequest.isBodySent = true;
        const { heldBody } = pendingRequest.request;
        if (heldBody !== undefined) {
            heldBody.handleSent();
            write(heldBody.bytes);
        }
    };

    const handleHead = (parsed: responseParser.ParsedHead): void => {
        const head = dialect.parseResponseHead(parsed.statusCode, parsed.headers);
        if (pendingRequest === undefined) {
            hasUnexpectedBytes = true;
            strayId ??= head.id;
            return;
        }
        const expectedId = pendingRequest.request.id;
        if (head.id !== expectedId) {
            recordUnexpected(head.id === undefined ? "no-id" : "other-request", expectedId, head.id);
            if (head.id !== undefined || (ids.hasProbe() && !head.isSigned)) {
                // A late response to an earlier request or probe; the expected one follows it.
                hasUnexpectedBytes = true;
            } else {
                close("response without an id");
            }
            return;
        }
        pendingRequest.request.handleHead?.(parsed.statusCode, head);
        partialResponse = { parsed, head, held: joinedBytes.createJoinedBytes(), streamed: undefined };
    };

    /** Passes on what is held; called once for all pieces that arrive together. */
    const flushStream = (): void => {
        const { held, streamed } = partialResponse ?? {};
        if (held !== undefined && streamed !== undefined && held.count() > 0 && !streamed.push(held.take())) {
            reading.setConsumerBusy(true);
        }
    };

    const handleBody = (chunk: Buffer): void => {
        const response = partialResponse;
        if (response === undefined) {
            skippedBytes += chunk.length;
            if (skippedBytes > maxSkippedBytes) {
                close("too many bytes of other responses");
            }
            return;
        }
        response.held.add(chunk);
        if (response.streamed !== undefined || response.held.count() <= streamedBody.maxHeldBytes) {
            return;
        }
        if (partialResponses.isStreamable(response)) {
            startStream(response);
        } else {
            close("response too large");
        }
    };

    const handleEndOfResponse = (hasMoreBytes: boolean): void => {
        const response = partialResponse;
        if (response === undefined || pendingRequest === undefined) {
            return;
        }
        if (hasMoreBytes) {
            hasUnexpectedBytes = true;
            hasBytesAfterResponse = true;
        }
        const { streamed } = response;
        if (streamed === undefined) {
            resolveRequest(response, { kind: "whole", bytes: response.held.take() }, Promise.resolve());
            finishRequest(response);
            return;
        }
        flushStream();
        streamed.end();
        reading.setConsumerBusy(false);
        finishRequest(response);
        streamed.resolveReceived();
    };

    const parser = responseParser.createResponseParser({
        handleInterim,
        handleHead,
        handleBody,
        handleEnd: handleEndOfResponse,
    });

    const handleData = (chunk: Buffer): void => {
        lastByteAtMs = clock.now();
        // Bytes that were buffered while reading was paused may follow.
        if (isClosed) {
            return;
        }
        if (pendingRequest === undefined) {
            close("bytes without a request");
            // Only to log the id.
            parser.parse(chunk);
            recordUnexpected("no-request", lastId, strayId);
            return;
        }
        const fault = parser.parse(chunk);
        if (hasBytesAfterResponse) {
            recordUnexpected("after-response", lastId, strayId);
        }
        flushStream();
        if (fault !== undefined) {
            close(`not a response: ${fault}`);
        } else if (hasUnexpectedBytes && pendingRequest === undefined) {
            close("bytes after a response");
        }
        reading.handleRead(chunk.length);
    };

    /**
     * Whether the connection ended with a reset. A reset that arrives together with data is reported as an ordinary end
     * (libuv), but a connection that was reset has no remote address any more. Node.js keeps an address that was read
     * before, so this is the only place that reads it.
     */
    const wasReset = (): boolean => socket.remoteAddress === undefined;

    const handleSocketEnd = (): void => {
        if (partialResponse?.parsed.isDelimited === false && !wasReset()) {
            handleEndOfResponse(false);
        }
        close("closed by the target");
    };

    socket.setNoDelay(true);
    socket.on("data", handleData);
    socket.on("end", handleSocketEnd);
    socket.on("error", (error: NodeJS.ErrnoException) => close(error.code ?? error.message));
    socket.on("close", () => close("closed"));

    return {
        send: request =>
            new Promise(resolve => {
                const connection = { number: options.number, carriedRequests };
                if (isClosed) {
                    resolve({ kind: "broken", reason: "closed", connection });
                    return;
                }
                carriedRequests++;
                lastId = request.id;
                pendingRequest = { request, resolve, connection, isBodySent: request.heldBody === undefined };
                skippedBytes = 0;
                ids.record(request.id);
                parser.startRequest(request.method);
                write(request.bytes);
            }),
        isReusable: nowMs =>
            !isClosed &&
            !hasUnexpectedBytes &&
            pendingRequest === undefined &&
            !ids.isFull() &&
            nowMs - lastByteAtMs < idleTimeoutMs - idleTimeoutMarginMs,
        hasCarried: ids.has,
        computeIdleMs: nowMs => nowMs - lastByteAtMs,
        address: options.address,
        dispose: () => close("closed here"),
    };
};

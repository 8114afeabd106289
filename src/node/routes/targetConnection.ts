/**
 * An HTTP/1.1 connection to a target, one request at a time. A target may send bytes that belong to no request; they
 * end the connection and reach nobody.
 */
import * as net from "node:net";
import * as httpParser from "http-parser-js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/** Answers beyond this size are not passed on. */
const maxAnswerBytes = 64 * 1024 * 1024;
/** Idle connections are closed this long before the target would, so that a request does not cross its close. */
const idleMarginMs = 1_000;
/** Used for targets that do not tell their idle timeout. */
const defaultIdleMs = 5_000;

export interface TargetAnswer {
    readonly statusCode: number;
    readonly head: types.AnswerHead;
    readonly body: Buffer;
    /** False if the body ended with the connection: nobody can tell whether it is whole. */
    readonly isDelimited: boolean;
}

export type ExchangeResult =
    | { readonly kind: "answer"; readonly answer: TargetAnswer }
    /** The connection broke, or carried bytes that are no answer; the request may have run. */
    | { readonly kind: "broken"; readonly reason: string };

export interface ConnectionRequest {
    /** Head and body, ready to be sent. */
    readonly bytes: readonly Uint8Array[];
    /** Id that the answer must echo; undefined for probes. */
    readonly id: string | undefined;
    readonly method: string;
}

export interface TargetConnection extends shared.Disposable {
    /** Sends a request; no other one may be in flight. */
    send(request: ConnectionRequest): Promise<ExchangeResult>;
    /** Whether another request may be sent. */
    isReusable(nowMs: number): boolean;
    /** Time since the last byte from the target. */
    computeIdleMs(nowMs: number): number;
    readonly address: shared.Address;
}

interface Pending {
    readonly request: ConnectionRequest;
    readonly resolve: (result: ExchangeResult) => void;
}

interface PartialAnswer {
    readonly statusCode: number;
    readonly head: types.AnswerHead;
    readonly chunks: Buffer[];
    bytes: number;
    readonly keepsAlive: boolean;
    readonly isDelimited: boolean;
}

export interface ConnectionOptions {
    readonly socket: net.Socket;
    readonly address: shared.Address;
    readonly dialect: types.HttpDialect;
    readonly clock: shared.Clock;
    onClose(): void;
}

/** Whether the headers delimit the body; otherwise it ends with the connection. */
const hasLength = (headers: readonly string[]): boolean =>
    headers.some((name, index) => index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(name));

/**
 * Creates the client side of an open connection.
 *
 * @param options - the socket and how to read answers
 * @returns the connection
 */
export const createTargetConnection = (options: ConnectionOptions): TargetConnection => {
    const { socket, clock, dialect } = options;
    const parser = new httpParser.HTTPParser("RESPONSE");
    let pending: Pending | undefined;
    let partial: PartialAnswer | undefined;
    let isSpoiled = false;
    let isClosed = false;
    let lastByteAtMs = clock.now();
    let idleTimeoutMs = defaultIdleMs;

    const close = (reason: string): void => {
        if (isClosed) {
            return;
        }
        isClosed = true;
        if (pending === undefined) {
            socket.destroy();
        } else {
            // A reset also drops bytes that have not reached the target yet; it must not begin an abandoned request.
            socket.resetAndDestroy();
        }
        const waiting = pending;
        pending = undefined;
        options.onClose();
        waiting?.resolve({ kind: "broken", reason });
    };

    const deliver = (answer: PartialAnswer): void => {
        const waiting = pending;
        pending = undefined;
        const keepsOpen = answer.keepsAlive && !isSpoiled && socket.writableLength === 0;
        idleTimeoutMs = answer.head.idleTimeoutMs ?? idleTimeoutMs;
        if (!keepsOpen) {
            close("not kept open");
        }
        const { statusCode, head, chunks, isDelimited } = answer;
        waiting?.resolve({ kind: "answer", answer: { statusCode, head, body: Buffer.concat(chunks), isDelimited } });
    };

    const handleHeaders = (info: {
        readonly statusCode: number;
        readonly headers: string[];
        readonly shouldKeepAlive: boolean;
    }): number => {
        if (info.statusCode < 200) {
            return 0;
        }
        if (pending === undefined) {
            isSpoiled = true;
            return 0;
        }
        const isDelimited = hasLength(info.headers) || info.statusCode === 204 || info.statusCode === 304;
        const head = dialect.readAnswer(info.statusCode, info.headers);
        const keepsAlive = info.shouldKeepAlive && isDelimited;
        partial = { statusCode: info.statusCode, head, chunks: [], bytes: 0, keepsAlive, isDelimited };
        return pending.request.method === "HEAD" ? 1 : 0;
    };

    const handleComplete = (): void => {
        const answer = partial;
        partial = undefined;
        if (answer === undefined || pending === undefined) {
            return;
        }
        if (pending.request.id !== undefined && answer.head.id !== undefined && answer.head.id !== pending.request.id) {
            // An answer to an earlier request; the one that is waited for comes behind it.
            isSpoiled = true;
            return;
        }
        deliver(answer);
    };

    parser[httpParser.HTTPParser.kOnHeaders] = () => undefined;
    parser[httpParser.HTTPParser.kOnHeadersComplete] = handleHeaders;
    parser[httpParser.HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
        if (partial === undefined) {
            return;
        }
        partial.bytes += length;
        if (partial.bytes > maxAnswerBytes) {
            close("answer too large");
            return;
        }
        partial.chunks.push(chunk.subarray(offset, offset + length));
    };
    parser[httpParser.HTTPParser.kOnMessageComplete] = handleComplete;

    const handleData = (chunk: Buffer): void => {
        lastByteAtMs = clock.now();
        if (pending === undefined) {
            close("bytes without a request");
            return;
        }
        const result = parser.execute(chunk);
        if (result instanceof Error) {
            close(`not an answer: ${result.message}`);
        } else if (isSpoiled && pending === undefined) {
            close("bytes behind an answer");
        }
    };

    const handleEnd = (): void => {
        if (partial?.isDelimited === false) {
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
                pending = { request, resolve };
                socket.cork();
                for (const bytes of request.bytes) {
                    socket.write(bytes);
                }
                socket.uncork();
            }),
        isReusable: nowMs =>
            !isClosed && !isSpoiled && pending === undefined && nowMs - lastByteAtMs < idleTimeoutMs - idleMarginMs,
        computeIdleMs: nowMs => nowMs - lastByteAtMs,
        address: options.address,
        dispose: () => close("closed here"),
    };
};

/**
 * Parses responses of targets. The library accepts malformed lengths and chunk sizes, some of which make a truncated body
 * look whole, and holds chunk sizes and trailers of any length; here these are errors.
 */
import * as httpParser from "http-parser-js";
import * as errorText from "../../common/errors/errorText.js";
import * as headSyntax from "./headSyntax.js";

/** Status line, headers, chunk sizes and trailers of all responses to one request, interim responses included. */
const maxOverheadBytes = 64 * 1024;
/** Additional overhead per byte of the body; a chunk of one byte has an overhead of 5 bytes. */
const maxOverheadPerBodyByte = 8;
const maxInterimResponses = 16;

/** The default clears the highest bit of each byte, which HTTP allows in header values. */
httpParser.HTTPParser.encoding = "latin1";

const contentLengthPattern = /^\d{1,15}$/;
const chunkSizePattern = /^[\da-f]{1,8}[ \t]*(;.*)?$/i;
const minStatusCode = 100;
/** The target would change the protocol, which no request asks for. */
const switchingProtocolsStatus = 101;

/** Head of a final response. */
export interface ParsedHead {
    readonly statusCode: number;
    /** Names and values alternating. */
    readonly headers: string[];
    /** Whether the target keeps the connection open. */
    readonly isKeepAlive: boolean;
    /** False if the end of the connection delimits the body. */
    readonly isDelimited: boolean;
    /** Length of the body; undefined if the headers do not state it. */
    readonly bodyBytes: number | undefined;
}

export interface ResponseHandlers {
    /** Called with the status of each interim response. */
    handleInterim(statusCode: number): void;
    /** Called with each final response's head. */
    handleHead(head: ParsedHead): void;
    handleBody(chunk: Buffer): void;
    /**
     * Called at the end of each final response that is delimited.
     *
     * @param hasMoreBytes - whether further bytes have already arrived
     */
    handleEnd(hasMoreBytes: boolean): void;
}

export interface ResponseParser {
    /** Starts counting the overhead of a new request. */
    startRequest(method: string): void;
    /**
     * Parses received bytes.
     *
     * @param chunk - the bytes
     * @returns why the bytes are not a response; undefined if they are
     */
    parse(chunk: Buffer): string | undefined;
}

/** Members of the parser that its type does not declare; the version of the library is pinned for them. */
interface ParserInternals {
    readonly offset: number;
    readonly end: number;
    state: string;
    body_bytes: number | null;
    consumeLine(): string | undefined;
    BODY_CHUNKHEAD(): void;
}

const listValues = (headers: readonly string[], name: string): string[] =>
    headers.filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name);

/** Checks a head for what cannot be passed on; throws if it is malformed. */
const checkHead = (statusCode: number, headers: readonly string[]): void => {
    if (statusCode < minStatusCode || statusCode === switchingProtocolsStatus) {
        throw new Error("unknown status code");
    }
    const fault = headSyntax.checkHeaders(headers);
    if (fault !== undefined) {
        throw new Error(fault);
    }
};

/** How the headers delimit the body. */
type Framing =
    | { readonly kind: "length"; readonly bytes: number }
    | { readonly kind: "chunked" }
    /** The end of the connection delimits the body. */
    | { readonly kind: "none" };

/** Reads how the body is delimited; throws if its length is malformed or ambiguous. */
const readFraming = (headers: readonly string[]): Framing => {
    const lengths = listValues(headers, "content-length");
    const encodings = listValues(headers, "transfer-encoding");
    if (lengths.some(length => !contentLengthPattern.test(length))) {
        throw new Error("malformed content length");
    }
    if (encodings.length > 1 || encodings.some(encoding => encoding.toLowerCase() !== "chunked")) {
        throw new Error("unknown transfer encoding");
    }
    const [length] = lengths;
    if (length === undefined) {
        return { kind: encodings.length > 0 ? "chunked" : "none" };
    }
    if (encodings.length > 0) {
        throw new Error("content length beside a transfer encoding");
    }
    return { kind: "length", bytes: Number(length) };
};

const hasNoBody = (statusCode: number): boolean => statusCode === 204 || statusCode === 304;

/**
 * Creates the parser of a connection.
 *
 * @param handlers - called while bytes are parsed
 * @returns the parser
 */
export const createResponseParser = (handlers: ResponseHandlers): ResponseParser => {
    const parser = new httpParser.HTTPParser("RESPONSE");
    const internals = parser as unknown as ParserInternals;
    let isInterim = false;
    let method = "GET";
    let receivedBytes = 0;
    let bodyBytes = 0;
    let interimResponses = 0;

    const handleHead = (info: httpParser.HeaderInfo): number => {
        const { statusCode, headers } = info;
        checkHead(statusCode, headers);
        const framing = readFraming(headers);
        isInterim = statusCode < 200;
        if (isInterim) {
            if (++interimResponses > maxInterimResponses) {
                throw new Error("too many interim responses");
            }
            handlers.handleInterim(statusCode);
            return 0;
        }
        const isEmpty = method === "HEAD" || hasNoBody(statusCode);
        const isDelimited = isEmpty || framing.kind !== "none";
        handlers.handleHead({
            statusCode,
            headers,
            isKeepAlive: info.shouldKeepAlive && isDelimited,
            isDelimited,
            bodyBytes: framing.kind === "length" ? framing.bytes : undefined,
        });
        return isEmpty ? 1 : 0;
    };

    parser[httpParser.HTTPParser.kOnHeaders] = () => undefined;
    parser[httpParser.HTTPParser.kOnHeadersComplete] = handleHead;
    parser[httpParser.HTTPParser.kOnBody] = (chunk: Buffer, offset: number, length: number) => {
        bodyBytes += length;
        handlers.handleBody(chunk.subarray(offset, offset + length));
    };
    parser[httpParser.HTTPParser.kOnMessageComplete] = () => {
        if (!isInterim) {
            handlers.handleEnd(internals.offset < internals.end);
        }
    };
    // The library takes a chunk size that is no number for the last chunk, so that a truncated body would look whole.
    internals.BODY_CHUNKHEAD = () => {
        const line = internals.consumeLine();
        if (line === undefined) {
            return;
        }
        if (!chunkSizePattern.test(line)) {
            throw new Error("malformed chunk size");
        }
        internals.body_bytes = Number.parseInt(line, 16);
        internals.state = internals.body_bytes === 0 ? "BODY_CHUNKTRAILERS" : "BODY_CHUNK";
    };

    const hasTooMuchOverhead = (): boolean =>
        receivedBytes - bodyBytes > maxOverheadBytes + maxOverheadPerBodyByte * bodyBytes;

    return {
        startRequest: requestMethod => {
            method = requestMethod;
            receivedBytes = 0;
            bodyBytes = 0;
            interimResponses = 0;
        },
        parse: chunk => {
            receivedBytes += chunk.length;
            try {
                const result = parser.execute(chunk);
                if (result instanceof Error) {
                    return result.message;
                }
            } catch (error) {
                // Errors of the handlers above leave the library as exceptions.
                return errorText.toErrorText(error);
            }
            return hasTooMuchOverhead() ? "too many bytes that are no body" : undefined;
        },
    };
};

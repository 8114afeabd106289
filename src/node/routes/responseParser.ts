/**
 * Parses responses of targets. The library accepts malformed lengths and chunk sizes, some of which make a truncated body
 * look whole, and holds lines and trailers of any length; here these are errors. All lines are read here: the library's
 * patterns for headers take a time that grows with the square of a line's blanks.
 */
import * as httpParser from "http-parser-js";
import * as errorText from "../../common/errors/errorText.js";
import * as headSyntax from "./headSyntax.js";

/** Status line, headers, chunk sizes and trailers of all responses to one request, interim responses included. */
const maxOverheadBytes = 64 * 1024;
/** Additional overhead per byte of the body; a chunk of one byte has an overhead of 5 bytes. */
const maxOverheadPerBodyByte = 1;
const maxLineBytes = 64 * 1024;
const maxInterimResponses = 16;
const lineFeed = 0x0a;

const statusLinePattern = /HTTP\/\d\.\d \d{3}/;
/** The library reads the first three digits of a longer status, so that 2000 would be a success and 1000 an interim response. */
const responseLinePattern = /^HTTP\/\d\.\d \d{3}(?: |$)/;
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
    readonly chunk: Buffer;
    offset: number;
    readonly end: number;
    state: string;
    body_bytes: number | null;
    /** The part of the current line that earlier chunks contained. */
    line: string;
    readonly trailers: readonly string[];
    /** Reads a line; undefined if its end has not arrived yet. */
    consumeLine(): string | undefined;
    parseHeader(line: string, headers: string[]): void;
    BODY_CHUNKHEAD(): void;
}

const isBlank = (text: string, index: number): boolean => text[index] === " " || text[index] === "\t";

/** Removes blanks at both ends. `String.prototype.trim` also removes other characters, such as the byte 0xa0. */
const trimBlanks = (text: string): string => {
    let start = 0;
    let end = text.length;
    while (start < end && isBlank(text, start)) {
        start++;
    }
    while (end > start && isBlank(text, end - 1)) {
        end--;
    }
    return text.slice(start, end);
};

/** Parses a header; throws if the line is none. Lines that continue a header are obsolete, and are none either. */
/**
 * Throws if the text of a line contains the status line of another response: the head before it has broken off within the
 * line, and the two would be taken for one.
 */
const checkUnbroken = (text: string): void => {
    if (statusLinePattern.test(text)) {
        throw new Error("status line within a head");
    }
};

const parseHeaderLine = (line: string): readonly [name: string, value: string] => {
    const colonAt = line.indexOf(":");
    const name = line.slice(0, Math.max(0, colonAt));
    const value = trimBlanks(line.slice(colonAt + 1));
    const fault = headSyntax.checkHeader(name, value);
    if (fault !== undefined) {
        throw new Error(fault);
    }
    checkUnbroken(value);
    return [name, value];
};

const listValues = (headers: readonly string[], name: string): string[] =>
    headers.filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name);

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
    let overheadBytes = 0;
    let bodyBytes = 0;
    let interimResponses = 0;

    const handleHead = (info: httpParser.HeaderInfo): number => {
        const { statusCode, headers } = info;
        if (statusCode < minStatusCode || statusCode === switchingProtocolsStatus) {
            throw new Error("unknown status code");
        }
        checkUnbroken(info.statusMessage);
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
    /** Checks the bytes of a line before they are decoded. */
    const recordLineBytes = (bytes: number): void => {
        overheadBytes += bytes;
        if (overheadBytes > maxOverheadBytes + maxOverheadPerBodyByte * bodyBytes) {
            throw new Error("too many bytes that are no body");
        }
        if (internals.line.length + bytes > maxLineBytes) {
            throw new Error("line too long");
        }
    };

    internals.consumeLine = () => {
        const { chunk, offset } = internals;
        const lineEnd = chunk.indexOf(lineFeed, offset);
        const end = lineEnd < 0 ? internals.end : lineEnd + 1;
        recordLineBytes(end - offset);
        // In this encoding each character is a byte, also those above 0x7f, which HTTP allows in values.
        const text = internals.line + chunk.toString("latin1", offset, end);
        internals.offset = end;
        internals.line = lineEnd < 0 ? text : "";
        if (lineEnd < 0) {
            return undefined;
        }
        const line = text.slice(0, text.endsWith("\r\n") ? -2 : -1);
        if (internals.state === "RESPONSE_LINE" && !responseLinePattern.test(line)) {
            throw new Error("malformed status line");
        }
        return line;
    };
    internals.parseHeader = (line, headers) => {
        const header = parseHeaderLine(line);
        // Trailers are not passed on.
        if (headers !== internals.trailers) {
            headers.push(...header);
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

    return {
        startRequest: requestMethod => {
            method = requestMethod;
            overheadBytes = 0;
            bodyBytes = 0;
            interimResponses = 0;
        },
        parse: chunk => {
            try {
                const result = parser.execute(chunk);
                return result instanceof Error ? result.message : undefined;
            } catch (error) {
                // Errors of the handlers above leave the library as exceptions.
                return errorText.toErrorText(error);
            }
        },
    };
};

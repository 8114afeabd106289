/**
 * Syntax of the heads of requests and responses (RFC 9110 and 9112), where the parsers accept more.
 */
import type * as http from "node:http";
import * as types from "./Types.js";

const namePattern = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;
/** Control characters other than tabs would end the receiver's header, or cannot be written. */
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
const urlPattern = /^[\x21-\x7e\x80-\xff]+$/;

/**
 * Checks a header.
 *
 * @param name - the name
 * @param value - the value, one character per byte
 * @returns the fault; undefined if there is none
 */
export const checkHeader = (name: string, value: string): string | undefined => {
    if (!namePattern.test(name)) {
        return "malformed header name";
    }
    return valuePattern.test(value) ? undefined : "malformed header value";
};

/**
 * Checks the URL of a request line.
 *
 * @param text - the URL, one character per byte
 * @returns whether it contains neither blanks nor control characters, at which a receiver may end it
 */
export const isRequestUrl = (text: string): boolean => urlPattern.test(text);

/**
 * Checks headers.
 *
 * @param headers - names and values alternating
 * @returns the first fault; undefined if there is none
 */
export const checkHeaders = (headers: readonly string[]): string | undefined => {
    for (let index = 0; index < headers.length; index += 2) {
        const fault = checkHeader(headers[index] ?? "", headers[index + 1] ?? "");
        if (fault !== undefined) {
            return fault;
        }
    }
    return undefined;
};

/** `: ` after a name, and the line break after a value. */
const separatorBytes = 2;

const countHeaderBytes = (headers: types.RawHeaders): number =>
    headers.reduce((sum, text) => sum + text.length + separatorBytes, 0);

/**
 * Checks the head of a request that the HTTP server has read.
 *
 * @param request - the request
 * @param maxHeaderBytes - the configured limit
 * @returns the status and the reason of the refusal; undefined if the head can be passed on
 */
export const checkHead = (
    request: Pick<http.IncomingMessage, "rawHeaders" | "headers" | "httpVersion" | "url">,
    maxHeaderBytes: number,
): { readonly statusCode: number; readonly reason: string } | undefined => {
    const { rawHeaders, headers, httpVersion, url = "" } = request;
    if (countHeaderBytes(rawHeaders) > maxHeaderBytes) {
        return { statusCode: 431, reason: "header too large" };
    }
    const hasHost = httpVersion !== "1.1" || headers.host !== undefined;
    return hasHost && isRequestUrl(url) && checkHeaders(rawHeaders) === undefined
        ? undefined
        : { statusCode: 400, reason: "malformed request head" };
};

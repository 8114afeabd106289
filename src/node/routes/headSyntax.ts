/**
 * Syntax of the heads of requests and responses (RFC 9110 and 9112), where the parsers accept more.
 */

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

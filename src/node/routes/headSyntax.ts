/**
 * Syntax of the heads of requests and responses (RFC 9110 and 9112), where the parsers accept more.
 */

const namePattern = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;
/** Control characters other than tabs would end the receiver's header, or cannot be written. */
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
const urlPattern = /^[\x21-\x7e\x80-\xff]+$/;

/**
 * Checks a header's name.
 *
 * @param text - the name
 * @returns whether it is a token
 */
export const isHeaderName = (text: string): boolean => namePattern.test(text);

/**
 * Checks a header's value.
 *
 * @param text - the value, one character per byte
 * @returns whether it contains no control characters other than tabs
 */
export const isHeaderValue = (text: string): boolean => valuePattern.test(text);

/**
 * Checks the URL of a request line.
 *
 * @param text - the URL, one character per byte
 * @returns whether it contains neither blanks nor control characters, at which a receiver may end it
 */
export const isRequestUrl = (text: string): boolean => urlPattern.test(text);

/**
 * Checks names and values.
 *
 * @param headers - names and values alternating
 * @returns the fault; undefined if there is none
 */
export const checkHeaders = (headers: readonly string[]): string | undefined => {
    for (let index = 0; index < headers.length; index += 2) {
        if (!isHeaderName(headers[index] ?? "")) {
            return "malformed header name";
        }
        if (!isHeaderValue(headers[index + 1] ?? "")) {
            return "malformed header value";
        }
    }
    return undefined;
};

/**
 * What routes are looked up by: the host and the path of a request.
 */

/**
 * Splits a URL.
 *
 * @param url - path and query as sent by the client
 * @returns the path, and the query with its question mark or empty
 */
export const splitUrl = (url: string): { readonly path: string; readonly query: string } => {
    const at = url.indexOf("?");
    return at < 0 ? { path: url, query: "" } : { path: url.slice(0, at), query: url.slice(at) };
};

/**
 * Strips the port from a host.
 *
 * @param host - value of the header
 * @returns the name in lower case
 */
export const stripPort = (host: string): string => host.replace(/:\d+$/, "").toLowerCase();

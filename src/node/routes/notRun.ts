/**
 * Statuses by which clients are told that their request has not run and will not run.
 */

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Who a client's response with such a status comes from: this VM, another one, or a target. */
export type NotRunSource = "vm" | "peer" | "target";

/**
 * Returns whether a status promises that the request has not run and will not run.
 *
 * @param statusCode - status of a response to a client
 * @returns true if a client may send the request again, whatever its kind
 */
export const isNotRunStatus = (statusCode: number): boolean => notRunStatuses.has(statusCode);

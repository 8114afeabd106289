/**
 * The connection of an attempt, for logs.
 */

export interface ConnectionInfo {
    /** Identifies the connection within its pool. */
    readonly number: number;
    /** Requests that the connection had carried before this one. */
    readonly carriedRequests: number;
}

/**
 * Responses on connections to targets that belong to no request, or to another one than the one under way.
 */
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";

/** Ids are copied from requests and responses, and may be as long as a header. */
const maxLoggedIdLength = 100;

/**
 * Why a response is unexpected: it has the id of another request, or none, or its bytes arrived while no request was under way
 * or right after a response. Its connection is closed, at once or after the response that is awaited.
 */
export type UnexpectedKind = "other-request" | "no-request" | "after-response" | "no-id";

export interface UnexpectedResponse {
    readonly kind: UnexpectedKind;
    readonly address: shared.Address;
    /** Number of the connection. */
    readonly connection: number;
    /** Id of the request under way, otherwise of the last one on the connection; undefined if that is a probe. */
    readonly expectedId: string | undefined;
    /** Undefined if the response has no id, or its head has not been received whole. */
    readonly receivedId: string | undefined;
    /** Whether it is the first one on its connection, which is given no further request. */
    readonly isFirst: boolean;
}

export type UnexpectedRecorder = (response: UnexpectedResponse) => void;

const cutId = (id: string | undefined): string | undefined =>
    id !== undefined && id.length > maxLoggedIdLength ? `${id.slice(0, maxLoggedIdLength)}...` : id;

/**
 * Creates a function that counts unexpected responses and logs the first one of each connection, so that a target with many
 * of them does not displace other lines.
 *
 * @param logger - receives the log lines
 * @param getMetrics - returns the counter, which may be created after the function
 * @returns the function
 */
export const createUnexpectedRecorder =
    (
        logger: shared.Logger,
        getMetrics: () => Pick<metrics.RouteMetrics, "recordUnexpectedResponse">,
    ): UnexpectedRecorder =>
    ({ kind, address, connection, expectedId, receivedId, isFirst }) => {
        getMetrics().recordUnexpectedResponse(kind);
        if (isFirst) {
            logger.warn("connection: unexpected response", {
                request: cutId(expectedId),
                kind,
                received: cutId(receivedId),
                address,
                connection,
            });
        }
    };

/**
 * Creates a function that records the unexpected responses of one connection.
 *
 * @param connection - the connection, and what records the responses of all connections
 * @returns the function
 */
export const createConnectionRecorder = (connection: {
    readonly address: shared.Address;
    readonly number: number;
    readonly recordUnexpected: UnexpectedRecorder | undefined;
}): ((kind: UnexpectedKind, expectedId: string | undefined, receivedId: string | undefined) => void) => {
    const { address, number, recordUnexpected } = connection;
    let isFirst = true;
    return (kind, expectedId, receivedId) => {
        recordUnexpected?.({ kind, address, connection: number, expectedId, receivedId, isFirst });
        isFirst = false;
    };
};

/**
 * What the kind of a route implies for its requests.
 */
import * as types from "./Types.js";

/**
 * Checks whether requests of a kind may run more than once.
 *
 * @param kind - the route's kind
 * @returns true if a request may be retried and hedged
 */
export const isIdempotent = (kind: types.RouteKind): boolean => {
    switch (kind) {
        case "idempotent":
        case "download":
            return true;
        case "non-idempotent":
        case "upload":
            return false;
    }
};

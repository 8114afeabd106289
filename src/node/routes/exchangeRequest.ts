/**
 * A request that this VM runs, and how it ends.
 */
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as drainControl from "./drainControl.js";
import * as targetConnection from "./targetConnection.js";
import * as targetSender from "./targetSender.js";

export interface ExchangeRequest {
    readonly outgoing: targetSender.OutgoingRequest;
    readonly route: routes.Route;
    readonly service: shared.ServiceName;
    /** Latest time of the final response, on the local monotonic clock. */
    readonly deadlineAtMs: number;
    readonly fingerprint: string;
    /** Organisation of the caller; undefined if the caller needs no key. */
    readonly organisation?: shared.OrganisationName;
    /** Version of the configuration by which the request was routed. */
    readonly configurationVersion: number;
    /** Aborted when the client disconnects. */
    readonly signal: AbortSignal;
}

export type FinalResponse =
    | { readonly kind: "target"; readonly response: targetConnection.TargetResponse; readonly target: shared.TargetId }
    /** The request did not run and will not. */
    | { readonly kind: "refused"; readonly reason: string; readonly retryAfterMs: number }
    /** The request may have run. */
    | { readonly kind: "failed"; readonly reason: string; readonly statusCode: 500 | 502 | 504 }
    | { readonly kind: "abandoned" };

/** No target is reached any more; another VM may run the request at up to `maxTargets` further targets. */
export interface Unreached {
    readonly kind: "unreached";
    readonly maxTargets: number;
    /** Whether the request may have run. */
    readonly mayHaveRun: boolean;
}

/** How a request ends at this VM alone. */
export type ExchangeEnd = FinalResponse | Unreached;

/**
 * Returns what decides whether a request may begin while the VM drains.
 *
 * @param request - the request
 * @returns its id, route and deadline
 */
export const toDrainingRequest = (request: ExchangeRequest): drainControl.DrainingRequest => ({
    id: request.outgoing.id,
    route: request.route,
    deadlineAtMs: request.deadlineAtMs,
});

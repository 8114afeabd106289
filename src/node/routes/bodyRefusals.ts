/**
 * Bodies of clients' requests that are not read to their end, or cannot be.
 */
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";
import * as requestBody from "./requestBody.js";

export type RefusedBodyReason =
    "aborted" | "malformed" | "too-large" | "no-room" | "no-progress" | "too-slow" | "draining";

export interface RefusedBody {
    readonly statusCode: number;
    readonly reason: RefusedBodyReason;
}

/**
 * Converts the end of a body that is not whole. Nothing has run, so that 408 and 503 are true.
 *
 * @param body - the end
 * @returns the status for the client, and the reason
 */
export const toRefusedBody = (body: Exclude<requestBody.RequestBody, { readonly kind: "whole" }>): RefusedBody => {
    switch (body.kind) {
        case "aborted":
        case "malformed":
            return { statusCode: 400, reason: body.kind };
        case "too-large":
            return { statusCode: 413, reason: body.kind };
        case "draining":
            return { statusCode: 503, reason: body.kind };
        case "refused":
            return { statusCode: body.refusal === "no-room" ? 503 : 408, reason: body.refusal };
    }
};

/**
 * Creates a function that logs and counts refused bodies.
 *
 * @param options - log, counter, and the use of the budget
 * @returns the function
 */
export const createRefusalRecorder =
    (options: {
        readonly logger: shared.Logger;
        readonly metrics: Pick<metrics.RouteMetrics, "recordRefusedBody">;
        countReservedBytes(): number;
        countWaiting(): number;
    }): ((refusal: RefusedBody) => void) =>
    ({ statusCode, reason }) => {
        options.metrics.recordRefusedBody(reason);
        if (reason !== "aborted") {
            const budget = { reservedBytes: options.countReservedBytes(), waiting: options.countWaiting() };
            options.logger.warn("frontend: body refused", { status: statusCode, reason, ...budget });
        }
    };

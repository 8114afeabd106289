/**
 * What a target says of itself in the headers of an answer.
 */
import type * as http from "node:http";
import * as ids from "../../common/ids.js";
import * as routing from "../../common/routing/Types.js";
import * as headers from "./headers.js";

const maxBootLength = 64;

const parseBusy = (value: string | string[] | undefined): number | undefined => {
    const busy = Number(value);
    return typeof value === "string" && Number.isInteger(busy) && busy >= 0 ? busy : undefined;
};

/**
 * Reads a target's report.
 *
 * @param received - headers of its answer
 * @returns the report, or undefined if there is none or its state is not known
 */
export const parseTargetReport = (received: http.IncomingHttpHeaders): routing.TargetReport | undefined => {
    const state = received[headers.headerNames.targetState];
    if (state !== "cold" && state !== "warm" && state !== "draining") {
        return undefined;
    }
    const boot = received[headers.headerNames.targetBoot];
    return {
        state,
        busy: parseBusy(received[headers.headerNames.targetBusy]),
        boot: typeof boot === "string" && boot.length <= maxBootLength ? ids.toBootId(boot) : undefined,
    };
};

/**
 * Tells whether a target refused a call before it started.
 *
 * @param head - head of the answer
 * @param head.status - HTTP status
 * @param head.headers - headers
 * @returns true only if the target says so; a plain 503 may come from a call that was running
 */
export const isRefusal = (head: { readonly status: number; readonly headers: http.IncomingHttpHeaders }): boolean =>
    head.status >= 400 && head.headers[headers.headerNames.outcome] === "not-run";

/**
 * Parses the state that a target reports in its response headers.
 */
import type * as http from "node:http";
import * as ids from "../../common/ids.js";
import * as routing from "../../common/routing/Types.js";
import * as headers from "./headers.js";

const maxBootIdLength = 64;

const parseBusy = (value: string | string[] | undefined): number | undefined => {
    const busy = Number(value);
    return typeof value === "string" && Number.isInteger(busy) && busy >= 0 ? busy : undefined;
};

/**
 * Parses a target's report.
 *
 * @param responseHeaders - headers of the target's response
 * @returns the report, or undefined if there is none or its state is unknown
 */
export const parseTargetReport = (responseHeaders: http.IncomingHttpHeaders): routing.TargetReport | undefined => {
    const state = responseHeaders[headers.headerNames.targetState];
    if (state !== "cold" && state !== "warm" && state !== "draining") {
        return undefined;
    }
    const boot = responseHeaders[headers.headerNames.targetBoot];
    return {
        state,
        busy: parseBusy(responseHeaders[headers.headerNames.targetBusy]),
        boot: typeof boot === "string" && boot.length <= maxBootIdLength ? ids.toBootId(boot) : undefined,
    };
};

/**
 * Checks whether a target refused a call before it started to run it.
 *
 * @param head - head of the response
 * @param head.status - HTTP status
 * @param head.headers - headers
 * @returns true only if the outcome header says so; a 503 without it may come from a call that was running
 */
export const isRefusal = (head: { readonly status: number; readonly headers: http.IncomingHttpHeaders }): boolean =>
    head.status >= 400 && head.headers[headers.headerNames.outcome] === "not-run";

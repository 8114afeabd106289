/**
 * Looks up the routes of requests that are still being received while the VM drains.
 */
import * as routeTable from "../../common/routes/routeTable.js";
import * as drainControl from "./drainControl.js";
import * as frontendServer from "./frontendServer.js";
import * as requestUrl from "./requestUrl.js";
import * as types from "./Types.js";

/** What the server for clients asks, and reports, while the VM drains. */
export type DrainingHeads = Pick<frontendServer.FrontendOptions, "mayBegin" | "recordCutOff">;

/**
 * Creates the look-up.
 *
 * @param options - HTTP dialect, routes, and the control that decides
 * @returns the look-up; what has no route may begin, as it is refused for that
 */
export const createDrainingHeads = (options: {
    readonly dialect: Pick<types.HttpDialect, "parseRequestHead">;
    readonly drain: Pick<drainControl.DrainControl, "mayBegin" | "recordCutOff">;
    getTable(): routeTable.RouteTable | undefined;
}): DrainingHeads => ({
    mayBegin: ({ url, headers, receivedAtMs }, phase) => {
        const { id, host, clientTimeoutMs = Infinity } = options.dialect.parseRequestHead(headers);
        const route = options.getTable()?.find(requestUrl.stripPort(host), requestUrl.splitUrl(url).path);
        if (route === undefined) {
            return true;
        }
        const deadlineAtMs = receivedAtMs + Math.min(route.timeoutMs, clientTimeoutMs);
        return options.drain.mayBegin({ id, route, deadlineAtMs }, phase);
    },
    recordCutOff: ({ headers, phase, ageMs }) =>
        options.drain.recordCutOff({ id: options.dialect.parseRequestHead(headers).id, phase, ageMs }),
});

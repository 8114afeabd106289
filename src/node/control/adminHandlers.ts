/**
 * JSON-RPC methods of an entry daemon for operators.
 */
import * as blackboard from "../../common/blackboard/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import * as front from "../front/Types.js";
import * as peers from "../peers/Types.js";

export interface AdminOptions {
    readonly board: blackboard.Blackboard;
    readonly clock: shared.Clock;
    readonly dispatcher: routing.Dispatcher;
    readonly traces: front.TraceStore;
}

const toTargetStatus = (options: AdminOptions, view: routing.TargetView): peers.TargetStatus => ({
    target: view.target.id,
    service: view.service,
    zone: view.target.zone,
    owner: options.board.self.vm,
    state: view.state.kind,
    limit: view.limit,
    inFlight: view.inFlight,
    latencyMs: view.latencyMs,
    reportAgeMs: view.reportedAtMs === undefined ? undefined : options.clock.now() - view.reportedAtMs,
});

/**
 * Creates the handlers of the operators' methods.
 *
 * @param options - the components whose state the methods return
 * @returns handlers for the JSON-RPC server
 */
export const createAdminHandlers = (options: AdminOptions): peers.RpcHandlers => ({
    "admin.targets": () => {
        const owned = options.dispatcher.listTargets().filter(view => view.owned);
        return Promise.resolve({ targets: owned.map(view => toTargetStatus(options, view)) });
    },
    "admin.explain": params => {
        const steps = options.traces.find(params.call);
        const trace = steps === undefined ? undefined : { call: params.call, vm: options.board.self.vm, steps };
        return Promise.resolve({ trace });
    },
});

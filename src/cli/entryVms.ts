/**
 * Calls RPC methods on all entry VMs in the platform's VM list.
 */
import * as peers from "../node/peers/Types.js";
import * as platform from "../node/platform/Types.js";
import * as cli from "./Types.js";

/** Timeout of one call to an entry VM. */
const callTimeoutMs = 2_000;

export interface VmResponse<M extends peers.RpcMethod> {
    readonly listed: platform.ListedVm;
    readonly response: peers.RpcResult<M>;
}

export type CallEntryVmsResult<M extends peers.RpcMethod> =
    | { readonly kind: "called"; readonly responses: readonly VmResponse<M>[] }
    | { readonly kind: "failed"; readonly cause: string };

/**
 * Calls a method on each entry VM in the platform's VM list.
 *
 * @param connections - clients for the platform and the entry VMs
 * @param method - the RPC method
 * @param params - parameters of the method
 * @returns the responses, sorted by VM name
 */
export const callEntryVms = async <M extends peers.RpcMethod>(
    connections: cli.Connections,
    method: M,
    params: peers.RpcMethods[M]["params"],
): Promise<CallEntryVmsResult<M>> => {
    const list = await connections.platform.vms.list({ role: "entry" });
    if (list.kind === "unavailable") {
        return { kind: "failed", cause: `the platform's list of VMs is unavailable: ${list.cause}` };
    }
    const entryVms = list.vms.filter(vm => vm.role === "entry").sort((a, b) => (a.vm < b.vm ? -1 : 1));
    const responses = entryVms.map(async (listed): Promise<VmResponse<M>> => {
        if (listed.control === undefined) {
            return { listed, response: { kind: "failed", cause: "the platform's list has no control address for it" } };
        }
        return { listed, response: await connections.rpc.call(listed.control, method, params, callTimeoutMs) };
    });
    return { kind: "called", responses: await Promise.all(responses) };
};

/**
 * Lists the entry VMs that did not respond.
 *
 * @param responses - responses of all entry VMs
 * @returns the name of each VM and the cause of the failure
 */
export const listUnreachable = <M extends peers.RpcMethod>(
    responses: readonly VmResponse<M>[],
): { readonly vm: string; readonly cause: string }[] =>
    responses.flatMap(({ listed, response }) =>
        response.kind === "failed" ? [{ vm: listed.vm, cause: response.cause }] : [],
    );

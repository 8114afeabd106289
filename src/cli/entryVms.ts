/**
 * Asking all entry VMs of the platform's list.
 */
import * as peers from "../node/peers/Types.js";
import * as platform from "../node/platform/Types.js";
import * as cli from "./Types.js";

/** Time for one entry VM to answer an operator's question. */
const askTimeoutMs = 2_000;

export interface VmAnswer<M extends peers.RpcMethod> {
    readonly listed: platform.ListedVm;
    readonly answer: peers.RpcResult<M>;
}

export type AskResult<M extends peers.RpcMethod> =
    | { readonly kind: "asked"; readonly answers: readonly VmAnswer<M>[] }
    | { readonly kind: "failed"; readonly cause: string };

/**
 * Calls a method of each entry VM on the platform's list.
 *
 * @param connections - platform and entry VMs
 * @param method - the method
 * @param params - its parameters
 * @returns the answers in the order of the names
 */
export const callEntryVms = async <M extends peers.RpcMethod>(
    connections: cli.Connections,
    method: M,
    params: peers.RpcMethods[M]["params"],
): Promise<AskResult<M>> => {
    const list = await connections.platform.vms.list({ role: "entry" });
    if (list.kind === "unavailable") {
        return { kind: "failed", cause: `the platform's list of VMs is unavailable: ${list.cause}` };
    }
    const entryVms = list.vms.filter(vm => vm.role === "entry").sort((a, b) => (a.vm < b.vm ? -1 : 1));
    const answers = entryVms.map(async (listed): Promise<VmAnswer<M>> => {
        if (listed.control === undefined) {
            return { listed, answer: { kind: "failed", cause: "the platform's list has no control address for it" } };
        }
        return { listed, answer: await connections.rpc.call(listed.control, method, params, askTimeoutMs) };
    });
    return { kind: "asked", answers: await Promise.all(answers) };
};

/**
 * Lists the entry VMs that did not answer.
 *
 * @param answers - the answers
 * @returns name and cause of each
 */
export const listUnreachable = <M extends peers.RpcMethod>(
    answers: readonly VmAnswer<M>[],
): { readonly vm: string; readonly cause: string }[] =>
    answers.flatMap(({ listed, answer }) => (answer.kind === "failed" ? [{ vm: listed.vm, cause: answer.cause }] : []));

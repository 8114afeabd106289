/**
 * Announcing a revision and waiting until the entry VMs have adopted it.
 */
import * as config from "../../common/config/Types.js";
import * as types from "../../common/Types.js";
import * as peers from "../peers/Types.js";
import * as platform from "../platform/Types.js";
import * as publish from "./Types.js";
import * as waiting from "./waiting.js";

export interface AcceptanceContext {
    readonly vms: platform.VmList;
    readonly rpc: peers.RpcClient;
    readonly scheduler: types.Scheduler;
    readonly logger: types.Logger;
    readonly times: publish.PublishTimes;
}

export interface Acceptance extends publish.Adoption {
    readonly isAccepted: boolean;
}

interface Progress {
    listed: readonly platform.ListedVm[];
    readonly adopted: Set<types.VmId>;
    /** VMs that have received the announcement and need only be asked. */
    readonly announced: Set<types.VmId>;
    isAccepted: boolean;
}

/**
 * Asks one entry VM. An answer counts only for the VM that gives it: after a replacement, two names on the platform's
 * list can have the same address.
 */
const askVm = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    texts: Readonly<Record<string, string>>,
    progress: Progress,
    vm: platform.ListedVm,
): Promise<void> => {
    if (vm.control === undefined) {
        return;
    }
    const { rpcTimeoutMs } = context.times;
    const result = progress.announced.has(vm.vm)
        ? await context.rpc.call(vm.control, "config.status", {}, rpcTimeoutMs)
        : await context.rpc.call(vm.control, "config.announce", { head, sections: texts }, rpcTimeoutMs);
    if (result.kind === "failed") {
        progress.announced.delete(vm.vm);
        return;
    }
    progress.announced.add(vm.vm);
    if (result.result.vm === vm.vm && result.result.revision >= head.revision) {
        progress.adopted.add(vm.vm);
    }
};

const updateList = async (context: AcceptanceContext, progress: Progress): Promise<void> => {
    const result = await context.vms.list();
    if (result.kind === "found") {
        progress.listed = result.vms.filter(vm => vm.role === "entry");
    }
};

const countAdopted = (progress: Progress): number => progress.listed.filter(vm => progress.adopted.has(vm.vm)).length;

const recordAcceptance = (context: AcceptanceContext, head: config.ConfigHead, progress: Progress): void => {
    const adopted = countAdopted(progress);
    if (progress.isAccepted || adopted * 2 <= progress.listed.length) {
        return;
    }
    progress.isAccepted = true;
    const fields = { revision: head.revision, adopted, listed: progress.listed.length };
    context.logger.info("config: revision accepted", fields);
};

/**
 * Announces a head until all listed entry VMs have its revision or the time is up. The list is read again in each round,
 * since a majority counts over all VMs that are on it, live or leaving.
 *
 * @param context - platform, peers, time and limits
 * @param head - the committed head
 * @param texts - texts of the changed sections by digest
 * @returns who has it, and whether that was a majority at any time
 */
export const waitForAcceptance = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    texts: ReadonlyMap<types.Digest, string>,
): Promise<Acceptance> => {
    const untilMs = context.scheduler.now() + context.times.acceptTimeoutMs;
    const sections = Object.fromEntries(texts);
    const progress: Progress = { listed: [], adopted: new Set(), announced: new Set(), isAccepted: false };
    for (;;) {
        await updateList(context, progress);
        const waited = progress.listed.filter(vm => !progress.adopted.has(vm.vm));
        await Promise.all(waited.map(vm => askVm(context, head, sections, progress, vm)));
        recordAcceptance(context, head, progress);
        const isComplete = progress.listed.length > 0 && countAdopted(progress) === progress.listed.length;
        if (isComplete || context.scheduler.now() >= untilMs) {
            break;
        }
        await waiting.waitFor(context.scheduler, context.times.pollMs);
    }
    return {
        isAccepted: progress.isAccepted,
        adopted: progress.listed.filter(vm => progress.adopted.has(vm.vm)).map(vm => vm.vm),
        missing: progress.listed.filter(vm => !progress.adopted.has(vm.vm)).map(vm => vm.vm),
    };
};

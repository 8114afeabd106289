/**
 * Announces a revision and waits until the entry VMs have adopted it.
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

interface AcceptanceProgress {
    listed: readonly platform.ListedVm[];
    /** The incarnation of each VM that has reported the revision. */
    readonly adopted: Map<types.VmId, types.IncarnationId>;
    /** VMs that have received the announcement and are only polled for their status. */
    readonly announced: Set<types.VmId>;
    isAccepted: boolean;
}

/**
 * Announces the head to one entry VM, or polls its status if it has received the announcement. A response counts only
 * for the VM that it names: after a replacement, two names on the platform's list can have the same address.
 */
const pollVm = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    texts: Readonly<Record<string, string>>,
    progress: AcceptanceProgress,
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
        progress.adopted.set(vm.vm, result.result.incarnation);
    }
};

const refreshVmList = async (context: AcceptanceContext, progress: AcceptanceProgress): Promise<void> => {
    const result = await context.vms.list({ role: "entry" });
    if (result.kind === "found") {
        progress.listed = result.vms.filter(vm => vm.role === "entry");
    }
};

const countAdopted = (progress: AcceptanceProgress): number =>
    progress.listed.filter(vm => progress.adopted.has(vm.vm)).length;

const isMajority = (count: number, progress: AcceptanceProgress): boolean => count * 2 > progress.listed.length;

/** Checks whether the incarnation that has reported the revision still has it. */
const confirmAdoption = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    progress: AcceptanceProgress,
    vm: platform.ListedVm,
): Promise<boolean> => {
    if (vm.control === undefined) {
        return false;
    }
    const result = await context.rpc.call(vm.control, "config.status", {}, context.times.rpcTimeoutMs);
    if (result.kind === "failed") {
        return false;
    }
    const { vm: reportedVm, incarnation, revision } = result.result;
    const isConfirmed =
        reportedVm === vm.vm && incarnation === progress.adopted.get(vm.vm) && revision >= head.revision;
    if (!isConfirmed) {
        progress.adopted.delete(vm.vm);
        progress.announced.delete(vm.vm);
    }
    return isConfirmed;
};

/**
 * Accepts the revision once a majority has it at the same time. A VM can restart after its report and lose the revision
 * before the majority is complete, so each VM of a reported majority is polled again.
 */
const checkAcceptance = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    progress: AcceptanceProgress,
): Promise<void> => {
    if (progress.isAccepted || !isMajority(countAdopted(progress), progress)) {
        return;
    }
    const reportedVms = progress.listed.filter(vm => progress.adopted.has(vm.vm));
    const results = await Promise.all(reportedVms.map(vm => confirmAdoption(context, head, progress, vm)));
    const adopted = results.filter(isConfirmed => isConfirmed).length;
    if (!isMajority(adopted, progress)) {
        return;
    }
    progress.isAccepted = true;
    const fields = { revision: head.revision, adopted, listed: progress.listed.length };
    context.logger.info("config: revision accepted", fields);
};

/**
 * Announces a head until all listed entry VMs have adopted its revision or the timeout has passed. The list is read
 * again in each round, because a majority is computed over all VMs that are on it, live or leaving.
 *
 * @param context - platform, RPC client, scheduler and timeouts
 * @param head - the committed head
 * @param texts - texts of the changed sections by digest
 * @returns which VMs have adopted it, and whether they were a majority at any time
 */
export const waitForAcceptance = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    texts: ReadonlyMap<types.Digest, string>,
): Promise<Acceptance> => {
    const untilMs = context.scheduler.now() + context.times.acceptTimeoutMs;
    const sections = Object.fromEntries(texts);
    const progress: AcceptanceProgress = { listed: [], adopted: new Map(), announced: new Set(), isAccepted: false };
    for (;;) {
        await refreshVmList(context, progress);
        const pending = progress.listed.filter(vm => !progress.adopted.has(vm.vm));
        await Promise.all(pending.map(vm => pollVm(context, head, sections, progress, vm)));
        await checkAcceptance(context, head, progress);
        const isComplete = progress.isAccepted && countAdopted(progress) === progress.listed.length;
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

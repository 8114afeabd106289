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
    /** The incarnation that has reported the revision. */
    readonly adopted: Map<types.VmId, types.IncarnationId>;
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
        progress.adopted.set(vm.vm, result.result.incarnation);
    }
};

const updateList = async (context: AcceptanceContext, progress: Progress): Promise<void> => {
    const result = await context.vms.list({ role: "entry" });
    if (result.kind === "found") {
        progress.listed = result.vms.filter(vm => vm.role === "entry");
    }
};

const countAdopted = (progress: Progress): number => progress.listed.filter(vm => progress.adopted.has(vm.vm)).length;

const isMajority = (count: number, progress: Progress): boolean => count * 2 > progress.listed.length;

/** Asks a VM that has reported the revision whether the same incarnation still has it. */
const mayStillHave = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    progress: Progress,
    vm: platform.ListedVm,
): Promise<boolean> => {
    if (vm.control === undefined) {
        return false;
    }
    const result = await context.rpc.call(vm.control, "config.status", {}, context.times.rpcTimeoutMs);
    if (result.kind === "failed") {
        return false;
    }
    const { vm: name, incarnation, revision } = result.result;
    const isSame = name === vm.vm && incarnation === progress.adopted.get(vm.vm) && revision >= head.revision;
    if (!isSame) {
        progress.adopted.delete(vm.vm);
        progress.announced.delete(vm.vm);
    }
    return isSame;
};

/**
 * Accepts the revision when a majority has it at one moment. A VM can restart after its report and forget the revision
 * before the majority is complete, so once a majority has reported, each of them is asked again.
 */
const updateAcceptance = async (
    context: AcceptanceContext,
    head: config.ConfigHead,
    progress: Progress,
): Promise<void> => {
    if (progress.isAccepted || !isMajority(countAdopted(progress), progress)) {
        return;
    }
    const reported = progress.listed.filter(vm => progress.adopted.has(vm.vm));
    const answers = await Promise.all(reported.map(vm => mayStillHave(context, head, progress, vm)));
    const adopted = answers.filter(isSame => isSame).length;
    if (!isMajority(adopted, progress)) {
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
    const progress: Progress = { listed: [], adopted: new Map(), announced: new Set(), isAccepted: false };
    for (;;) {
        await updateList(context, progress);
        const waited = progress.listed.filter(vm => !progress.adopted.has(vm.vm));
        await Promise.all(waited.map(vm => askVm(context, head, sections, progress, vm)));
        await updateAcceptance(context, head, progress);
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

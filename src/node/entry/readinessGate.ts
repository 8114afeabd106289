/**
 * Decides when a daemon that has started may begin to serve.
 */
import * as blackboard from "../../common/blackboard/Types.js";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as platform from "../platform/Types.js";

export interface ReadinessGateOptions {
    readonly board: blackboard.Blackboard;
    readonly vmList: platform.VmList;
    readonly scheduler: shared.Scheduler;
    /** Longest wait for a first peer, since all others on the list may be down. */
    readonly memberTimeoutMs: number;
    onReady(): void;
}

/**
 * Calls `onReady` once the daemon may serve. A daemon that serves before it knows its peers considers itself the owner
 * of all targets, and has no other address to give to callers if it leaves soon afterwards. So it waits for its first
 * confirmed configuration and, if the platform lists other entry VMs, for information about one of them.
 *
 * @param options - state to watch, timeout and callback
 * @returns a disposable that stops waiting
 */
export const createReadinessGate = (options: ReadinessGateOptions): shared.Disposable => {
    const { board } = options;
    const disposables = events.createDisposableStore();
    let mayStartAlone = false;
    let isReady = false;

    const checkReady = (): void => {
        const isConfirmed = board.freshness.get().confirmedAtMs !== undefined;
        const knowsPeers = mayStartAlone || board.members.get().size > 1;
        if (isReady || !isConfirmed || !knowsPeers) {
            return;
        }
        isReady = true;
        options.onReady();
    };

    const setMayStartAlone = (): void => {
        mayStartAlone = true;
        checkReady();
    };

    const readVmList = async (): Promise<void> => {
        const result = await options.vmList.list({ role: "entry" });
        if (result.kind === "found" && result.vms.every(vm => vm.vm === board.self.vm)) {
            setMayStartAlone();
        }
    };

    disposables.add(board.freshness.onDidChange(checkReady));
    disposables.add(board.members.onDidChange(checkReady));
    disposables.add(options.scheduler.schedule(options.memberTimeoutMs, setMayStartAlone));
    // If the list cannot be read, the timeout applies.
    readVmList().catch(() => undefined);
    return disposables;
};

/**
 * Decides when a daemon that has started may take part.
 */
import * as blackboard from "../../common/blackboard/Types.js";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as platform from "../platform/Types.js";

export interface StartGateOptions {
    readonly board: blackboard.Blackboard;
    readonly vmList: platform.VmList;
    readonly scheduler: shared.Scheduler;
    /** Longest wait for a first member, since all others on the list may be down. */
    readonly memberTimeoutMs: number;
    onReady(): void;
}

/**
 * Watches the start. A daemon that serves before it knows its peers takes itself for the owner of all targets, and has
 * no address to name to callers when it leaves soon afterwards. So it waits for its first confirmed configuration, and
 * for news of another entry VM if the platform lists any.
 *
 * @param options - what is watched
 * @returns the lifetime of the watch
 */
export const createStartGate = (options: StartGateOptions): shared.Disposable => {
    const { board } = options;
    const lifetimes = events.createDisposableStore();
    let isAlone = false;
    let isReady = false;

    const check = (): void => {
        const isSynced = board.freshness.get().confirmedAtMs !== undefined;
        const knowsPeers = isAlone || board.members.get().size > 1;
        if (isReady || !isSynced || !knowsPeers) {
            return;
        }
        isReady = true;
        options.onReady();
    };

    const setAlone = (): void => {
        isAlone = true;
        check();
    };

    const readList = async (): Promise<void> => {
        const result = await options.vmList.list({ role: "entry" });
        if (result.kind === "found" && result.vms.every(vm => vm.vm === board.self.vm)) {
            setAlone();
        }
    };

    lifetimes.add(board.freshness.onDidChange(check));
    lifetimes.add(board.members.onDidChange(check));
    lifetimes.add(options.scheduler.schedule(options.memberTimeoutMs, setAlone));
    // Without the list the time limit decides.
    readList().catch(() => undefined);
    return lifetimes;
};

/**
 * Polls the platform's VM list for target VMs that are being removed (state `leaving`).
 */
import * as events from "../../common/events.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";

/** With this interval, a leaving VM gets no new calls after a few seconds, including the delay of the list itself. */
const listIntervalMs = 2_000;

export interface LeavingVmWatcherOptions {
    readonly vmList: platform.VmList;
    readonly scheduler: types.Scheduler;
    readonly logger: types.Logger;
    setLeavingVms(vms: ReadonlySet<types.VmId>): void;
}

/**
 * Starts polling the list. While it is unavailable, the last list stays in use.
 *
 * @param options - the list and the callback for changes
 * @returns a disposable that stops the polling
 */
export const createLeavingVmWatcher = (options: LeavingVmWatcherOptions): types.Disposable => {
    const { scheduler, logger } = options;
    let timer: types.Disposable | undefined;
    let lastNames = "";
    let isDisposed = false;

    const apply = (vms: readonly platform.ListedVm[]): void => {
        const leaving = new Set(vms.map(vm => vm.vm));
        const names = [...leaving].sort().join(" ");
        if (names !== lastNames) {
            lastNames = names;
            logger.info("target: set of leaving VMs changed", { vms: names });
        }
        options.setLeavingVms(leaving);
    };

    const poll = async (): Promise<void> => {
        const result = await options.vmList.list({ role: "target", state: "leaving" });
        if (isDisposed) {
            return;
        }
        if (result.kind === "found") {
            apply(result.vms);
        }
        timer = scheduler.schedule(listIntervalMs, runPoll);
    };

    const runPoll = (): void => {
        poll().catch((error: unknown) => {
            logger.error("target: failed to read the VM list", { cause: String(error) });
            timer = scheduler.schedule(listIntervalMs, runPoll);
        });
    };

    runPoll();
    return events.toDisposable(() => {
        isDisposed = true;
        timer?.dispose();
    });
};

/**
 * Watches the platform's list for targets' VMs that are leaving.
 */
import * as events from "../../common/events.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";

/** A VM that leaves receives no new work after a few seconds, the lag of the list included. */
const listIntervalMs = 2_000;

export interface LeavingVmsOptions {
    readonly vmList: platform.VmList;
    readonly scheduler: types.Scheduler;
    readonly logger: types.Logger;
    setLeavingVms(vms: ReadonlySet<types.VmId>): void;
}

/**
 * Starts to watch the list. While it is unavailable, the last list stays in use.
 *
 * @param options - the list and who is told of it
 * @returns the lifetime; disposing it stops the watch
 */
export const createLeavingVms = (options: LeavingVmsOptions): types.Disposable => {
    const { scheduler, logger } = options;
    let timer: types.Disposable | undefined;
    let known = "";
    let isDisposed = false;

    const apply = (vms: readonly platform.ListedVm[]): void => {
        const leaving = new Set(vms.map(vm => vm.vm));
        const names = [...leaving].sort().join(" ");
        if (names !== known) {
            known = names;
            logger.info("target: VMs that are leaving have changed", { vms: names });
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
            logger.error("target: the list of VMs could not be read", { cause: String(error) });
            timer = scheduler.schedule(listIntervalMs, runPoll);
        });
    };

    runPoll();
    return events.toDisposable(() => {
        isDisposed = true;
        timer?.dispose();
    });
};

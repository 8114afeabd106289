/**
 * Selection of gossip peers: from the platform's list, the members, and the daemons that send requests to this one.
 */
import * as shared from "../../common/Types.js";
import * as platform from "../platform/Types.js";

/**
 * A list that has changed recently is read often, because majorities are computed over it. A settled list is read less
 * often: with 200 entry VMs, reading it every 2 s costs each daemon 12 KB/s, more than its control traffic budget.
 */
const unsettledPollMs = 2_000;
const settledPollMs = 10_000;
const settledAfterMs = 30_000;

/**
 * Exponential backoff for peers that do not respond. A peer in backoff is picked only if there is no other; a request
 * from the peer ends its backoff. With a constant backoff, a third of the pulls is wasted after the loss of a zone, and
 * the digests of the majority become too old for the freshness deadline.
 */
const initialBackoffMs = 2000;
const maxBackoffMs = 30_000;

/** Limit of the remembered requesters; a requester soon becomes a member or appears on the list. */
const maxRequesters = 200;

const formatVmStates = (vms: readonly platform.ListedVm[]): string =>
    vms
        .map(vm => `${vm.vm} ${vm.state}`)
        .sort()
        .join("\n");

export interface PeerSelector extends shared.Disposable {
    /** Returns all entry VMs on the list that was read last. */
    getListedVms(): readonly shared.VmId[];
    /** Adds the control address of a daemon that sent a request, and ends its backoff. */
    addRequester(control: shared.Address): void;
    /** Records the outcome of a request to a peer. */
    recordResult(control: shared.Address, isSuccess: boolean): void;
    /**
     * Picks a peer at random.
     *
     * @param members - control addresses of live members
     * @returns a peer without a pending request, which counts as pending from now on; undefined if there is none
     */
    pick(members: readonly shared.Address[]): shared.Address | undefined;
    /** Marks the given peer as pending, unless it has a pending request or is in backoff. */
    acquireIfReady(control: shared.Address): boolean;
}

interface Backoff {
    readonly durationMs: number;
    readonly untilMs: number;
}

export interface PeerSelectorOptions {
    readonly self: shared.Address;
    readonly vmList: platform.VmList;
    readonly scheduler: shared.Scheduler;
    readonly random: shared.Random;
    readonly logger: shared.Logger;
}

/**
 * Creates the peer selector and starts to poll the platform's list. While the list is unavailable, the last one is
 * used.
 *
 * @param options - the platform's list, scheduler and random source
 * @returns the peer selector
 */
export const createPeerSelector = (options: PeerSelectorOptions): PeerSelector => {
    const { self, vmList, scheduler, random, logger } = options;
    const requesters = new Set<shared.Address>();
    const pending = new Set<shared.Address>();
    const backoffs = new Map<shared.Address, Backoff>();
    let listed: readonly platform.ListedVm[] = [];
    let isUnavailable = false;
    let isReading = false;
    let changedAtMs = scheduler.now();

    const readList = async (): Promise<void> => {
        if (isReading) {
            return;
        }
        isReading = true;
        const result = await vmList
            .list({ role: "entry" })
            .catch((error: unknown) => ({ kind: "unavailable", cause: String(error) }) as const);
        isReading = false;
        if (result.kind === "found") {
            const entries = result.vms.filter(vm => vm.role === "entry");
            if (formatVmStates(entries) !== formatVmStates(listed)) {
                changedAtMs = scheduler.now();
            }
            listed = entries;
        }
        const wasUnavailable = isUnavailable;
        isUnavailable = result.kind !== "found";
        if (isUnavailable !== wasUnavailable) {
            logger.warn(
                isUnavailable
                    ? "member: VM list unavailable; using the last known list"
                    : "member: VM list available again",
            );
        }
    };

    let timer: shared.Disposable;
    const poll = (): void => {
        void readList();
        const isSettled = scheduler.now() - changedAtMs > settledAfterMs;
        timer = scheduler.schedule(isSettled ? settledPollMs : unsettledPollMs, poll);
    };
    poll();

    return {
        getListedVms: () => listed.map(vm => vm.vm),
        addRequester: control => {
            backoffs.delete(control);
            if (requesters.size < maxRequesters) {
                requesters.add(control);
            }
        },
        recordResult: (control, isSuccess) => {
            pending.delete(control);
            if (isSuccess) {
                backoffs.delete(control);
                return;
            }
            requesters.delete(control);
            const lastMs = backoffs.get(control)?.durationMs;
            const durationMs = lastMs === undefined ? initialBackoffMs : Math.min(maxBackoffMs, 2 * lastMs);
            backoffs.set(control, { durationMs, untilMs: scheduler.now() + durationMs });
        },
        acquireIfReady: control => {
            const isReady = !pending.has(control) && (backoffs.get(control)?.untilMs ?? 0) <= scheduler.now();
            if (isReady) {
                pending.add(control);
            }
            return isReady;
        },
        pick: members => {
            const nowMs = scheduler.now();
            const listedControls = listed.map(vm => vm.control).filter(control => control !== undefined);
            const all = new Set([...listedControls, ...members, ...requesters]);
            const idle = [...all].filter(control => control !== self && !pending.has(control));
            for (const control of backoffs.keys()) {
                if (!all.has(control)) {
                    backoffs.delete(control);
                }
            }
            const ready = idle.filter(control => (backoffs.get(control)?.untilMs ?? 0) <= nowMs);
            const eligible = ready.length > 0 ? ready : idle;
            const picked = eligible.length === 0 ? undefined : eligible[random.nextInt(eligible.length)];
            if (picked !== undefined) {
                pending.add(picked);
            }
            return picked;
        },
        dispose: () => timer.dispose(),
    };
};

/**
 * Whom to ask for gossip: the platform's list, the members, and daemons that have asked this one.
 */
import * as shared from "../../common/Types.js";
import * as platform from "../platform/Types.js";

/**
 * A list that has just changed is read often, because majorities are counted over it. A settled list is read rarely: at
 * 200 entry VMs, reading it every 2 s took 12 KB/s of each daemon, more than its whole budget for control.
 */
const changingPollMs = 2_000;
const settledPollMs = 10_000;
const settledAfterMs = 30_000;

/**
 * A peer that did not answer is left alone this long, doubled with each failure, unless there is no other. A peer that
 * asks is asked again at once. With a constant time, a third of the pulls is wasted after the loss of a zone, and the
 * majority's digests grow too old for the freshness deadline.
 */
const firstBackoffMs = 2000;
const maxBackoffMs = 30_000;

/** Daemons remembered because they asked; they are members or listed soon after. */
const maxHeard = 200;

const formatNames = (vms: readonly platform.ListedVm[]): string =>
    vms
        .map(vm => `${vm.vm} ${vm.state}`)
        .sort()
        .join("\n");

export interface Candidates extends shared.Disposable {
    /** All entry VMs on the newest list that was read. */
    getListed(): readonly shared.VmId[];
    /** Notes the control address of a daemon that asked. */
    addHeard(control: shared.Address): void;
    /** Notes how a request has ended. */
    recordResult(control: shared.Address, isAnswered: boolean): void;
    /**
     * Picks a peer at random.
     *
     * @param members - control addresses of live members
     * @returns a peer that is not being asked now; undefined if there is none
     */
    pick(members: readonly shared.Address[]): shared.Address | undefined;
    /** Takes a certain peer, unless it is being asked or has failed to answer just now. */
    takeIfReady(control: shared.Address): boolean;
}

interface Backoff {
    readonly durationMs: number;
    readonly untilMs: number;
}

export interface CandidatesOptions {
    readonly self: shared.Address;
    readonly vmList: platform.VmList;
    readonly scheduler: shared.Scheduler;
    readonly random: shared.Random;
    readonly logger: shared.Logger;
}

/**
 * Creates the set of candidates and starts to poll the platform's list. An outage of the list keeps the last one.
 *
 * @param options - the list, time and randomness
 * @returns the candidates
 */
export const createCandidates = (options: CandidatesOptions): Candidates => {
    const { self, vmList, scheduler, random, logger } = options;
    const heard = new Set<shared.Address>();
    const asked = new Set<shared.Address>();
    const backoffs = new Map<shared.Address, Backoff>();
    let listed: readonly platform.ListedVm[] = [];
    let isDown = false;
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
            if (formatNames(entries) !== formatNames(listed)) {
                changedAtMs = scheduler.now();
            }
            listed = entries;
        }
        const wasDown = isDown;
        isDown = result.kind !== "found";
        if (isDown !== wasDown) {
            logger.warn(
                isDown ? "member: the list of VMs is unavailable; the last one is kept" : "member: list is back",
            );
        }
    };

    let timer: shared.Disposable;
    const poll = (): void => {
        void readList();
        const isSettled = scheduler.now() - changedAtMs > settledAfterMs;
        timer = scheduler.schedule(isSettled ? settledPollMs : changingPollMs, poll);
    };
    poll();

    return {
        getListed: () => listed.map(vm => vm.vm),
        addHeard: control => {
            backoffs.delete(control);
            if (heard.size < maxHeard) {
                heard.add(control);
            }
        },
        recordResult: (control, isAnswered) => {
            asked.delete(control);
            if (isAnswered) {
                backoffs.delete(control);
                return;
            }
            heard.delete(control);
            const lastMs = backoffs.get(control)?.durationMs;
            const durationMs = lastMs === undefined ? firstBackoffMs : Math.min(maxBackoffMs, 2 * lastMs);
            backoffs.set(control, { durationMs, untilMs: scheduler.now() + durationMs });
        },
        takeIfReady: control => {
            const isReady = !asked.has(control) && (backoffs.get(control)?.untilMs ?? 0) <= scheduler.now();
            if (isReady) {
                asked.add(control);
            }
            return isReady;
        },
        pick: members => {
            const nowMs = scheduler.now();
            const controls = listed.map(vm => vm.control).filter(control => control !== undefined);
            const all = new Set([...controls, ...members, ...heard]);
            const free = [...all].filter(control => control !== self && !asked.has(control));
            for (const control of backoffs.keys()) {
                if (!all.has(control)) {
                    backoffs.delete(control);
                }
            }
            const ready = free.filter(control => (backoffs.get(control)?.untilMs ?? 0) <= nowMs);
            const choice = ready.length > 0 ? ready : free;
            const picked = choice.length === 0 ? undefined : choice[random.nextInt(choice.length)];
            if (picked !== undefined) {
                asked.add(picked);
            }
            return picked;
        },
        dispose: () => timer.dispose(),
    };
};

/**
 * Share of the quotas that the ledger of this VM has: k/n, the VMs connected to it among those that may be alive. A share
 * that rises takes effect with a delay, as another ledger may still count the same VMs.
 */
import * as shared from "../Types.js";

/** A VM that was lost without notice is assumed to be alive, in touch with another ledger, for this time. */
const forgetAfterMs = 30_000;

/** VMs that this VM can see. */
export interface ShareView {
    /** VMs in touch with this VM's ledger, this VM included. */
    readonly connected: readonly shared.VmId[];
    /** Other VMs that have been reported to this VM and that it has not heard to have left. */
    readonly reported: readonly shared.VmId[];
    /** Seeds that this VM has never reached. */
    readonly unreachedSeeds: number;
    /**
     * Whether this VM is in touch with the store. One that is not is probably on the smaller side of a partition, and
     * doesn't forget the VMs of the other side, however long it lasts.
     */
    readonly isStoreFresh: boolean;
    /** Whether this VM and most VMs that may be alive have just started, so that no other ledger counts them. */
    readonly isFirstStart: boolean;
}

/** Start of a VM, in Unix milliseconds of its own clock. */
interface StartedVm {
    readonly startedAtMs: number;
}

/** VMs that lost power together start within this time. */
const maxStartDifferenceMs = 2_000;
/** Longest time after the start in which a share takes effect at once. */
const firstStartMs = 5_000;
/** Fewer VMs can't be told from a part of them that has not found the others yet. */
const minFirstStartVms = 3;

/**
 * Checks whether all VMs in touch have just started. Their ledgers have empty buckets and give no credit, so that VMs that
 * count for two of them until all have found one hub exceed no quota: the whole burst is unused.
 *
 * @param own - this VM
 * @param connected - VMs in touch with this VM's ledger, this VM included
 * @param runsForMs - time since the start of this VM
 * @returns true if a share may take effect at once
 */
export const isFirstStart = (own: StartedVm, connected: readonly StartedVm[], runsForMs: number): boolean =>
    runsForMs < firstStartMs &&
    connected.length >= minFirstStartVms &&
    connected.every(vm => Math.abs(vm.startedAtMs - own.startedAtMs) <= maxStartDifferenceMs);

export interface KnownVms {
    /** Records the view and computes k/n. */
    updateShare(view: ShareView): number;
}

/**
 * Creates a record of the VMs that may be alive.
 *
 * @param clock - local monotonic time
 * @returns the record, empty
 */
export const createKnownVms = (clock: shared.Clock): KnownVms => {
    const seenAtMs = new Map<shared.VmId, number>();
    /** VMs that may still be reported, though they were lost long ago. */
    const forgotten = new Set<shared.VmId>();
    return {
        updateShare: ({ connected, reported, unreachedSeeds, isStoreFresh }) => {
            const nowMs = clock.now();
            const isNew = (vm: shared.VmId): boolean => !seenAtMs.has(vm) && !forgotten.has(vm);
            reported.filter(isNew).forEach(vm => seenAtMs.set(vm, nowMs));
            for (const vm of connected) {
                seenAtMs.set(vm, nowMs);
                forgotten.delete(vm);
            }
            if (isStoreFresh) {
                const old = [...seenAtMs].filter(([, atMs]) => nowMs - atMs > forgetAfterMs);
                for (const [vm] of old) {
                    seenAtMs.delete(vm);
                    forgotten.add(vm);
                }
            }
            return connected.length / Math.max(1, seenAtMs.size + unreachedSeeds);
        },
    };
};

/** A share that was in force until `untilMs`. */
interface FormerShare {
    readonly share: number;
    readonly untilMs: number;
}

/** Shares of a ledger over time. */
export interface ShareHistory {
    readonly share: number;
    readonly former: readonly FormerShare[];
}

/**
 * Creates the history of a ledger that begins. It had no share before.
 *
 * @param nowMs - local monotonic time
 * @returns the history
 */
export const createShareHistory = (nowMs: number): ShareHistory => ({
    share: 0,
    former: [{ share: 0, untilMs: nowMs }],
});

/**
 * Adds a share.
 *
 * @param history - the history
 * @param share - share from now on
 * @param nowMs - local monotonic time
 * @param retainMs - longest delay that is asked for
 * @returns the history after
 */
export const addShare = (history: ShareHistory, share: number, nowMs: number, retainMs: number): ShareHistory =>
    share === history.share
        ? history
        : {
              share,
              former: [
                  ...history.former.filter(former => nowMs - former.untilMs < retainMs),
                  { share: history.share, untilMs: nowMs },
              ],
          };

/**
 * Computes the least share within a time up to now.
 *
 * @param history - the history
 * @param delayMs - the time
 * @param nowMs - local monotonic time
 * @returns the share that may be used if each rise takes effect after `delayMs`
 */
export const computeDelayedShare = (history: ShareHistory, delayMs: number, nowMs: number): number =>
    history.former
        .filter(former => nowMs - former.untilMs < delayMs)
        .reduce((least, former) => Math.min(least, former.share), history.share);

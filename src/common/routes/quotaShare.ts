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
}

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
    return {
        updateShare: ({ connected, reported, unreachedSeeds, isStoreFresh }) => {
            const nowMs = clock.now();
            reported.filter(vm => !seenAtMs.has(vm)).forEach(vm => seenAtMs.set(vm, nowMs));
            connected.forEach(vm => seenAtMs.set(vm, nowMs));
            if (isStoreFresh) {
                const old = [...seenAtMs].filter(([, atMs]) => nowMs - atMs > forgetAfterMs);
                old.forEach(([vm]) => seenAtMs.delete(vm));
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

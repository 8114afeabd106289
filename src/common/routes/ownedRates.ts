/**
 * Rates that hold for all VMs together. Each key has one or more owners among the VMs, by rendezvous hashing, which share
 * the whole rate evenly; the other VMs use none of it. A rate that were split over all VMs would leave each of many VMs
 * less than it can use, and exceed the rate if each were given a minimum.
 *
 * The VMs' views of each other differ for a short time after a change. Therefore a new owner starts with an empty bucket,
 * which fills only after `settlingMs`; by then the previous owner knows of the change. A VM that was paused starts anew,
 * as it cannot know what happened meanwhile.
 */
import * as tokenBucket from "../limits/tokenBucket.js";
import * as rendezvous from "../membership/rendezvous.js";
import * as shared from "../Types.js";

/** Longer than a change of the peers takes to reach all VMs: a heartbeat, its way through the hub, and caches. */
const settlingMs = 1_000;
/** A VM that was paused for longer may have been removed from the views of the others. */
const maxPauseMs = 800;
/** How long the view is cached. */
const viewCacheMs = 50;
/** Unused parts of a rate are kept for this time. */
const burstMs = 500;

/** A VM's view of the VMs that share the rates. */
export interface RateView {
    readonly owners: readonly shared.VmId[];
    /** Part of each rate that this VM may use for the keys that it owns; below 1 if it sees only a minority of the VMs. */
    readonly share: number;
}

export interface OwnedRates {
    /** Applies the current view and detects pauses; must be called regularly. */
    refresh(): void;
    /** Whether this VM is an owner of a key. */
    isOwner(key: string, perSecond: number): boolean;
    /**
     * Computes when this VM may use a key next.
     *
     * @param key - the key
     * @param perSecond - rate of the key for all VMs together; infinite if it has no limit
     * @returns the wait in milliseconds, 0 if it may be used now; infinite if another VM owns the key or the rate is 0
     */
    computeWaitMs(key: string, perSecond: number): number;
    /** Uses a key once, whether or not `computeWaitMs` allows it. */
    take(key: string, perSecond: number): void;
    remove(key: string): void;
    /** Removes all other keys. */
    retain(isUsed: (key: string) => boolean): void;
}

interface OwnedBucket extends tokenBucket.TokenBucket {
    /** The whole rate of the key. */
    readonly perSecond: number;
}

export interface OwnedRatesOptions {
    readonly clock: shared.Clock;
    readonly vm: shared.VmId;
    /** A rate has as many owners as can each use this much of it, at least one. */
    readonly minPerOwner: number;
    getView(): RateView;
}

/**
 * Creates rates without any keys.
 *
 * @param options - the clock, and this VM's view of the others
 * @returns the rates
 */
export const createOwnedRates = (options: OwnedRatesOptions): OwnedRates => {
    const { clock, vm } = options;
    /** Buckets of the keys that this VM owns. */
    const buckets = new Map<string, OwnedBucket>();
    let view: RateView = { owners: [], share: 0 };
    let viewSinceMs = clock.now();
    /** VMs in the view before, or in an earlier one if that had not settled. */
    let previousCount = 0;
    let refreshedAtMs = clock.now();

    const countOwners = (perSecond: number, vmCount: number): number =>
        Math.max(1, Math.min(vmCount, Math.floor(perSecond / options.minPerOwner)));

    const isOwner = (key: string, perSecond: number): boolean =>
        rendezvous
            .listTopCandidates(key, view.owners, owner => owner, countOwners(perSecond, view.owners.length))
            .includes(vm);

    const isSettled = (nowMs: number): boolean => nowMs - viewSinceMs >= settlingMs;

    const setView = (next: RateView, nowMs: number): void => {
        const hasSameOwners = next.owners.join() === view.owners.join();
        const vmCount = view.owners.length;
        view = next;
        if (hasSameOwners) {
            return;
        }
        previousCount = isSettled(nowMs) ? vmCount : Math.max(previousCount, vmCount);
        viewSinceMs = nowMs;
        for (const [key, { perSecond }] of [...buckets]) {
            if (!isOwner(key, perSecond)) {
                buckets.delete(key);
            }
        }
    };

    const refresh = (): void => {
        const nowMs = clock.now();
        const elapsedMs = nowMs - refreshedAtMs;
        if (elapsedMs > maxPauseMs) {
            buckets.clear();
            viewSinceMs = nowMs;
        }
        if (elapsedMs >= viewCacheMs) {
            refreshedAtMs = nowMs;
            setView(options.getView(), nowMs);
        }
    };

    /** An owner's part does not grow before the VMs that were owners before know of the change. */
    const toTokenRate = (perSecond: number): tokenBucket.TokenRate => {
        const vmCount = isSettled(clock.now()) ? view.owners.length : Math.max(previousCount, view.owners.length);
        const ownPerSecond = (perSecond * view.share) / countOwners(perSecond, vmCount);
        return { perSecond: ownPerSecond, burst: Math.max(1, (ownPerSecond * burstMs) / 1_000) };
    };

    const findBucket = (key: string, perSecond: number): OwnedBucket | undefined => {
        refresh();
        const known = buckets.get(key);
        if (known !== undefined || !isOwner(key, perSecond)) {
            return known;
        }
        const bucket = { tokens: 0, updatedAtMs: viewSinceMs + settlingMs, perSecond };
        buckets.set(key, bucket);
        return bucket;
    };

    return {
        refresh,
        isOwner: (key, perSecond) => {
            refresh();
            return isOwner(key, perSecond);
        },
        computeWaitMs: (key, perSecond) => {
            if (perSecond === Infinity) {
                return 0;
            }
            const bucket = findBucket(key, perSecond);
            const rate = toTokenRate(perSecond);
            if (bucket === undefined || rate.perSecond <= 0) {
                return Infinity;
            }
            const nowMs = clock.now();
            const missing = 1 - tokenBucket.computeTokens(bucket, rate, nowMs);
            const untilFillingMs = Math.max(0, bucket.updatedAtMs - nowMs);
            return missing <= 0 ? 0 : untilFillingMs + (missing * 1_000) / rate.perSecond;
        },
        take: (key, perSecond) => {
            const bucket = perSecond === Infinity ? undefined : findBucket(key, perSecond);
            if (bucket !== undefined) {
                const nowMs = clock.now();
                const tokens = tokenBucket.computeTokens(bucket, toTokenRate(perSecond), nowMs) - 1;
                buckets.set(key, { tokens, updatedAtMs: Math.max(nowMs, bucket.updatedAtMs), perSecond });
            }
        },
        remove: key => void buckets.delete(key),
        retain: isUsed => [...buckets.keys()].filter(key => !isUsed(key)).forEach(key => buckets.delete(key)),
    };
};

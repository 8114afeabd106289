/**
 * Whether this VM reaches targets at all. A VM that is partitioned from all of them cannot tell so from single failures:
 * targets crash and connections break at other times, too. So one target is checked at intervals, and several at once
 * after a failure. The VMs that clients use check on new connections, as old ones may live on in a partition; VMs on
 * standby open few, as each one costs the target something.
 */
import * as events from "../events.js";
import * as random from "../random.js";
import * as shared from "../Types.js";
import * as types from "./Types.js";

const checkIntervalMs = 1_000;
/** A VM that has just started is used only once it has reached a target. */
const startCheckIntervalMs = 100;
/** A VM that reaches no target checks several of them in this interval. */
const cutOffCheckIntervalMs = 500;
const maxCheckedTargets = 6;
/** Checks of a VM on standby between two on new connections. */
const maxKeptChecks = 9;
/** Fewer targets may be down at the same time by themselves. */
const minFailedTargets = 3;
/** Consecutive checks in which most targets are reached before a VM counts as reaching targets again. */
const checksToReturn = 2;
/** Responses of other targets within this time show that a failure concerned one target. */
const responseWaitMs = 100;
/** The same for a VM that counts as cut off, on which new connections tell nothing: open ones may live on. */
const cutOffResponseWaitMs = 1_000;

export interface TargetReach extends shared.Disposable {
    start(): void;
    /** Whether this VM reaches no target. */
    isCutOff(): boolean;
    /** Whether this VM has reached a target since its start, and has not lost its way to them. */
    isConfirmed(): boolean;
    /** Records that a target has responded to a request. */
    recordResponse(): void;
    /**
     * Finds out whether a failure at a target concerns that target, or this VM's way to all of them.
     *
     * @returns true if this VM reaches targets
     */
    confirm(): Promise<boolean>;
    /**
     * Finds out whether this VM opens connections to targets; open ones may live on in a partition that refuses new ones.
     *
     * @returns true if it does
     */
    confirmNewConnections(): Promise<boolean>;
    readonly onDidChange: shared.Event<boolean>;
}

/** "silent" if the connection was opened, but no response arrived in time. */
export type CheckResult = "response" | "silent" | "unreachable";

export interface TargetReachOptions {
    readonly scheduler: shared.Scheduler;
    readonly random: shared.Random;
    readonly logger: shared.Logger;
    readonly zone: shared.ZoneName;
    /** Targets that may be checked. */
    listTargets(): readonly types.Registration[];
    /** Whether clients use this VM. */
    isActive(): boolean;
    /** Sends a probe to a target and waits for its response. */
    check(target: types.Registration, onNewConnection: boolean): Promise<CheckResult>;
}

/** Picks targets at random, from as many zones as possible. */
const pickSample = (
    targets: readonly types.Registration[],
    count: number,
    source: shared.Random,
): readonly types.Registration[] => {
    const shuffled = random.shuffle(targets, source);
    const zones = new Set<shared.ZoneName>();
    const firstOfZones = shuffled.filter(({ zone }) => !zones.has(zone) && zones.add(zone));
    return [...firstOfZones, ...shuffled.filter(target => !firstOfZones.includes(target))].slice(0, count);
};

/**
 * Creates the state of a VM that reaches targets; it is not started.
 *
 * @param options - the targets, how to check one, timers, random numbers and logger
 * @returns the state
 */
export const createTargetReach = (options: TargetReachOptions): TargetReach => {
    const { scheduler, logger } = options;
    const changeEmitter = events.createEmitter<boolean>();
    let isCutOff = false;
    let goodChecks = 0;
    let respondedAtMs = -Infinity;
    let hasReachedTarget = false;
    let runningCheck: Promise<boolean> | undefined;
    /** The target that a VM on standby checks, whose connection is kept meanwhile. */
    let keptTarget: shared.TargetId | undefined;
    let keptChecks = 0;
    let timer: shared.Disposable | undefined;
    let isDisposed = false;

    const setCutOff = (next: boolean, checked: number, reached: number): void => {
        isCutOff = next;
        goodChecks = 0;
        if (next) {
            logger.warn("reach: no target reached", { checked });
        } else {
            logger.info("reach: targets reached again", { checked, reached });
        }
        changeEmitter.fire(next);
    };

    /** Overloaded targets respond to a check too late, but go on responding to requests. */
    const isOverloaded = (results: readonly CheckResult[], startedAtMs: number): boolean =>
        results.includes("silent") && respondedAtMs > startedAtMs;

    const applyResults = (results: readonly CheckResult[], startedAtMs: number): void => {
        const checked = results.length;
        const reached = results.filter(result => result === "response").length;
        if (!isCutOff) {
            if (reached === 0 && checked >= minFailedTargets && !isOverloaded(results, startedAtMs)) {
                setCutOff(true, checked, reached);
            }
            return;
        }
        goodChecks = reached * 2 >= checked ? goodChecks + 1 : 0;
        if (goodChecks >= checksToReturn) {
            setCutOff(false, checked, reached);
        }
    };

    const check = async (target: types.Registration, onNewConnection: boolean): Promise<CheckResult> => {
        const result = await options.check(target, onNewConnection);
        hasReachedTarget ||= result === "response";
        return result;
    };

    const runSampleCheck = async (): Promise<boolean> => {
        const sample = pickSample(options.listTargets(), maxCheckedTargets, options.random);
        const startedAtMs = scheduler.now();
        applyResults(await Promise.all(sample.map(target => check(target, true))), startedAtMs);
        return !isCutOff;
    };

    /** Checks several targets; checks that are asked for meanwhile get the same result. */
    const checkSample = (): Promise<boolean> => {
        runningCheck ??= runSampleCheck().finally(() => (runningCheck = undefined));
        return runningCheck;
    };

    /** Picks a target in the VM's zone, if there is one, as traffic between zones is billed. */
    const pickNearTarget = (targets: readonly types.Registration[]): types.Registration | undefined => {
        const near = targets.filter(({ zone }) => zone === options.zone);
        return pickSample(near.length > 0 ? near : targets, 1, options.random)[0];
    };

    /** Checks one target; returns whether this tells nothing against this VM. */
    const checkNearTarget = async (): Promise<boolean> => {
        const targets = options.listTargets();
        const mayKeep = !options.isActive() && keptChecks < maxKeptChecks;
        const kept = mayKeep ? targets.find(({ id }) => id === keptTarget) : undefined;
        const target = kept ?? pickNearTarget(targets);
        keptTarget = target?.id;
        keptChecks = kept === undefined ? 0 : keptChecks + 1;
        return target === undefined || (await check(target, kept === undefined)) === "response";
    };

    const checkAtInterval = async (): Promise<void> => {
        try {
            if (isCutOff || !(await checkNearTarget())) {
                await checkSample();
            }
        } finally {
            scheduleCheck(computeCheckIntervalMs());
        }
    };

    const computeCheckIntervalMs = (): number => {
        if (isCutOff) {
            return cutOffCheckIntervalMs;
        }
        return hasReachedTarget ? checkIntervalMs : startCheckIntervalMs;
    };

    const scheduleCheck = (delayMs: number): void => {
        if (!isDisposed) {
            timer = scheduler.schedule(delayMs, () => void checkAtInterval());
        }
    };

    const wait = (delayMs: number): Promise<void> => new Promise(resolve => void scheduler.schedule(delayMs, resolve));

    const confirm = async (): Promise<boolean> => {
        const failedAtMs = scheduler.now();
        await wait(responseWaitMs);
        if (respondedAtMs > failedAtMs || (!isCutOff && (await checkSample()))) {
            return true;
        }
        await wait(failedAtMs + cutOffResponseWaitMs - scheduler.now());
        return respondedAtMs > failedAtMs;
    };

    return {
        start: () => scheduleCheck(options.random.nextFloat() * startCheckIntervalMs),
        isCutOff: () => isCutOff,
        isConfirmed: () => hasReachedTarget && !isCutOff,
        recordResponse: () => {
            respondedAtMs = scheduler.now();
            hasReachedTarget = true;
        },
        confirm,
        confirmNewConnections: async () => !isCutOff && (await checkSample()),
        onDidChange: changeEmitter.event,
        dispose: () => {
            isDisposed = true;
            timer?.dispose();
        },
    };
};

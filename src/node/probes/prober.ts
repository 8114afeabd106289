/**
 * Probes the targets that this entry VM owns, within a budget for each target and each link.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as config from "../../common/config/Types.js";
import * as events from "../../common/events.js";
import * as tokenBucket from "../../common/limits/tokenBucket.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";

/** A probe costs a target about 6 ms (Fraserbank), so this is 0.3 % of one slot. */
export const targetRate: tokenBucket.TokenRate = { perSecond: 0.5, burst: 1 };
/** Bytes between two zones. */
export const linkRate: tokenBucket.TokenRate = { perSecond: 2_048, burst: 2_048 };
/** Request and response of one probe with their TCP/IP headers, assumed. */
export const probeBytes = 800;
export const probeTimeoutMs = 1_000;
export const idleMs = 2_000;
const checkIntervalMs = 250;
/** A new owner does not know its targets and sends them next to nothing, so it looks at them soon. */
const ownershipDelayMs = 20;
/** Time over which the first probes of new targets are spread. */
const firstSpreadMs = 100;
/** Share of an interval by which it varies, so that probes of several entry VMs do not fall together. */
const jitterShare = 0.25;

export type ProbeResult =
    | { readonly kind: "answered"; readonly report: routing.TargetReport; readonly latencyMs: number }
    | { readonly kind: "failed" };

export interface ProberOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly dispatcher: routing.ProbedDispatcher;
    readonly scheduler: types.Scheduler;
    readonly random: types.Random;
    /** Whether this VM may probe; false while it may be on the smaller side of a partition. */
    readonly mayProbe: () => boolean;
    readonly sendProbe: (target: config.TargetConfig, timeoutMs: number) => Promise<ProbeResult>;
    readonly logger: types.Logger;
}

interface ProbeState {
    bucket: tokenBucket.TokenBucket;
    /** No probe before this time. */
    notBeforeMs: number;
    isRunning: boolean;
    sentAtMs: number;
}

/**
 * Tells whether a target is to be probed, apart from the budgets.
 *
 * @param view - the target
 * @param nowMs - local monotonic time
 * @returns true for an owned target that is not warm or has not reported for 2 s
 */
export const isProbeDue = (view: routing.TargetView, nowMs: number): boolean => {
    const isIdle = view.reportedAtMs === undefined || nowMs - view.reportedAtMs >= idleMs;
    return view.owned && (isIdle || view.state.kind !== "warm");
};

/**
 * Starts probing.
 *
 * @param options - what the prober depends on
 * @returns the lifetime; disposing it stops the probes
 */
export const createProber = (options: ProberOptions): types.Disposable => {
    const { blackboard, dispatcher, scheduler, random, sendProbe, logger } = options;
    const states = new Map<types.TargetId, ProbeState>();
    const lastOwners = new Map<types.TargetId, types.VmId>();
    const links = new Map<types.ZoneName, tokenBucket.TokenBucket>();
    let timer: types.Disposable | undefined;
    let disposed = false;

    const addJitter = (durationMs: number): number => durationMs * (1 + jitterShare * random.nextFloat());

    /**
     * Tells whether the last owner has not probed the target for so long that its bucket would be full. A lost member
     * has been silent for the member timeout. Any other last owner, or one that is not known, may have probed just now;
     * with a full bucket, each change of owner would add a probe to the target's budget.
     */
    const mayStartFull = (target: types.TargetId): boolean => {
        const last = lastOwners.get(target);
        return last !== undefined && !blackboard.members.get().has(last);
    };

    const recordOwners = (views: readonly routing.TargetView[]): void => {
        const ownership = blackboard.ownership.get();
        for (const view of views) {
            const owner = ownership.findTargetOwner(view.target.id);
            if (owner !== undefined) {
                lastOwners.set(view.target.id, owner.info.vm);
            }
        }
    };

    const getState = (target: types.TargetId, nowMs: number): ProbeState => {
        const known = states.get(target);
        if (known !== undefined) {
            return known;
        }
        const notBeforeMs = nowMs + firstSpreadMs * random.nextFloat();
        const bucket = mayStartFull(target)
            ? tokenBucket.createTokenBucket(targetRate, nowMs)
            : { tokens: 0, updatedAtMs: nowMs };
        const state = { bucket, notBeforeMs, isRunning: false, sentAtMs: 0 };
        states.set(target, state);
        return state;
    };

    const takeBudget = (state: ProbeState, zone: types.ZoneName, nowMs: number): boolean => {
        const bucket = tokenBucket.takeTokens(state.bucket, targetRate, 1, nowMs);
        if (bucket === undefined) {
            return false;
        }
        if (zone !== blackboard.self.zone) {
            const link = links.get(zone) ?? tokenBucket.createTokenBucket(linkRate, nowMs);
            const nextLink = tokenBucket.takeTokens(link, linkRate, probeBytes, nowMs);
            if (nextLink === undefined) {
                return false;
            }
            links.set(zone, nextLink);
        }
        state.bucket = bucket;
        return true;
    };

    const runProbe = async (view: routing.TargetView, state: ProbeState): Promise<void> => {
        const sentAtMs = scheduler.now();
        state.isRunning = true;
        state.sentAtMs = sentAtMs;
        state.notBeforeMs = sentAtMs + addJitter(1_000 / targetRate.perSecond);
        const result = await sendProbe(view.target, probeTimeoutMs).catch((): ProbeResult => ({ kind: "failed" }));
        state.isRunning = false;
        if (disposed) {
            return;
        }
        if (result.kind === "failed") {
            logger.warn("target: probe failed", { target: view.target.id });
            dispatcher.applyProbeFailure(view.target.id);
            return;
        }
        dispatcher.applyReport(view.target.id, result.report, sentAtMs);
    };

    const removeOld = (views: readonly routing.TargetView[]): void => {
        const known = new Set(views.filter(view => view.owned).map(view => view.target.id));
        for (const target of states.keys()) {
            if (!known.has(target)) {
                states.delete(target);
            }
        }
        const configured = new Set(views.map(view => view.target.id));
        for (const target of lastOwners.keys()) {
            if (!configured.has(target)) {
                lastOwners.delete(target);
            }
        }
    };

    const runChecks = (): void => {
        const nowMs = scheduler.now();
        const views = dispatcher.listTargets();
        // On both sides of a partition there is an owner, and the budget is for all of them together.
        const due = (options.mayProbe() ? views : [])
            .filter(view => isProbeDue(view, nowMs))
            .map(view => ({ view, state: getState(view.target.id, nowMs) }))
            .filter(({ state }) => !state.isRunning && nowMs >= state.notBeforeMs);
        // The budget of a link may not suffice for all of them, so the one that waited longest comes first.
        due.sort((a, b) => a.state.sentAtMs - b.state.sentAtMs);
        for (const { view, state } of due) {
            if (takeBudget(state, view.target.zone, nowMs)) {
                void runProbe(view, state);
            }
        }
        removeOld(views);
        recordOwners(views);
        const isWaiting = views.some(view => view.owned && states.get(view.target.id)?.sentAtMs === 0);
        scheduleChecks(isWaiting ? firstSpreadMs : checkIntervalMs);
    };

    const scheduleChecks = (delayMs: number): void => {
        timer?.dispose();
        timer = scheduler.schedule(addJitter(delayMs), runChecks);
    };

    const changes = blackboard.ownership.onDidChange(() => scheduleChecks(ownershipDelayMs));
    runChecks();
    return events.toDisposable(() => {
        disposed = true;
        changes.dispose();
        timer?.dispose();
    });
};

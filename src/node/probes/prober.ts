/**
 * Probes the targets that this entry VM owns, within a rate limit per target and per link.
 */
import * as blackboards from "../../common/blackboard/Types.js";
import * as config from "../../common/config/Types.js";
import * as events from "../../common/events.js";
import * as tokenBucket from "../../common/limits/tokenBucket.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";

/** Probes per target. A probe takes a target about 6 ms (Fraserbank), so this rate uses 0.3 % of one slot. */
export const targetRate: tokenBucket.TokenRate = { perSecond: 0.5, burst: 1 };
/** Bytes of probes per link between two zones. */
export const linkRate: tokenBucket.TokenRate = { perSecond: 2_048, burst: 2_048 };
/** Size of the request and response of one probe, including TCP/IP headers. */
export const probeBytes = 800;
export const probeTimeoutMs = 1_000;
export const reportIdleMs = 2_000;
const checkIntervalMs = 250;
/** A new owner does not know the state of its targets and sends them almost no calls, so it probes them soon. */
const ownershipDelayMs = 20;
/** Period over which the first probes of new targets are spread. */
const initialSpreadMs = 100;
/** Maximum jitter as a share of an interval, so that probes of several entry VMs do not coincide. */
const jitterShare = 0.25;

export type ProbeResult =
    | { readonly kind: "answered"; readonly report: routing.TargetReport; readonly latencyMs: number }
    | { readonly kind: "failed" };

export interface ProberOptions {
    readonly blackboard: blackboards.Blackboard;
    readonly dispatcher: routing.ProbedDispatcher;
    readonly scheduler: types.Scheduler;
    readonly random: types.Random;
    /** Whether this VM may probe; false while it may be in the minority of a network partition. */
    readonly mayProbe: () => boolean;
    readonly sendProbe: (target: config.TargetConfig, timeoutMs: number) => Promise<ProbeResult>;
    readonly logger: types.Logger;
}

interface ProbeState {
    bucket: tokenBucket.TokenBucket;
    /** Earliest time of the next probe. */
    notBeforeMs: number;
    isRunning: boolean;
    lastSentAtMs: number;
}

/**
 * Checks whether a target needs a probe, regardless of the rate limits.
 *
 * @param view - the target
 * @param nowMs - local monotonic time
 * @returns true for an owned target that is not warm or has not reported for 2 s
 */
export const isProbeDue = (view: routing.TargetView, nowMs: number): boolean => {
    const isIdle = view.reportedAtMs === undefined || nowMs - view.reportedAtMs >= reportIdleMs;
    return view.owned && (isIdle || view.state.kind !== "warm");
};

/**
 * Starts probing.
 *
 * @param options - dependencies of the prober
 * @returns a disposable that stops the probes
 */
export const createProber = (options: ProberOptions): types.Disposable => {
    const { blackboard, dispatcher, scheduler, random, sendProbe, logger } = options;
    const states = new Map<types.TargetId, ProbeState>();
    const lastOwners = new Map<types.TargetId, types.VmId>();
    const links = new Map<types.ZoneName, tokenBucket.TokenBucket>();
    let timer: types.Disposable | undefined;
    let isDisposed = false;

    const addJitter = (durationMs: number): number => durationMs * (1 + jitterShare * random.nextFloat());

    /**
     * Checks whether the last owner has not probed the target for so long that its bucket would be full. A lost member
     * was last seen more than the member timeout ago. Any other last owner, or an unknown one, may have probed just
     * now; with a full bucket, each change of owner would add a probe beyond the rate limit of the target.
     */
    const mayStartWithFullBucket = (target: types.TargetId): boolean => {
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
        const notBeforeMs = nowMs + initialSpreadMs * random.nextFloat();
        const bucket = mayStartWithFullBucket(target)
            ? tokenBucket.createTokenBucket(targetRate, nowMs)
            : { tokens: 0, updatedAtMs: nowMs };
        const state = { bucket, notBeforeMs, isRunning: false, lastSentAtMs: 0 };
        states.set(target, state);
        return state;
    };

    const takeProbeBudget = (state: ProbeState, zone: types.ZoneName, nowMs: number): boolean => {
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
        state.lastSentAtMs = sentAtMs;
        state.notBeforeMs = sentAtMs + addJitter(1_000 / targetRate.perSecond);
        const result = await sendProbe(view.target, probeTimeoutMs).catch((): ProbeResult => ({ kind: "failed" }));
        state.isRunning = false;
        if (isDisposed) {
            return;
        }
        if (result.kind === "failed") {
            logger.warn("target: probe failed", { target: view.target.id });
            dispatcher.applyProbeFailure(view.target.id);
            return;
        }
        dispatcher.applyReport(view.target.id, result.report, sentAtMs);
    };

    const removeStaleEntries = (views: readonly routing.TargetView[]): void => {
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

    const runDueProbes = (): void => {
        const nowMs = scheduler.now();
        const views = dispatcher.listTargets();
        // Each side of a network partition has an owner, and the rate limit applies to all owners together.
        const due = (options.mayProbe() ? views : [])
            .filter(view => isProbeDue(view, nowMs))
            .map(view => ({ view, state: getState(view.target.id, nowMs) }))
            .filter(({ state }) => !state.isRunning && nowMs >= state.notBeforeMs);
        // The rate limit of a link may not allow all of them, so the longest unprobed target comes first.
        due.sort((a, b) => a.state.lastSentAtMs - b.state.lastSentAtMs);
        for (const { view, state } of due) {
            if (takeProbeBudget(state, view.target.zone, nowMs)) {
                void runProbe(view, state);
            }
        }
        removeStaleEntries(views);
        recordOwners(views);
        const hasUnprobedTarget = views.some(view => view.owned && states.get(view.target.id)?.lastSentAtMs === 0);
        scheduleNextRun(hasUnprobedTarget ? initialSpreadMs : checkIntervalMs);
    };

    const scheduleNextRun = (delayMs: number): void => {
        timer?.dispose();
        timer = scheduler.schedule(addJitter(delayMs), runDueProbes);
    };

    const changes = blackboard.ownership.onDidChange(() => scheduleNextRun(ownershipDelayMs));
    runDueProbes();
    return events.toDisposable(() => {
        isDisposed = true;
        changes.dispose();
        timer?.dispose();
    });
};

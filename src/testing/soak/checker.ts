/**
 * Checks what callers and targets recorded against the guarantees in the platform's documentation.
 */
import * as routeKind from "../../common/routes/routeKind.js";
import * as types from "./Types.js";

type Check = (history: types.SoakHistory, bounds: types.SoakBounds) => readonly types.SoakViolation[];

/** Statuses that guarantee that the request has not run and will not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Minimum share of the requests after the recovery time that must succeed. */
const minRecoveredShare = 0.9;
const rateWindowMs = 1_000;

const groupBy = <T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, T[]> => {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const group = groups.get(getKey(item)) ?? [];
        group.push(item);
        groups.set(getKey(item), group);
    }
    return groups;
};

/** Returns whether a VM, or any VM if none is given, was disturbed between two times. */
const isDisturbed = (history: types.SoakHistory, fromMs: number, toMs: number, vm?: number): boolean =>
    history.disturbances.some(
        entry =>
            entry.fromMs <= toMs &&
            entry.toMs >= fromMs &&
            (vm === undefined || entry.vm === undefined || entry.vm === vm),
    );

const findDuplicateRuns: Check = ({ calls, runs }) => {
    const byId = groupBy(runs, run => run.id);
    return calls
        .filter(call => !routeKind.isIdempotent(call.kind) && (byId.get(call.id)?.length ?? 0) > 1)
        .map(call => ({
            rule: "twice",
            message: `${call.id} ran at ${byId
                .get(call.id)
                ?.map(run => run.target)
                .join(", ")}`,
        }));
};

const findFalseRefusals: Check = ({ calls, runs }) => {
    const ran = new Set(runs.map(run => run.id));
    return calls
        .filter(({ kind, outcome, id }) => {
            const isRefused = outcome?.kind === "answered" && !outcome.isSealed && notRunStatuses.has(outcome.status);
            return isRefused && !routeKind.isIdempotent(kind) && ran.has(id);
        })
        .map(call => ({ rule: "refused", message: `${call.id} ran although VM ${call.vm} refused it` }));
};

const isOwnResponse = (call: types.CallerRecord, runs: readonly types.RunRecord[]): boolean => {
    const { outcome } = call;
    if (outcome?.kind !== "answered" || outcome.body === undefined) {
        return true;
    }
    if (outcome.status >= 200 && outcome.status < 300) {
        return outcome.isSealed && runs.some(run => run.status === outcome.status && run.body === outcome.body);
    }
    return !outcome.isSealed || runs.some(run => run.status === outcome.status);
};

const findMismatchedResponses: Check = ({ calls, runs }) => {
    const byId = groupBy(runs, run => run.id);
    return calls
        .filter(call => !isOwnResponse(call, byId.get(call.id) ?? []))
        .map(call => ({
            rule: "mixed",
            message: `${call.id} at VM ${call.vm}: ${JSON.stringify(call.outcome).slice(0, 200)}`,
        }));
};

const findUnrequestedRuns: Check = ({ calls, runs }) => {
    const byId = new Map(calls.map(call => [call.id, call]));
    return runs
        .filter(run => {
            const call = byId.get(run.id);
            return call?.method !== run.method || call.path !== run.path || call.bodyDigest !== run.bodyDigest;
        })
        .map(run => ({ rule: "unasked", message: `${run.target} ran ${run.method} ${run.path} as ${run.id}` }));
};

/**
 * Finds runs of requests sent after the bound of a change, with all VMs undisturbed from before the change to the run.
 */
const findLateRuns = (
    history: types.SoakHistory,
    bounds: types.SoakBounds,
    change: { readonly atMs: number; readonly boundMs: number; readonly endsAtMs: number },
    isViolation: (run: types.RunRecord) => boolean,
): readonly types.RunRecord[] => {
    const calls = new Map(history.calls.map(call => [call.id, call]));
    return history.runs.filter(run => {
        const sentAtMs = calls.get(run.id)?.sentAtMs ?? 0;
        return (
            sentAtMs > change.atMs + change.boundMs &&
            run.atMs < change.endsAtMs &&
            isViolation(run) &&
            !isDisturbed(history, change.atMs - bounds.contactMs, run.atMs)
        );
    });
};

const findIgnoredChanges: Check = (history, bounds) =>
    history.committedChanges.flatMap((change, index): readonly types.SoakViolation[] => {
        switch (change.kind) {
            case "leaving":
                return findLateRuns(
                    history,
                    bounds,
                    { atMs: change.atMs, boundMs: bounds.drainMs, endsAtMs: Infinity },
                    run => run.target === change.target,
                ).map(run => ({ rule: "drain", message: `${run.id} ran at ${run.target}, which was draining` }));
            case "zone-out":
                return findLateRuns(
                    history,
                    bounds,
                    { atMs: change.atMs, boundMs: bounds.zoneOutMs, endsAtMs: change.endsAtMs },
                    run => run.zone === change.zone,
                ).map(run => ({ rule: "zone-out", message: `${run.id} ran in ${run.zone}, which was taken out` }));
            case "route-moved": {
                const next = history.committedChanges.slice(index + 1).find(later => later.kind === "route-moved");
                return findLateRuns(
                    history,
                    bounds,
                    { atMs: change.atMs, boundMs: bounds.configurationMs, endsAtMs: next?.atMs ?? Infinity },
                    run => run.path.startsWith(change.path) && run.service !== change.service,
                ).map(run => ({ rule: "route", message: `${run.id} ran at the previous service ${run.service}` }));
            }
        }
    });

const findDeniedRequests: Check = ({ calls }) =>
    calls
        .filter(({ outcome }) => outcome?.kind === "answered" && [400, 401, 403, 404].includes(outcome.status))
        .map(call => ({ rule: "denied", message: `${call.id} at VM ${call.vm}: ${JSON.stringify(call.outcome)}` }));

/** A VM that is shutting down must still respond to forwarded requests. */
const findLostResponses: Check = (history, bounds) => {
    const ran = new Set(history.runs.map(run => run.id));
    return history.calls
        .filter(call => {
            const wasInterrupted = history.disturbances.some(
                entry =>
                    !entry.completesRequests &&
                    entry.vm === call.vm &&
                    entry.fromMs <= call.endedAtMs &&
                    entry.toMs >= call.sentAtMs - bounds.contactMs,
            );
            return call.outcome?.kind === "closed" && ran.has(call.id) && !wasInterrupted;
        })
        .map(call => ({
            rule: "lost",
            message: `${call.id} ran, but VM ${call.vm} closed the connection without a response`,
        }));
};

const findUnansweredRequests: Check = (history, bounds) =>
    history.calls
        .filter(
            call =>
                call.outcome?.kind === "timeout" &&
                !isDisturbed(history, call.sentAtMs - bounds.contactMs, call.endedAtMs, call.vm),
        )
        .map(call => ({ rule: "unanswered", message: `${call.id} got no response from VM ${call.vm}` }));

const findRetryExcess: Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    for (const [service, arrivals] of groupBy(history.arrivals, arrival => arrival.service)) {
        const firstArrivals = new Map<string, number>();
        arrivals.forEach(arrival =>
            firstArrivals.set(arrival.id, Math.min(firstArrivals.get(arrival.id) ?? Infinity, arrival.atMs)),
        );
        const startMs = Math.min(...firstArrivals.values());
        const countIn = (times: readonly number[], fromMs: number): number =>
            times.filter(atMs => atMs >= fromMs && atMs < fromMs + bounds.retryWindowMs).length;
        const firstTimes = [...firstArrivals.values()];
        const allTimes = arrivals.map(arrival => arrival.atMs);
        for (let fromMs = startMs; fromMs < history.endedAtMs; fromMs += rateWindowMs) {
            const retries = countIn(allTimes, fromMs) - countIn(firstTimes, fromMs);
            // The platform counts the requests of this window or of one that begins half a window or a window earlier.
            const earlier = [0, 0.5, 1].map(windows => fromMs - windows * bounds.retryWindowMs);
            const requests = Math.max(...earlier.map(atMs => countIn(firstTimes, atMs)));
            if (retries > requests * bounds.retryShare + bounds.retryExtra) {
                violations.push({ rule: "budget", message: `${service}: ${retries} retries for ${requests} requests` });
            }
        }
    }
    return violations;
};

const findColdExcess: Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const cold = history.arrivals.filter(arrival => arrival.isCold);
    for (const [target, arrivals] of groupBy(cold, arrival => arrival.target)) {
        const times = arrivals.map(arrival => arrival.atMs).sort((left, right) => left - right);
        const highestCount = Math.max(
            ...times.map((atMs, index) => times.slice(index).filter(later => later < atMs + rateWindowMs).length),
        );
        if (highestCount > bounds.coldPerSecond) {
            violations.push({ rule: "cold", message: `${target} got ${highestCount} requests in a second while cold` });
        }
    }
    return violations;
};

/**
 * Finds windows with more requests to a target than the limit that it named `contactMs` before the window or earlier.
 * Requests through a VM that was disturbed a short time before do not count.
 */
const findLimitExcess: Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const calls = new Map(history.calls.map(call => [call.id, call]));
    const limited = history.arrivals.filter(
        ({ limit, atMs }) => limit !== undefined && atMs > limit.sinceMs + bounds.contactMs,
    );
    for (const arrivals of groupBy(limited, ({ target, limit }) => `${target}/${limit?.sinceMs}`).values()) {
        for (const { target, limit, atMs } of arrivals) {
            const untilMs = atMs + bounds.limitWindowMs;
            const counted = arrivals.filter(
                other =>
                    other.atMs >= atMs &&
                    other.atMs < untilMs &&
                    !isDisturbed(history, atMs - bounds.contactMs, untilMs, calls.get(other.id)?.vm),
            );
            const perWindow = ((limit?.perSecond ?? 0) * bounds.limitWindowMs) / 1_000;
            const allowed = perWindow * bounds.limitOvershoot + bounds.limitExtra;
            if (counted.length > allowed) {
                violations.push({
                    rule: "limit",
                    message: `${target} got ${counted.length} requests in ${bounds.limitWindowMs} ms, ${allowed} allowed`,
                });
                break;
            }
        }
    }
    return violations;
};

/** Finds requests that a VM sent to a target long after it had passed on a response in which the target said it was leaving. */
const findRequestsWhileLeaving: Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const calls = new Map(history.calls.map(call => [call.id, call]));
    const responses = new Set(history.runs.map(({ target, body }) => `${target} ${body}`));
    const leaving = history.arrivals.filter(({ isLeaving }) => isLeaving);
    for (const arrivals of groupBy(leaving, ({ id, target }) => `${target}/${calls.get(id)?.vm}`).values()) {
        const noticedAtMs = Math.min(
            ...arrivals.map(({ id, target }) => {
                const { outcome, endedAtMs = Infinity } = calls.get(id) ?? {};
                const isOfTarget = outcome?.kind === "answered" && responses.has(`${target} ${outcome.body}`);
                return isOfTarget ? endedAtMs : Infinity;
            }),
        );
        for (const { id, target, atMs } of arrivals) {
            const call = calls.get(id);
            const isLate = (call?.sentAtMs ?? 0) > noticedAtMs + bounds.drainMs;
            if (isLate && !isDisturbed(history, noticedAtMs, atMs, call?.vm)) {
                violations.push({
                    rule: "leaving",
                    message: `${id} reached ${target}, which had said that it was leaving`,
                });
            }
        }
    }
    return violations;
};

/** Finds VMs that send to a target although it has refused a request of theirs and asked for a pause. */
const findRequestsInPauses: Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const calls = new Map(history.calls.map(call => [call.id, call]));
    for (const arrivals of groupBy(history.arrivals, ({ id, target }) => `${target}/${calls.get(id)?.vm}`).values()) {
        for (const { id, target, atMs, pauseMs } of arrivals) {
            const vm = calls.get(id)?.vm;
            const untilMs = atMs + (pauseMs ?? 0);
            const late = arrivals.filter(other => other.atMs > atMs + bounds.pauseDelayMs && other.atMs < untilMs);
            if (late.length > bounds.pauseExtra && !isDisturbed(history, atMs, untilMs, vm)) {
                violations.push({
                    rule: "pause",
                    message: `${target} got ${late.length} requests from VM ${vm} in a pause that it had asked for`,
                });
                break;
            }
        }
    }
    return violations;
};

const findMissingRecovery: Check = (history, bounds) => {
    const lateCalls = history.calls.filter(call => call.sentAtMs > history.faultsEndedAtMs + bounds.recoveryMs);
    const served = lateCalls.filter(call => call.outcome?.kind === "answered" && call.outcome.status === 200);
    return lateCalls.length > 0 && served.length >= lateCalls.length * minRecoveredShare
        ? []
        : [
              {
                  rule: "recovery",
                  message: `${served.length} of ${lateCalls.length} requests succeeded after the faults`,
              },
          ];
};

const checks: readonly Check[] = [
    findDuplicateRuns,
    findFalseRefusals,
    findMismatchedResponses,
    findUnrequestedRuns,
    findIgnoredChanges,
    findDeniedRequests,
    findLostResponses,
    findUnansweredRequests,
    findRetryExcess,
    findColdExcess,
    findLimitExcess,
    findRequestsWhileLeaving,
    findRequestsInPauses,
    findMissingRecovery,
];

/**
 * Checks a history.
 *
 * @param history - what callers and targets recorded
 * @param bounds - the guaranteed bounds
 * @returns all violations
 */
export const checkHistory = (history: types.SoakHistory, bounds: types.SoakBounds): readonly types.SoakViolation[] =>
    checks.flatMap(check => check(history, bounds));

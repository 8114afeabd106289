/**
 * Checks what callers and targets saw against the promises of the platform's pages.
 */
import * as types from "./Types.js";

type Check = (history: types.SoakHistory, bounds: types.SoakBounds) => readonly types.SoakViolation[];

/** Statuses that promise that the request has not run and will not. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Share of the requests after the recovery that must be served. */
const recoveredShare = 0.9;
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

/** Whether a VM, or any VM if none is given, was disturbed between two times. */
const isDisturbed = (history: types.SoakHistory, fromMs: number, toMs: number, vm?: number): boolean =>
    history.disturbances.some(
        entry =>
            entry.fromMs <= toMs &&
            entry.toMs >= fromMs &&
            (vm === undefined || entry.vm === undefined || entry.vm === vm),
    );

const findTwice: Check = ({ calls, runs }) => {
    const byId = groupBy(runs, run => run.id);
    return calls
        .filter(call => call.kind !== "idempotent" && (byId.get(call.id)?.length ?? 0) > 1)
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
            return isRefused && kind !== "idempotent" && ran.has(id);
        })
        .map(call => ({ rule: "refused", message: `${call.id} was refused by VM ${call.vm} and ran` }));
};

const isOwnAnswer = (call: types.CallerRecord, runs: readonly types.RunRecord[]): boolean => {
    const { outcome } = call;
    if (outcome?.kind !== "answered" || outcome.body === undefined) {
        return true;
    }
    if (outcome.status >= 200 && outcome.status < 300) {
        return outcome.isSealed && runs.some(run => run.status === outcome.status && run.body === outcome.body);
    }
    return !outcome.isSealed || runs.some(run => run.status === outcome.status);
};

const findMixed: Check = ({ calls, runs }) => {
    const byId = groupBy(runs, run => run.id);
    return calls
        .filter(call => !isOwnAnswer(call, byId.get(call.id) ?? []))
        .map(call => ({
            rule: "mixed",
            message: `${call.id} at VM ${call.vm}: ${JSON.stringify(call.outcome).slice(0, 200)}`,
        }));
};

const findUnasked: Check = ({ calls, runs }) => {
    const byId = new Map(calls.map(call => [call.id, call]));
    return runs
        .filter(run => {
            const call = byId.get(run.id);
            return call?.method !== run.method || call.path !== run.path || call.bodyDigest !== run.bodyDigest;
        })
        .map(run => ({ rule: "unasked", message: `${run.target} ran ${run.method} ${run.path} as ${run.id}` }));
};

/** Requests sent some time after an order, with all VMs calm from before the order until the request ran. */
const findLate = (
    history: types.SoakHistory,
    bounds: types.SoakBounds,
    order: { readonly atMs: number; readonly boundMs: number; readonly endsAtMs: number },
    isAgainst: (run: types.RunRecord) => boolean,
): readonly types.RunRecord[] => {
    const calls = new Map(history.calls.map(call => [call.id, call]));
    return history.runs.filter(run => {
        const sentAtMs = calls.get(run.id)?.sentAtMs ?? 0;
        return (
            sentAtMs > order.atMs + order.boundMs &&
            run.atMs < order.endsAtMs &&
            isAgainst(run) &&
            !isDisturbed(history, order.atMs - bounds.contactMs, run.atMs)
        );
    });
};

const findIgnoredOrders: Check = (history, bounds) =>
    history.orders.flatMap((order, index): readonly types.SoakViolation[] => {
        switch (order.kind) {
            case "leaving":
                return findLate(
                    history,
                    bounds,
                    { atMs: order.atMs, boundMs: bounds.drainMs, endsAtMs: Infinity },
                    run => run.target === order.target,
                ).map(run => ({ rule: "drain", message: `${run.id} ran at ${run.target}, which had left` }));
            case "zone-out":
                return findLate(
                    history,
                    bounds,
                    { atMs: order.atMs, boundMs: bounds.zoneOutMs, endsAtMs: order.endsAtMs },
                    run => run.zone === order.zone,
                ).map(run => ({ rule: "zone-out", message: `${run.id} ran in ${run.zone}, which was out` }));
            case "route-moved": {
                const next = history.orders.slice(index + 1).find(later => later.kind === "route-moved");
                return findLate(
                    history,
                    bounds,
                    { atMs: order.atMs, boundMs: bounds.configurationMs, endsAtMs: next?.atMs ?? Infinity },
                    run => run.path.startsWith(order.path) && run.service !== order.service,
                ).map(run => ({ rule: "route", message: `${run.id} ran at the old service ${run.service}` }));
            }
        }
    });

const findDenied: Check = ({ calls }) =>
    calls
        .filter(({ outcome }) => outcome?.kind === "answered" && [400, 401, 403, 404].includes(outcome.status))
        .map(call => ({ rule: "denied", message: `${call.id} at VM ${call.vm}: ${JSON.stringify(call.outcome)}` }));

/** A VM that was only asked to end answers what it has passed on. */
const findLost: Check = (history, bounds) => {
    const ran = new Set(history.runs.map(run => run.id));
    return history.calls
        .filter(call => {
            const isHurt = history.disturbances.some(
                entry =>
                    !entry.keepsAnswers &&
                    entry.vm === call.vm &&
                    entry.fromMs <= call.endedAtMs &&
                    entry.toMs >= call.sentAtMs - bounds.contactMs,
            );
            return call.outcome?.kind === "closed" && ran.has(call.id) && !isHurt;
        })
        .map(call => ({ rule: "lost", message: `${call.id} ran, and VM ${call.vm} closed without an answer` }));
};

const findUnanswered: Check = (history, bounds) =>
    history.calls
        .filter(
            call =>
                call.outcome?.kind === "timeout" &&
                !isDisturbed(history, call.sentAtMs - bounds.contactMs, call.endedAtMs, call.vm),
        )
        .map(call => ({ rule: "unanswered", message: `${call.id} had no answer from VM ${call.vm}` }));

const findRetryExcess: Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    for (const [service, arrivals] of groupBy(history.arrivals, arrival => arrival.service)) {
        const first = new Map<string, number>();
        arrivals.forEach(arrival => first.set(arrival.id, Math.min(first.get(arrival.id) ?? Infinity, arrival.atMs)));
        const startMs = Math.min(...first.values());
        const countIn = (times: readonly number[], fromMs: number): number =>
            times.filter(atMs => atMs >= fromMs && atMs < fromMs + bounds.retryWindowMs).length;
        const firstTimes = [...first.values()];
        const allTimes = arrivals.map(arrival => arrival.atMs);
        for (let fromMs = startMs; fromMs < history.endedAtMs; fromMs += rateWindowMs) {
            const repeats = countIn(allTimes, fromMs) - countIn(firstTimes, fromMs);
            // The platform counts the requests in the window, half a window earlier, or a window earlier.
            const earlier = [0, 0.5, 1].map(windows => fromMs - windows * bounds.retryWindowMs);
            const requests = Math.max(...earlier.map(atMs => countIn(firstTimes, atMs)));
            if (repeats > requests * bounds.retryShare + bounds.retryExtra) {
                violations.push({ rule: "budget", message: `${service}: ${repeats} repeats of ${requests}` });
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
        const most = Math.max(
            ...times.map((atMs, index) => times.slice(index).filter(later => later < atMs + rateWindowMs).length),
        );
        if (most > bounds.coldPerSecond) {
            violations.push({ rule: "cold", message: `${target} got ${most} requests in a second while cold` });
        }
    }
    return violations;
};

const findNoRecovery: Check = (history, bounds) => {
    const late = history.calls.filter(call => call.sentAtMs > history.calmFromMs + bounds.recoveryMs);
    const served = late.filter(call => call.outcome?.kind === "answered" && call.outcome.status === 200);
    return late.length > 0 && served.length >= late.length * recoveredShare
        ? []
        : [{ rule: "recovery", message: `${served.length} of ${late.length} requests were served after the faults` }];
};

const checks: readonly Check[] = [
    findTwice,
    findFalseRefusals,
    findMixed,
    findUnasked,
    findIgnoredOrders,
    findDenied,
    findLost,
    findUnanswered,
    findRetryExcess,
    findColdExcess,
    findNoRecovery,
];

/**
 * Checks a history.
 *
 * @param history - what callers and targets saw
 * @param bounds - the platform's bounds
 * @returns all violations
 */
export const checkHistory = (history: types.SoakHistory, bounds: types.SoakBounds): readonly types.SoakViolation[] =>
    checks.flatMap(check => check(history, bounds));

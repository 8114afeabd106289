/**
 * Checks what callers and targets recorded against the guarantees in the platform's documentation.
 */
import * as routeKind from "../../common/routes/routeKind.js";
import * as attempts from "./attempts.js";
import * as callerChecks from "./callerChecks.js";
import * as historyChecks from "./historyChecks.js";
import * as quotaChecks from "./quotaChecks.js";
import * as targetChecks from "./targetChecks.js";
import * as types from "./Types.js";

/** Minimum share of the requests after the recovery time that must succeed. */
const minRecoveredShare = 0.9;

const findDuplicateRuns: historyChecks.Check = ({ calls, runs }) => {
    const byId = historyChecks.groupBy(runs, run => run.id);
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

const findFalseRefusals: historyChecks.Check = ({ calls, runs }) => {
    const ran = new Set(runs.map(run => run.id));
    return calls
        .filter(({ kind, outcome, id }) => {
            // Clients take the status for a promise, whoever it comes from.
            const isRefused = outcome?.kind === "answered" && historyChecks.notRunStatuses.includes(outcome.status);
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

const findMismatchedResponses: historyChecks.Check = ({ calls, runs }) => {
    const byId = historyChecks.groupBy(runs, run => run.id);
    return calls
        .filter(call => !isOwnResponse(call, byId.get(call.id) ?? []))
        .map(call => ({
            rule: "mixed",
            message: `${call.id} at VM ${call.vm}: ${JSON.stringify(call.outcome).slice(0, 200)}`,
        }));
};

const findUnrequestedRuns: historyChecks.Check = ({ calls, runs }) => {
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
            !historyChecks.isDisturbed(history, change.atMs - bounds.contactMs, run.atMs)
        );
    });
};

const findIgnoredChanges: historyChecks.Check = (history, bounds) =>
    history.committedChanges.flatMap((change, index): readonly types.SoakViolation[] => {
        switch (change.kind) {
            case "leaving":
                return findLateRuns(
                    history,
                    bounds,
                    { atMs: change.atMs, boundMs: bounds.drainMs, endsAtMs: Infinity },
                    run => run.target === change.target,
                ).map(run => ({ rule: "drain", message: `${run.id} ran at ${run.target}, which was draining` }));
            case "key":
                // See `callerChecks`.
                return [];
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

const findDeniedRequests: historyChecks.Check = (history, bounds) =>
    history.calls
        .filter(({ outcome }) => outcome?.kind === "answered" && [400, 401, 403, 404].includes(outcome.status))
        .filter(
            call =>
                call.outcome?.kind !== "answered" ||
                call.outcome.status !== 401 ||
                !callerChecks.mayBeDenied(history, bounds, call),
        )
        .map(call => ({ rule: "denied", message: `${call.id} at VM ${call.vm}: ${JSON.stringify(call.outcome)}` }));

/** A VM that is shutting down must still respond to forwarded requests. */
const findLostResponses: historyChecks.Check = (history, bounds) => {
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

const findUnansweredRequests: historyChecks.Check = (history, bounds) =>
    history.calls
        .filter(
            call =>
                call.outcome?.kind === "timeout" &&
                !historyChecks.isDisturbed(history, call.sentAtMs - bounds.contactMs, call.endedAtMs, call.vm),
        )
        .map(call => ({ rule: "unanswered", message: `${call.id} got no response from VM ${call.vm}` }));

const findRetryExcess: historyChecks.Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    for (const [service, arrivals] of historyChecks.groupBy(history.arrivals, arrival => arrival.service)) {
        const firstArrivals = new Map<string, number>();
        arrivals.forEach(arrival =>
            firstArrivals.set(arrival.id, Math.min(firstArrivals.get(arrival.id) ?? Infinity, arrival.atMs)),
        );
        const startMs = Math.min(...firstArrivals.values());
        const countIn = (times: readonly number[], fromMs: number): number =>
            times.filter(atMs => atMs >= fromMs && atMs < fromMs + bounds.retryWindowMs).length;
        const firstTimes = [...firstArrivals.values()];
        const allTimes = arrivals.map(arrival => arrival.atMs);
        for (let fromMs = startMs; fromMs < history.endedAtMs; fromMs += historyChecks.rateWindowMs) {
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

const findMissingRecovery: historyChecks.Check = (history, bounds) => {
    const lateCalls = history.calls.filter(
        call =>
            call.sentAtMs > history.faultsEndedAtMs + bounds.recoveryMs &&
            !callerChecks.mayBeDenied(history, bounds, call) &&
            !quotaChecks.isRightlyOverQuota(history, bounds, call),
    );
    const served = lateCalls.filter(historyChecks.isServed);
    return lateCalls.length > 0 && served.length >= lateCalls.length * minRecoveredShare
        ? []
        : [
              {
                  rule: "recovery",
                  message: `${served.length} of ${lateCalls.length} requests succeeded after the faults`,
              },
          ];
};

const checks: readonly historyChecks.Check[] = [
    findDuplicateRuns,
    findFalseRefusals,
    findMismatchedResponses,
    findUnrequestedRuns,
    findIgnoredChanges,
    findDeniedRequests,
    callerChecks.findForeignRuns,
    callerChecks.findDeniedRuns,
    quotaChecks.findQuotaExcess,
    quotaChecks.findFalseQuotaRefusals,
    findLostResponses,
    findUnansweredRequests,
    findRetryExcess,
    targetChecks.findColdExcess,
    targetChecks.findLimitExcess,
    targetChecks.findRequestsWhileLeaving,
    targetChecks.findRequestsInPauses,
    targetChecks.findPartitionedCallers,
    targetChecks.findRepeatedCrashes,
    findMissingRecovery,
];

/**
 * Checks a history.
 *
 * @param history - what callers and targets recorded
 * @param bounds - the guaranteed bounds
 * @returns all violations
 */
export const checkHistory = (history: types.SoakHistory, bounds: types.SoakBounds): readonly types.SoakViolation[] => {
    const separated = attempts.splitAttempts(history);
    return checks.flatMap(check => check(separated, bounds));
};

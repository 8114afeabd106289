/**
 * Checks of what targets ask of all VMs, and of VMs that reach no target.
 */
import * as callerChecks from "./callerChecks.js";
import * as historyChecks from "./historyChecks.js";
import * as quotaChecks from "./quotaChecks.js";
import * as types from "./Types.js";

export const findColdExcess: historyChecks.Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const cold = history.arrivals.filter(arrival => arrival.isCold);
    for (const [target, arrivals] of historyChecks.groupBy(cold, arrival => arrival.target)) {
        const times = arrivals.map(arrival => arrival.atMs).sort((left, right) => left - right);
        const highestCount = Math.max(
            ...times.map(
                (atMs, index) => times.slice(index).filter(later => later < atMs + historyChecks.rateWindowMs).length,
            ),
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
export const findLimitExcess: historyChecks.Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const calls = new Map(history.calls.map(call => [call.id, call]));
    const limited = history.arrivals.filter(
        ({ limit, atMs }) => limit !== undefined && atMs > limit.sinceMs + bounds.contactMs,
    );
    for (const arrivals of historyChecks
        .groupBy(limited, ({ target, limit }) => `${target}/${limit?.sinceMs}`)
        .values()) {
        for (const { target, limit, atMs } of arrivals) {
            const untilMs = atMs + bounds.limitWindowMs;
            const counted = arrivals.filter(
                other =>
                    other.atMs >= atMs &&
                    other.atMs < untilMs &&
                    !historyChecks.isDisturbed(history, atMs - bounds.contactMs, untilMs, calls.get(other.id)?.vm),
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
export const findRequestsWhileLeaving: historyChecks.Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const calls = new Map(history.calls.map(call => [call.id, call]));
    const responses = new Set(history.runs.map(({ target, body }) => `${target} ${body}`));
    const leaving = history.arrivals.filter(({ isLeaving }) => isLeaving);
    for (const arrivals of historyChecks
        .groupBy(leaving, ({ id, target }) => `${target}/${calls.get(id)?.vm}`)
        .values()) {
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
            if (isLate && !historyChecks.isDisturbed(history, noticedAtMs, atMs, call?.vm)) {
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
export const findRequestsInPauses: historyChecks.Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    for (const arrivals of historyChecks
        .groupBy(history.arrivals, ({ target, senderHost }) => `${target}/${senderHost}`)
        .values()) {
        for (const { senderHost, target, atMs, pauseMs } of arrivals) {
            const vm = history.vmHosts.indexOf(senderHost);
            const untilMs = atMs + (pauseMs ?? 0);
            const late = arrivals.filter(other => other.atMs > atMs + bounds.pauseDelayMs && other.atMs < untilMs);
            if (late.length > bounds.pauseExtra && !historyChecks.isDisturbed(history, atMs, untilMs, vm)) {
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

/** Finds partitions of VMs from all targets after which callers were much worse off at these VMs than at the others. */
export const findPartitionedCallers: historyChecks.Check = (history, bounds) =>
    history.partitions.flatMap((partition): readonly types.SoakViolation[] => {
        if (partition.isTotal) {
            return [];
        }
        const calls = history.calls.filter(
            call =>
                !historyChecks.isCrashingPath(call.path) &&
                call.sentAtMs > partition.fromMs + bounds.contactMs &&
                call.sentAtMs < partition.toMs &&
                !historyChecks.isDisturbed(history, partition.fromMs, call.endedAtMs, call.vm) &&
                !callerChecks.mayBeDenied(history, bounds, call) &&
                !quotaChecks.isRightlyOverQuota(history, bounds, call),
        );
        const there = calls.filter(({ vm }) => partition.vms.includes(vm));
        const elsewhere = calls.filter(({ vm }) => !partition.vms.includes(vm));
        const servedThere = there.filter(historyChecks.isServed).length;
        const servedElsewhere = elsewhere.filter(historyChecks.isServed).length;
        // VMs that no caller uses could have served all requests.
        const shareElsewhere = elsewhere.length === 0 ? 1 : servedElsewhere / elsewhere.length;
        const isServedLess = servedThere < bounds.partitionedShare * shareElsewhere * there.length;
        const allowedFailures = bounds.partitionedExtra + bounds.partitionedFailureShare * calls.length;
        return isServedLess && there.length - servedThere > allowedFailures
            ? [
                  {
                      rule: "partition",
                      message:
                          `VMs ${partition.vms.join(" ")} without targets served ${servedThere} of ${there.length} ` +
                          `requests, the others ${servedElsewhere} of ${elsewhere.length}`,
                  },
              ]
            : [];
    });

/** Finds requests that reached targets although equal ones had crashed several targets long before. */
export const findRepeatedCrashes: historyChecks.Check = (history, bounds) => {
    const violations: types.SoakViolation[] = [];
    const calls = new Map(history.calls.map(call => [call.id, call]));
    for (const [path, crashes] of historyChecks.groupBy(history.crashes, ({ id }) => calls.get(id)?.path ?? "")) {
        const limitAtMs = crashes.map(({ atMs }) => atMs).sort((left, right) => left - right)[bounds.crashLimit - 1];
        const late = history.arrivals.filter(({ id, atMs }) => {
            const call = calls.get(id);
            return (
                call?.path === path &&
                atMs > (limitAtMs ?? Infinity) + bounds.contactMs &&
                !historyChecks.isDisturbed(history, atMs - bounds.contactMs, atMs, call.vm)
            );
        });
        const lateRequests = new Set(late.map(({ id }) => id));
        if (lateRequests.size > bounds.crashExtra) {
            violations.push({
                rule: "crash",
                message:
                    `${path} reached targets in ${lateRequests.size} more requests after ${bounds.crashLimit} crashes; ` +
                    `${crashes.length} crashes in all`,
            });
        }
    }
    return violations;
};

/**
 * Checks of a history: how many requests of an organisation ran in a window, and whom the VMs refused because of a quota.
 */
import * as callerChecks from "./callerChecks.js";
import * as historyChecks from "./historyChecks.js";
import * as types from "./Types.js";

/** Targets refuse with the same status, under their seal. */
const isOverQuota = ({ outcome }: types.CallerRecord): boolean =>
    outcome?.kind === "answered" && outcome.status === 429 && !outcome.isSealed;

/** Computes what an organisation may send in a window without regard to the tolerance. */
const computeWindow = ({ perSecond, burst }: types.OrganisationQuota, bounds: types.SoakBounds): number =>
    (perSecond * bounds.quotaWindowMs) / 1_000 + burst;

/**
 * Finds the window in which most requests of an organisation were both sent and run. A request counts once, however many
 * attempts ran, as it is charged once.
 */
const countMost = (
    requests: readonly { readonly sentAtMs: number; readonly ranAtMs: number }[],
    windowMs: number,
): { readonly count: number; readonly fromMs: number } =>
    requests
        .map(({ sentAtMs: fromMs }) => ({
            count: requests.filter(({ sentAtMs, ranAtMs }) => sentAtMs >= fromMs && ranAtMs < fromMs + windowMs).length,
            fromMs,
        }))
        .reduce((most, next) => (next.count > most.count ? next : most), { count: 0, fromMs: 0 });

/** Finds organisations that ran more requests in a window than their quota allows, whatever the faults. */
export const findQuotaExcess: historyChecks.Check = (history, bounds) => {
    const calls = new Map(history.calls.map(call => [call.id, call]));
    return history.quotas.flatMap((quota): readonly types.SoakViolation[] => {
        const { organisation } = quota;
        const runs = history.runs.filter(run => run.organisation === organisation);
        const requests = [...historyChecks.groupBy(runs, ({ id }) => id)].flatMap(([id, attempts]) => {
            const call = calls.get(id);
            const ranAtMs = Math.min(...attempts.map(({ atMs }) => atMs));
            return call === undefined ? [] : [{ sentAtMs: call.sentAtMs, ranAtMs }];
        });
        const { count, fromMs } = countMost(requests, bounds.quotaWindowMs);
        const limit = computeWindow(quota, bounds) * (1 + bounds.quotaOvershoot) + bounds.quotaSlack;
        return count > limit
            ? [
                  {
                      rule: "quota",
                      message: `${organisation} ran ${count} requests, more than ${limit}, from ${Math.round(fromMs)} ms on`,
                  },
              ]
            : [];
    });
};

/** Returns whether an organisation sent so little in the window before a request that its quota must not refuse it. */
const isFarBelow = (
    history: types.SoakHistory,
    bounds: types.SoakBounds,
    call: types.CallerRecord,
    organisation: string,
): boolean => {
    const quota = history.quotas.find(entry => entry.organisation === organisation);
    if (quota === undefined) {
        return true;
    }
    const sent = history.calls.filter(
        other =>
            other.needsKey === true &&
            other.sentAtMs > call.sentAtMs - bounds.quotaWindowMs &&
            other.sentAtMs <= call.endedAtMs &&
            callerChecks.listCallers(history, bounds, other, other.endedAtMs).has(organisation),
    );
    return sent.length <= computeWindow(quota, bounds) * bounds.quotaLowShare;
};

/**
 * Returns whether a request may be refused because of a quota, and was.
 *
 * @param history - the history that the request belongs to
 * @param bounds - the guaranteed bounds
 * @param call - the request
 * @returns false unless an organisation that may have been its caller sent more than a small part of its quota
 */
export const isRightlyOverQuota = (
    history: types.SoakHistory,
    bounds: types.SoakBounds,
    call: types.CallerRecord,
): boolean =>
    isOverQuota(call) &&
    call.needsKey === true &&
    [...callerChecks.listCallers(history, bounds, call, call.endedAtMs)].some(
        organisation => organisation !== undefined && !isFarBelow(history, bounds, call, organisation),
    );

/** Finds requests that were refused because of a quota although their organisation stayed far below it. */
export const findFalseQuotaRefusals: historyChecks.Check = (history, bounds) =>
    history.calls
        .filter(call => isOverQuota(call) && !isRightlyOverQuota(history, bounds, call))
        .map(({ id, vm, key }) => ({
            rule: "quota",
            message: `${id} (key ${key}) was refused by VM ${vm} although its organisation stayed far below its quota`,
        }));

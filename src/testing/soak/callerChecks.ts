/**
 * Checks of a history: by whom targets ran requests, and whose requests were refused because of their key.
 */
import * as historyChecks from "./historyChecks.js";
import * as types from "./Types.js";

type KeyChange = Extract<types.CommittedChange, { kind: "key" }>;

/** Lists the organisations that held a key at some time in a period; undefined where none did. */
const listHolders = (
    history: types.SoakHistory,
    key: string,
    period: { readonly fromMs: number; readonly toMs: number },
): ReadonlySet<string | undefined> => {
    const changes = history.committedChanges.filter(
        (change): change is KeyChange => change.kind === "key" && change.key === key && change.atMs <= period.toMs,
    );
    const before = changes.filter(({ atMs }) => atMs <= period.fromMs).at(-1);
    const within = changes.filter(({ atMs }) => atMs > period.fromMs);
    return new Set([before?.organisation, ...within.map(({ organisation }) => organisation)]);
};

/**
 * Lists whom the VMs may take for the caller of a request: those that its key identified from the bound of changes before the
 * request to an end, or at any time before if a VM was disturbed and may not have known.
 *
 * @param history - the history that the request belongs to
 * @param bounds - the guaranteed bounds
 * @param call - the request
 * @param toMs - the end
 * @returns names of organisations; undefined for no organisation
 */
export const listCallers = (
    history: types.SoakHistory,
    bounds: types.SoakBounds,
    call: types.CallerRecord,
    toMs: number,
): ReadonlySet<string | undefined> => {
    if (call.key === undefined) {
        return new Set([undefined]);
    }
    const boundMs = call.sentAtMs - bounds.configurationMs;
    const isDisturbed = historyChecks.isDisturbed(history, boundMs - bounds.contactMs, toMs);
    return listHolders(history, call.key, { fromMs: isDisturbed ? -Infinity : boundMs, toMs });
};

/**
 * Returns whether a request may be refused because of its key.
 *
 * @param history - the history that the request belongs to
 * @param bounds - the guaranteed bounds
 * @param call - the request
 * @returns false if it needs no key, or has one that an organisation held for long enough
 */
export const mayBeDenied = (history: types.SoakHistory, bounds: types.SoakBounds, call: types.CallerRecord): boolean =>
    call.needsKey === true && listCallers(history, bounds, call, call.endedAtMs).has(undefined);

const findForeignRun = (
    history: types.SoakHistory,
    bounds: types.SoakBounds,
    run: types.RunRecord,
    call: types.CallerRecord,
): string | undefined => {
    const { organisation } = run;
    if (run.hasKey === true) {
        return "with its key";
    }
    if (call.needsKey !== true) {
        return organisation === undefined ? undefined : `for ${organisation}, although it needs no key`;
    }
    if (organisation === undefined) {
        return "without an organisation";
    }
    return listCallers(history, bounds, call, run.atMs).has(organisation) ? undefined : `for ${organisation}`;
};

/** Finds runs that name another organisation than that which held the request's key, or have a key. */
export const findForeignRuns: historyChecks.Check = (history, bounds) => {
    const calls = new Map(history.calls.map(call => [call.id, call]));
    return history.runs.flatMap((run): readonly types.SoakViolation[] => {
        const call = calls.get(run.id);
        const fault = call === undefined ? undefined : findForeignRun(history, bounds, run, call);
        return fault === undefined
            ? []
            : [{ rule: "identity", message: `${run.id} (key ${call?.key}) ran at ${run.target} ${fault}` }];
    });
};

/** Finds requests that ran although they were refused because of their key. */
export const findDeniedRuns: historyChecks.Check = ({ calls, runs }) => {
    const ran = new Set(runs.map(({ id }) => id));
    return calls
        .filter(({ id, outcome }) => outcome?.kind === "answered" && outcome.status === 401 && ran.has(id))
        .map(({ id, vm }) => ({ rule: "identity", message: `${id} ran although VM ${vm} refused its key` }));
};

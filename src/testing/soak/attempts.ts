/**
 * Requests that callers send again under the same id: what targets saw is assigned to the sending that it belongs to.
 */
import * as historyChecks from "./historyChecks.js";
import * as types from "./Types.js";

const toAttemptId = (id: string, index: number): string => (index === 0 ? id : `${id}#${index + 1}`);

/**
 * Gives each sending of a request an id of its own, so that the checks judge every one. A caller sends an id again only
 * when the earlier sending has ended: what a target saw belongs to the last one before that has reached a VM. A late run of
 * a refused sending thus counts for the next one, as a second run of it or as one that its own refusal denies.
 *
 * @param history - what callers and targets recorded, with the ids that they used
 * @returns the same history, in which no two calls have the same id
 */
export const splitAttempts = (history: types.SoakHistory): types.SoakHistory => {
    const byId = historyChecks.groupBy(history.calls, call => call.id);
    byId.forEach(calls => calls.sort((left, right) => left.sentAtMs - right.sentAtMs));

    const assign = <T extends { readonly id: string; readonly atMs: number }>(item: T): T => {
        const calls = byId.get(item.id) ?? [];
        const index = calls.findLastIndex(
            ({ sentAtMs, outcome }, position) =>
                position === 0 || (sentAtMs <= item.atMs && outcome?.kind !== "unconnected"),
        );
        return index > 0 ? { ...item, id: toAttemptId(item.id, index) } : item;
    };

    return {
        ...history,
        calls: [...byId.values()].flatMap(calls =>
            calls.map((call, index) => (index > 0 ? { ...call, id: toAttemptId(call.id, index) } : call)),
        ),
        runs: history.runs.map(assign),
        arrivals: history.arrivals.map(assign),
        crashes: history.crashes.map(assign),
    };
};

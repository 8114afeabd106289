/**
 * Checks a recorded history against the requirements of section 1.1 of the design.
 */
import * as types from "./Types.js";

type Check = (history: types.History, allowances: types.Allowances) => types.Violation[];

/** Limits of the design: freshness 3 s, half a probe per second. */
export const defaultAllowances: types.Allowances = {
    removalMs: 3000,
    coldDetectionMs: 1000,
    probesPerSecond: 0.5,
    probeBurst: 2,
};

const listStartEvents = (history: types.History): types.TargetEvent[] =>
    history.targets.filter(event => event.kind === "started");

const groupBy = <T>(items: readonly T[], toKey: (item: T) => string): Map<string, T[]> => {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const key = toKey(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        } else {
            group.push(item);
        }
    }
    return groups;
};

/** G1: a key of a non-idempotent request is started at most once across all targets. */
const checkAtMostOnce: Check = history => {
    const keys = new Set(
        history.callers.filter(event => !event.isIdempotent).map(event => `${event.service} ${event.key ?? ""}`),
    );
    const serviceByRequest = new Map(history.callers.map(event => [event.requestId, event.service]));
    const started = listStartEvents(history).filter(event => event.key !== undefined);
    const byKey = groupBy(started, event => `${serviceByRequest.get(event.requestId ?? "") ?? ""} ${event.key ?? ""}`);
    return [...byKey]
        .filter(([key, events]) => keys.has(key) && events.length > 1)
        .map(([key, events]) => ({
            rule: "at-most-once",
            message: `key ${key} was started at ${events.map(event => event.target).join(", ")}`,
        }));
};

/** G2: a request reported as "not run" was started by no target, neither before nor after the response. */
const checkNotRun: Check = history => {
    const startedByRequest = groupBy(listStartEvents(history), event => event.requestId ?? "");
    return history.callers
        .filter(event => event.kind === "answered" && event.outcome === "not-run")
        .flatMap(event => {
            const started = startedByRequest.get(event.requestId);
            if (started === undefined) {
                return [];
            }
            const where = started.map(start => start.target).join(", ");
            return [
                {
                    rule: "not-run" as const,
                    message: `${event.requestId} was reported as not run, but started at ${where}`,
                },
            ];
        });
};

/** G3: the response to a call that ran is complete and belongs to that call. */
const checkOwnResponse: Check = history =>
    history.callers.flatMap(event => {
        if (event.kind !== "answered" || event.answer === undefined) {
            return [];
        }
        const { isWhole, isOwn } = event.answer;
        if (isWhole && isOwn) {
            return [];
        }
        const what = isWhole ? "the response to another call" : "a truncated response";
        return [{ rule: "own-answer" as const, message: `${event.requestId} got ${what}` }];
    });

/** G5: no call starts in a zone that was taken out of service once the allowance has passed. */
const checkRemovedZone: Check = (history, allowances) =>
    history.removals.flatMap(removal => {
        const fromMs = removal.acceptedAtMs + allowances.removalMs;
        const untilMs = removal.returnedAtMs ?? Infinity;
        return listStartEvents(history)
            .filter(event => event.zone === removal.zone && event.atMs > fromMs && event.atMs < untilMs)
            .map(event => ({
                rule: "removed-zone" as const,
                message:
                    `${event.target} started ${event.requestId ?? "a call"} ` +
                    `${Math.round(event.atMs - removal.acceptedAtMs)} ms after ${removal.zone} was taken out`,
            }));
    });

const checkColdTarget = (
    events: readonly types.TargetEvent[],
    coldSlots: number,
    allowances: types.Allowances,
): types.Violation[] => {
    const violations: types.Violation[] = [];
    // Calls that started before the target turned cold do not count, as their sender could not know of it.
    const running = new Set<number>();
    let detectionEndsAtMs = -Infinity;
    for (const event of events) {
        switch (event.kind) {
            case "started":
                if (!event.cold) {
                    break;
                }
                running.add(event.run ?? -1);
                if (running.size > coldSlots && event.atMs > detectionEndsAtMs) {
                    const message = `${event.target} ran ${running.size} calls in cold start; ${coldSlots} may run`;
                    violations.push({ rule: "cold-slots", message });
                }
                break;
            case "finished":
            case "cancelled":
                running.delete(event.run ?? -1);
                break;
            case "crashed":
            case "turnedCold":
                running.clear();
                detectionEndsAtMs = event.atMs + allowances.coldDetectionMs;
                break;
            case "received":
            case "refused":
            case "probed":
            case "collapsed":
                break;
        }
    }
    return violations;
};

/** G7: a target in cold start gets no more concurrent calls than its cold slots. */
const checkColdSlots: Check = (history, allowances) => {
    const byTarget = groupBy(history.targets, event => event.target);
    return history.limits.flatMap(limit =>
        checkColdTarget(byTarget.get(limit.target) ?? [], limit.coldSlots, allowances),
    );
};

/** G9: between any two probes of a target there are no more probes than its budget allows. */
const checkProbeBudget: Check = (history, allowances) => {
    const probes = groupBy(
        history.targets.filter(event => event.kind === "probed"),
        event => event.target,
    );
    return [...probes].flatMap(([target, events]) => {
        let tokens = allowances.probeBurst;
        let lastMs = events[0]?.atMs ?? 0;
        for (const event of events) {
            const refill = ((event.atMs - lastMs) / 1000) * allowances.probesPerSecond;
            tokens = Math.min(allowances.probeBurst, tokens + refill) - 1;
            lastMs = event.atMs;
            if (tokens < 0) {
                return [{ rule: "probe-budget" as const, message: `${target} got more probes than its budget` }];
            }
        }
        return [];
    });
};

const checks: readonly Check[] = [
    checkAtMostOnce,
    checkNotRun,
    checkOwnResponse,
    checkRemovedZone,
    checkColdSlots,
    checkProbeBudget,
];

/**
 * Runs all checks on a history.
 *
 * @param history - the events of a run; target events in order of time
 * @param allowances - times and budgets that the requirements allow
 * @returns all violations
 */
export const checkHistory = (history: types.History, allowances: types.Allowances): types.Violation[] =>
    checks.flatMap(check => check(history, allowances));

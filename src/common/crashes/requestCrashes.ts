/**
 * Runs of targets that have ended under a request, over all VMs. What VMs report is merged as sets, so that reports may
 * arrive late, twice or in any order, and two VMs that saw different crashes count both.
 */
import * as events from "../events.js";
import * as shared from "../Types.js";
import * as types from "./Types.js";

export interface RequestCrashesOptions {
    readonly clock: shared.Clock;
    /** Requests are refused from this number of crashes on. */
    readonly limit: number;
    readonly maxEntries: number;
    /** An entry expires this long after its last crash. */
    readonly retentionMs: number;
}

interface Entry {
    readonly responses: number;
    readonly targetRuns: ReadonlySet<string>;
    readonly expiresAtMs: number;
}

/**
 * Creates an empty registry.
 *
 * @param options - its clock and limits
 * @returns the registry
 */
export const createRequestCrashes = (options: RequestCrashesOptions): types.RequestCrashes => {
    const { clock, limit, maxEntries, retentionMs } = options;
    /** Ordered by last change, oldest first. */
    const entries = new Map<string, Entry>();
    const changeEmitter = events.createEmitter<types.CrashReport>();

    const findEntry = (fingerprint: string): Entry | undefined => {
        const entry = entries.get(fingerprint);
        return entry === undefined || entry.expiresAtMs <= clock.now() ? undefined : entry;
    };

    const isAtLimit = (entry: Entry): boolean => entry.targetRuns.size >= limit;

    /** Blocked requests are kept the longest, so that crashes under many others do not let them pass again. */
    const findLeastNeeded = (): string | undefined => {
        for (const [fingerprint, entry] of entries) {
            if (!isAtLimit(entry)) {
                return fingerprint;
            }
        }
        return entries.keys().next().value;
    };

    const removeExcess = (): void => {
        const nowMs = clock.now();
        for (const [fingerprint, entry] of entries) {
            if (entry.expiresAtMs <= nowMs) {
                entries.delete(fingerprint);
            }
        }
        const leastNeeded = entries.size > maxEntries ? findLeastNeeded() : undefined;
        if (leastNeeded !== undefined) {
            entries.delete(leastNeeded);
        }
    };

    const setEntry = (fingerprint: string, entry: Entry): void => {
        entries.delete(fingerprint);
        entries.set(fingerprint, entry);
        removeExcess();
    };

    const toReport = (fingerprint: string, entry: Entry): types.CrashReport => ({
        fingerprint,
        responses: entry.responses,
        targetRuns: [...entry.targetRuns],
        expiresInMs: Math.round(entry.expiresAtMs - clock.now()),
    });

    const changeEntry = (fingerprint: string, fields: Pick<Entry, "responses" | "targetRuns">): void => {
        const entry = { ...fields, expiresAtMs: clock.now() + retentionMs };
        setEntry(fingerprint, entry);
        changeEmitter.fire(toReport(fingerprint, entry));
    };

    const applyReport = (report: types.CrashReport): boolean => {
        const known = findEntry(report.fingerprint);
        const responses = known?.responses ?? 0;
        if (report.expiresInMs <= 0 || report.responses < responses) {
            return false;
        }
        const knownRuns = report.responses === responses ? (known?.targetRuns ?? []) : [];
        const targetRuns = new Set([...knownRuns, ...report.targetRuns]);
        const isNew = report.responses > responses || targetRuns.size > (known?.targetRuns.size ?? 0);
        if (isNew) {
            // The time that is left comes with the report, so that VMs do not keep an entry alive for each other.
            const expiresAtMs = clock.now() + Math.min(retentionMs, report.expiresInMs);
            setEntry(report.fingerprint, {
                responses: report.responses,
                targetRuns,
                expiresAtMs: Math.max(expiresAtMs, known?.expiresAtMs ?? 0),
            });
        }
        return isNew;
    };

    return {
        recordCrash: (fingerprint, target) => {
            const known = findEntry(fingerprint);
            const targetRuns = new Set(known?.targetRuns).add(`${target.id}/${target.startedAtMs}`);
            if (targetRuns.size > (known?.targetRuns.size ?? 0)) {
                changeEntry(fingerprint, { responses: known?.responses ?? 0, targetRuns });
            }
            return targetRuns.size;
        },
        recordSuccess: fingerprint => {
            const known = findEntry(fingerprint);
            if (known !== undefined && known.targetRuns.size > 0) {
                changeEntry(fingerprint, { responses: known.responses + 1, targetRuns: new Set() });
            }
        },
        applyReports: reports => reports.filter(applyReport),
        listReports: () => {
            removeExcess();
            return [...entries].map(([fingerprint, entry]) => toReport(fingerprint, entry));
        },
        isBlocked: fingerprint => {
            const entry = findEntry(fingerprint);
            return entry !== undefined && isAtLimit(entry);
        },
        countBlocked: () => {
            removeExcess();
            return [...entries.values()].filter(isAtLimit).length;
        },
        onDidChange: changeEmitter.event,
    };
};

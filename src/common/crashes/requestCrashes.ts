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

/** Crashes in one service. */
interface ServiceCrashes {
    readonly responses: number;
    readonly targetRuns: ReadonlySet<string>;
}

interface Entry {
    readonly services: ReadonlyMap<shared.ServiceName, ServiceCrashes>;
    readonly expiresAtMs: number;
}

const noCrashes: ServiceCrashes = { responses: 0, targetRuns: new Set() };
/** Stands for the service in reports that do not name it. */
const unknownService = "" as shared.ServiceName;

const countCrashes = (entry: Entry | undefined): number =>
    [...(entry?.services.values() ?? [])].reduce((sum, { targetRuns }) => sum + targetRuns.size, 0);

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

    const isAtLimit = (entry: Entry): boolean => countCrashes(entry) >= limit;

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

    const setService = (
        fingerprint: string,
        service: shared.ServiceName,
        crashes: ServiceCrashes,
        expiresAtMs: number,
    ): void => {
        const known = findEntry(fingerprint);
        setEntry(fingerprint, {
            services: new Map(known?.services).set(service, crashes),
            expiresAtMs: Math.max(expiresAtMs, known?.expiresAtMs ?? 0),
        });
    };

    const findCrashes = (fingerprint: string, service: shared.ServiceName): ServiceCrashes =>
        findEntry(fingerprint)?.services.get(service) ?? noCrashes;

    const toReports = (fingerprint: string, { services, expiresAtMs }: Entry): readonly types.CrashReport[] =>
        [...services].map(([service, { responses, targetRuns }]) => ({
            fingerprint,
            service,
            responses,
            targetRuns: [...targetRuns],
            expiresInMs: Math.round(expiresAtMs - clock.now()),
        }));

    const changeService = (fingerprint: string, service: shared.ServiceName, crashes: ServiceCrashes): void => {
        setService(fingerprint, service, crashes, clock.now() + retentionMs);
        const { responses, targetRuns } = crashes;
        const report = { fingerprint, service, responses, targetRuns: [...targetRuns], expiresInMs: retentionMs };
        changeEmitter.fire(report);
    };

    const applyReport = (report: types.CrashReport): boolean => {
        const { fingerprint, service = unknownService, responses } = report;
        const known = findCrashes(fingerprint, service);
        if (report.expiresInMs <= 0 || responses < known.responses) {
            return false;
        }
        const knownRuns = responses === known.responses ? known.targetRuns : [];
        const targetRuns = new Set([...knownRuns, ...report.targetRuns]);
        const isNew = responses > known.responses || targetRuns.size > known.targetRuns.size;
        if (isNew) {
            // The time that is left comes with the report, so that VMs do not keep an entry alive for each other.
            const expiresAtMs = clock.now() + Math.min(retentionMs, report.expiresInMs);
            setService(fingerprint, service, { responses, targetRuns }, expiresAtMs);
        }
        return isNew;
    };

    return {
        recordCrash: (fingerprint, { id, service, startedAtMs }) => {
            const known = findCrashes(fingerprint, service);
            const targetRuns = new Set(known.targetRuns).add(`${id}/${startedAtMs}`);
            if (targetRuns.size > known.targetRuns.size) {
                changeService(fingerprint, service, { responses: known.responses, targetRuns });
            }
            return countCrashes(findEntry(fingerprint));
        },
        recordSuccess: (fingerprint, service) => {
            const known = findCrashes(fingerprint, service);
            if (known.targetRuns.size > 0) {
                changeService(fingerprint, service, { responses: known.responses + 1, targetRuns: new Set() });
            }
        },
        applyReports: reports => reports.filter(applyReport),
        listReports: () => {
            removeExcess();
            return [...entries].flatMap(([fingerprint, entry]) => toReports(fingerprint, entry));
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

/**
 * Limits on their requests from all VMs together that targets name in their responses. All VMs know all limits, and one
 * VM sends to each limited target.
 */
import * as events from "../events.js";
import * as shared from "../Types.js";
import * as ownedRates from "./ownedRates.js";
import * as types from "./Types.js";

/** A changed value is reported to the peers at most once in this time; only the target's owner needs the latest one. */
const minReportIntervalMs = 1_000;
/** Longest time after which callers are asked to come back, as another VM may be able to serve them before. */
export const maxRetryAfterMs = 5_000;

/** What a VM knows of the limit of a target. */
export interface LimitReport {
    readonly target: shared.TargetId;
    /** Start time of the target, as in its registration. */
    readonly startedAtMs: number;
    /** Requests per second; null if the limit has ended. */
    readonly perSecond: number | null;
    /** Increases with each change; the report with the highest revision is the newest. */
    readonly revision: number;
}

/** Whether a target may get a request now. */
export type LimitState =
    | { readonly kind: "unlimited" }
    | { readonly kind: "available"; readonly perSecond: number }
    /** This VM must not send to the target now; another request helps after `retryAfterMs` at the earliest. */
    | {
          readonly kind: "exhausted";
          readonly perSecond: number;
          readonly waitMs: number;
          readonly retryAfterMs: number;
      };

interface LimitEntry extends LimitReport {
    /** When this VM last learned that the target is limited. */
    namedAtMs: number;
    reportedAtMs: number;
}

export interface TargetLimits {
    /**
     * Records what a response of a target says about its limit.
     *
     * @param registration - the target
     * @param limit - its limit
     * @param sentAtMs - when the request was sent
     */
    recordResponse(registration: types.Registration, limit: types.NamedLimit, sentAtMs: number): void;
    /**
     * Applies reports of peers.
     *
     * @param reports - in any order
     * @returns the reports that were newer than what was known
     */
    applyReports(reports: readonly LimitReport[]): readonly LimitReport[];
    /** All limits, and those that have ended, for a peer that joins. */
    listReports(): readonly LimitReport[];
    check(registration: types.Registration): LimitState;
    /** Whether this VM is the one that sends to a limited target. */
    isOwner(registration: types.Registration): boolean;
    /** Counts a request that is sent to a target. */
    recordRequest(registration: types.Registration): void;
    /** Number of targets that have a limit. */
    count(): number;
    /** Forgets the runs of targets that are not known any more. */
    retainTargets(isKnown: (id: shared.TargetId, startedAtMs: number) => boolean): void;
    /** Must be called several times per second, so that pauses of this VM are noticed. */
    refresh(): void;
    /** Fires when a response has changed what this VM knows. */
    readonly onDidChange: shared.Event<LimitReport>;
}

export interface TargetLimitsOptions {
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    readonly vm: shared.VmId;
    getRateView(): ownedRates.RateView;
    /** Called with each limit that has a malformed value. */
    handleMalformed(): void;
}

/** Two VMs may observe different changes at the same time; then the stricter limit holds until the next response. */
const isNewer = (report: LimitReport, known: LimitReport | undefined): boolean => {
    if (known === undefined || report.startedAtMs !== known.startedAtMs) {
        return known === undefined || report.startedAtMs > known.startedAtMs;
    }
    return report.revision !== known.revision
        ? report.revision > known.revision
        : (report.perSecond ?? Infinity) < (known.perSecond ?? Infinity);
};

const toReport = ({ target, startedAtMs, perSecond, revision }: LimitReport): LimitReport => ({
    target,
    startedAtMs,
    perSecond,
    revision,
});

const unlimited: LimitState = { kind: "unlimited" };

/**
 * Creates an empty set of limits.
 *
 * @param options - clock, logger, this VM's view of the others, and the callback for malformed values
 * @returns the limits
 */
export const createTargetLimits = (options: TargetLimitsOptions): TargetLimits => {
    const { clock, logger } = options;
    const entries = new Map<shared.TargetId, LimitEntry>();
    const rates = ownedRates.createOwnedRates({
        clock,
        vm: options.vm,
        // One VM, so that small limits are used whole.
        minPerOwner: Infinity,
        getView: options.getRateView,
    });
    const changeEmitter = events.createEmitter<LimitReport>();

    const findEntry = ({ id, startedAtMs }: types.Registration): LimitEntry | undefined => {
        const entry = entries.get(id);
        return entry?.startedAtMs === startedAtMs ? entry : undefined;
    };

    /** The current limit of a target; null if it has none. */
    const findPerSecond = (registration: types.Registration): number | null =>
        findEntry(registration)?.perSecond ?? null;

    const setEntry = (report: LimitReport): void => {
        const nowMs = clock.now();
        entries.set(report.target, { ...report, namedAtMs: nowMs, reportedAtMs: nowMs });
        if (report.perSecond === null) {
            rates.remove(report.target);
        }
    };

    /** Sets a limit that a response has changed, and reports it to the peers. */
    const changeLimit = ({ id, startedAtMs }: types.Registration, perSecond: number | null): void => {
        const revision = (entries.get(id)?.revision ?? 0) + 1;
        const report: LimitReport = { target: id, startedAtMs, perSecond, revision };
        setEntry(report);
        changeEmitter.fire(report);
    };

    const recordLimit = (registration: types.Registration, perSecond: number): void => {
        const nowMs = clock.now();
        const known = findEntry(registration);
        const isChanged = known?.perSecond !== perSecond;
        const isOnlyValue = known !== undefined && known.perSecond !== null;
        if (isOnlyValue && (!isChanged || nowMs - known.reportedAtMs < minReportIntervalMs)) {
            entries.set(known.target, { ...known, perSecond, namedAtMs: nowMs });
            return;
        }
        changeLimit(registration, perSecond);
        const { id, service } = registration;
        logger.info("limit: named by a target", { target: id, service, perSecond });
    };

    const recordNoLimit = (registration: types.Registration, sentAtMs: number): void => {
        const known = findEntry(registration);
        // The response to an earlier request may have been sent before the limit began.
        if (known === undefined || known.perSecond === null || sentAtMs < known.namedAtMs) {
            return;
        }
        changeLimit(registration, null);
        const { id, service } = registration;
        logger.info("limit: ended by a target", { target: id, service, perSecond: known.perSecond });
    };

    const check = (registration: types.Registration): LimitState => {
        const perSecond = findPerSecond(registration);
        if (perSecond === null) {
            return unlimited;
        }
        const waitMs = rates.computeWaitMs(registration.id, perSecond);
        if (waitMs === 0) {
            return { kind: "available", perSecond };
        }
        // Another VM sends to the target; it takes one request in this time.
        const helpsAfterMs = Number.isFinite(waitMs) ? waitMs : 1_000 / perSecond;
        return { kind: "exhausted", perSecond, waitMs, retryAfterMs: Math.min(maxRetryAfterMs, helpsAfterMs) };
    };

    return {
        recordResponse: (registration, limit, sentAtMs) => {
            switch (limit.kind) {
                case "limited":
                    recordLimit(registration, limit.perSecond);
                    break;
                case "none":
                    recordNoLimit(registration, sentAtMs);
                    break;
                case "malformed":
                    logger.warn("limit: malformed value ignored", { target: registration.id, value: limit.text });
                    options.handleMalformed();
                    break;
            }
        },
        applyReports: reports =>
            reports.filter(report => {
                if (!isNewer(report, entries.get(report.target))) {
                    return false;
                }
                setEntry(report);
                const { target, revision } = report;
                const perSecond = report.perSecond ?? undefined;
                logger.info("limit: reported by a peer", { target, perSecond, revision });
                return true;
            }),
        listReports: () => [...entries.values()].map(toReport),
        check,
        isOwner: registration => rates.isOwner(registration.id, findPerSecond(registration) ?? 0),
        recordRequest: registration => {
            const perSecond = findPerSecond(registration);
            if (perSecond !== null) {
                rates.take(registration.id, perSecond);
            }
        },
        count: () => [...entries.values()].filter(entry => entry.perSecond !== null).length,
        retainTargets: isKnown => {
            for (const [id, { startedAtMs }] of entries) {
                if (!isKnown(id, startedAtMs)) {
                    entries.delete(id);
                    rates.remove(id);
                }
            }
        },
        refresh: rates.refresh,
        onDidChange: changeEmitter.event,
    };
};

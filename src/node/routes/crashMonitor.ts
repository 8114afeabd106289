/**
 * Counts the targets that end under a request, and shares the counts with the peers.
 */
import * as requestCrashes from "../../common/crashes/requestCrashes.js";
import * as crashTypes from "../../common/crashes/Types.js";
import * as targetReach from "../../common/routes/targetReach.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";

/** Number of target crashes, over all VMs, after which a request is refused. */
const crashLimit = 3;
const maxEntries = 2_000;
/** Each expiry lets a request that still comes crash as many targets again. */
const retentionMs = 600_000;

export interface CrashMonitor extends Omit<crashTypes.RequestCrashes, "recordCrash"> {
    /**
     * Counts a target that was running a request and has broken the connection, or not responded, if it has ended.
     *
     * @param fingerprint - fingerprint of the request
     * @param registration - the target
     */
    recordLoss(fingerprint: string, registration: routes.Registration): Promise<void>;
}

export interface CrashMonitorOptions {
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    readonly connectivity: {
        readonly reach: Pick<targetReach.TargetReach, "confirm">;
        hasEnded(registration: routes.Registration, lostAtMs: number): Promise<boolean>;
    };
    readonly metrics: Pick<metrics.RouteMetrics, "recordCrash">;
}

interface LossCheck {
    readonly result: Promise<metrics.CrashEnd>;
    /** When the last request was lost that waits for the check. */
    readonly lostAtMs: number;
}

/**
 * Creates a monitor that knows no crashes.
 *
 * @param options - clock, logger, metrics and this VM's way to the targets
 * @returns the monitor
 */
export const createCrashMonitor = (options: CrashMonitorOptions): CrashMonitor => {
    const { logger } = options;
    const { reach, hasEnded } = options.connectivity;
    const crashes = requestCrashes.createRequestCrashes({
        clock: options.clock,
        limit: crashLimit,
        maxEntries,
        retentionMs,
    });

    const logReport = ({ fingerprint, service, responses, targetRuns }: crashTypes.CrashReport): void =>
        logger.info("crash: reported by a peer", { fingerprint, service, count: targetRuns.length, responses });

    /** Checks of targets that are about to start, by target, as all requests in flight at a target are lost at once. */
    const checks = new Map<shared.TargetId, LossCheck>();

    /** A partition also breaks connections; without these checks, it would show as crashes that all requests cause. */
    const runCheck = async (registration: routes.Registration): Promise<metrics.CrashEnd> => {
        const isConfirmed = await reach.confirm();
        const lostAtMs = checks.get(registration.id)?.lostAtMs ?? options.clock.now();
        // A later loss needs a check of its own, as the target may end after it has responded to this one.
        checks.delete(registration.id);
        if (!isConfirmed) {
            return "unconfirmed";
        }
        return (await hasEnded(registration, lostAtMs)) ? "counted" : "alive";
    };

    const checkLoss = (registration: routes.Registration): Promise<metrics.CrashEnd> => {
        const result = checks.get(registration.id)?.result ?? runCheck(registration);
        checks.set(registration.id, { result, lostAtMs: options.clock.now() });
        return result;
    };

    return {
        ...crashes,
        recordLoss: async (fingerprint, registration) => {
            const target = registration.id;
            const end = await checkLoss(registration);
            options.metrics.recordCrash(end);
            switch (end) {
                case "counted": {
                    const count = crashes.recordCrash(fingerprint, registration);
                    logger.warn("crash: counted", { fingerprint, target, count });
                    break;
                }
                case "alive":
                    logger.info("crash: not counted, as the target lives", { fingerprint, target });
                    break;
                case "unconfirmed":
                    logger.warn("crash: not counted, as no target is reached", { fingerprint, target });
                    break;
            }
        },
        applyReports: reports => {
            const applied = crashes.applyReports(reports);
            applied.forEach(logReport);
            return applied;
        },
    };
};

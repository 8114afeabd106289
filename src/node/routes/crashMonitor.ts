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
const retentionMs = 60_000;

export interface CrashMonitor extends Omit<crashTypes.RequestCrashes, "recordCrash"> {
    /**
     * Counts a connection that broke under a request, if that was the target's doing.
     *
     * @param fingerprint - fingerprint of the request
     * @param registration - the target
     */
    recordBroken(fingerprint: string, registration: routes.Registration): Promise<void>;
}

export interface CrashMonitorOptions {
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    readonly reach: Pick<targetReach.TargetReach, "confirm">;
    readonly metrics: Pick<metrics.RouteMetrics, "recordCrash">;
}

/**
 * Creates a monitor that knows no crashes.
 *
 * @param options - clock, logger, metrics and this VM's way to the targets
 * @returns the monitor
 */
export const createCrashMonitor = (options: CrashMonitorOptions): CrashMonitor => {
    const { logger } = options;
    const crashes = requestCrashes.createRequestCrashes({
        clock: options.clock,
        limit: crashLimit,
        maxEntries,
        retentionMs,
    });

    const logReport = ({ fingerprint, responses, targetRuns }: crashTypes.CrashReport): void =>
        logger.info("crash: reported by a peer", { fingerprint, count: targetRuns.length, responses });

    return {
        ...crashes,
        /** A partition also breaks connections; without this check, it would show as crashes that all requests cause. */
        recordBroken: async (fingerprint, registration) => {
            const target = registration.id;
            if (await options.reach.confirm()) {
                const count = crashes.recordCrash(fingerprint, registration);
                logger.warn("crash: counted", { fingerprint, target, count });
                options.metrics.recordCrash("counted");
            } else {
                logger.warn("crash: not counted, as no target is reached", { fingerprint, target });
                options.metrics.recordCrash("unconfirmed");
            }
        },
        applyReports: reports => {
            const applied = crashes.applyReports(reports);
            applied.forEach(logReport);
            return applied;
        },
    };
};

/**
 * Probes targets whose load has not been reported recently.
 */
import * as repeat from "../../common/repeat.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";
import * as targetSender from "./targetSender.js";

const probeTimeoutMs = 500;
/** Age of the last report that triggers a probe: the weight of a report decays with `slowdown.reportDecayMs`. */
const probeAfterMs = 150;
const probeIntervalMs = 50;

export interface TargetProber extends shared.Disposable {
    start(): void;
}

/**
 * Creates a prober; it is not started.
 *
 * @param options - the targets and the sender of probes
 * @returns the prober
 */
export const createTargetProber = (options: {
    readonly scheduler: shared.Scheduler;
    readonly targets: targetPool.TargetPool;
    readonly sender: targetSender.TargetSender;
    readonly metrics: Pick<metrics.RouteMetrics, "recordProbe">;
    readonly services: ReadonlyMap<shared.ServiceName, routes.RoutedService>;
    /** Whether this VM probes the targets of a zone that are not limited. */
    mayProbe(zone: shared.ZoneName): boolean;
}): TargetProber => {
    const { scheduler, targets, sender, services } = options;
    let timer: shared.Disposable | undefined;

    const sendProbe = async (registration: routes.Registration): Promise<void> => {
        const path = services.get(registration.service)?.healthPath;
        if (path === undefined) {
            return;
        }
        targets.recordProbe(registration.id);
        const result = await sender.sendProbe({
            registration,
            path,
            timeoutMs: probeTimeoutMs,
            onNewConnection: false,
        });
        options.metrics.recordProbe(result.kind === "response");
        if (result.kind !== "response") {
            return;
        }
        const { head } = result;
        if (head.target !== undefined && head.target !== registration.id) {
            return;
        }
        if (head.load !== undefined) {
            targets.applyReport(registration.id, head.load, scheduler.now());
        }
        if (head.coldLeftMs !== undefined) {
            targets.applyColdLeft(registration.id, head.coldLeftMs);
        }
    };

    const sendProbes = (): void => {
        targets.refreshRates();
        for (const registration of targets.listStale(probeAfterMs, options.mayProbe)) {
            void sendProbe(registration);
        }
    };

    return {
        start: () => {
            timer = repeat.repeatAction(scheduler, probeIntervalMs, sendProbes);
            sendProbes();
        },
        dispose: () => timer?.dispose(),
    };
};

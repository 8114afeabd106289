/**
 * Asks targets for their load when no answer has told it lately.
 */
import * as targetPool from "../../common/routes/targetPool.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as metrics from "./metrics.js";
import * as targetSender from "./targetSender.js";

const probeTimeoutMs = 500;
/** Targets that were silent for longer are asked: a report is worth little after `slowdown.reportDecayMs`. */
const silentAfterMs = 150;
const checkIntervalMs = 50;

export interface TargetProber extends shared.Disposable {
    start(): void;
}

/**
 * Creates a prober that is stopped.
 *
 * @param options - the targets and how to reach them
 * @returns the prober
 */
export const createTargetProber = (options: {
    readonly scheduler: shared.Scheduler;
    readonly book: targetPool.TargetPool;
    readonly sender: targetSender.TargetSender;
    readonly metrics: Pick<metrics.RouteMetrics, "recordProbe">;
    readonly services: ReadonlyMap<shared.ServiceName, routes.RoutedService>;
    /** Whether this VM probes the targets of a zone. */
    mayProbe(zone: shared.ZoneName): boolean;
}): TargetProber => {
    const { scheduler, book, sender, services } = options;
    let timer: shared.Disposable | undefined;

    const probe = async (registration: routes.Registration): Promise<void> => {
        const path = services.get(registration.service)?.healthPath;
        if (path === undefined) {
            return;
        }
        book.recordProbe(registration.id);
        const head = await sender.probe(registration, path, probeTimeoutMs);
        options.metrics.recordProbe(head !== undefined);
        if (head === undefined || (head.target !== undefined && head.target !== registration.id)) {
            return;
        }
        if (head.load !== undefined) {
            book.applyReport(registration.id, head.load, scheduler.now());
        }
        if (head.coldLeftMs !== undefined) {
            book.applyColdLeft(registration.id, head.coldLeftMs);
        }
    };

    const check = (): void => {
        for (const registration of book.listStale(silentAfterMs)) {
            if (options.mayProbe(registration.zone)) {
                void probe(registration);
            }
        }
        timer = scheduler.schedule(checkIntervalMs, check);
    };

    return { start: check, dispose: () => timer?.dispose() };
};

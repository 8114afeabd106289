/**
 * Placeholder until leases are taken in the table service: every owner may send to its cold targets.
 */
import * as events from "../../common/events.js";
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";

export const createColdLeases = (options: {
    readonly scheduler: shared.Scheduler;
    readonly leaseMs: number;
    readonly [other: string]: unknown;
}): routing.ColdLeases & shared.Disposable => {
    const didTake = events.createEmitter<shared.TargetId>();
    return {
        leaseEndMs: () => options.scheduler.now() + options.leaseMs,
        request: () => undefined,
        release: () => undefined,
        onDidTake: didTake.event,
        dispose: () => didTake.dispose(),
    } as routing.ColdLeases & shared.Disposable;
};

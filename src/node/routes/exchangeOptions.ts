/**
 * What the exchanges of all requests of a daemon share.
 */
import * as crashes from "../../common/crashes/Types.js";
import * as admissionQueue from "../../common/routes/admissionQueue.js";
import * as targetPool from "../../common/routes/targetPool.js";
import * as routes from "../../common/routes/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import * as drainControl from "./drainControl.js";
import * as exchangeLog from "./exchangeLog.js";
import * as targetSender from "./targetSender.js";

export interface ExchangeOptions {
    readonly scheduler: shared.Scheduler;
    readonly targets: targetPool.TargetPool;
    readonly queue: admissionQueue.AdmissionQueue<targetPool.PickResult>;
    readonly sender: Pick<targetSender.TargetSender, "start">;
    readonly budget: routing.RetryBudget;
    readonly crashes: Pick<crashes.RequestCrashes, "recordSuccess" | "isBlocked">;
    readonly drain: drainControl.DrainControl;
    readonly logger: shared.Logger;
    readonly metrics: exchangeLog.ExchangeMetrics;
    /** Fires when this VM has noticed that it reaches no target, and another VM can take its requests. */
    readonly onDidLoseTargets: shared.Event<void>;
    /** Called with an error that no other handler expects; it ends the request. */
    recordError(error: unknown): void;
    /** Called when a target that was running the request has broken the connection, or has not responded in time. */
    recordLoss(fingerprint: string, registration: routes.Registration): void;
}

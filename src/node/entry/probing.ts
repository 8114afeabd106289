/**
 * Sends the prober's probes to targets.
 */
import * as config from "../../common/config/Types.js";
import * as shared from "../../common/Types.js";
import * as attemptTimeouts from "../front/attemptTimeouts.js";
import * as bodyReader from "../front/bodyReader.js";
import * as forward from "../forward/Types.js";
import * as targetReports from "../front/targetReports.js";
import * as probers from "../probes/prober.js";

/** A probe needs only one connection to its target. */
const probeConnections = 1;

/**
 * Creates the function that sends one probe.
 *
 * @param sender - connections to targets
 * @param scheduler - timers
 * @returns a function that never rejects
 */
export const createProbeSender =
    (sender: forward.Sender, scheduler: shared.Scheduler) =>
    async (target: config.TargetConfig, timeoutMs: number): Promise<probers.ProbeResult> => {
        const attemptId = attemptTimeouts.createAttemptId();
        const startedAtMs = scheduler.now();
        const attempt = sender.send({
            address: target.address,
            connectionClass: "probe",
            connections: probeConnections,
            method: "GET",
            path: "/probe",
            headers: { "tarragon-attempt-id": attemptId, "tarragon-deadline-ms": String(timeoutMs) },
            body: bodyReader.createBufferedBody(Buffer.alloc(0)),
            attempt: attemptId,
            mayWrite: () => true,
        });
        const timer = scheduler.schedule(timeoutMs, () => attempt.abort("probe timed out"));
        try {
            const head = await attempt.head;
            if (head.kind !== "response") {
                return { kind: "failed" };
            }
            const latencyMs = scheduler.now() - startedAtMs;
            await attempt.readBody({ write: () => true, onDrain: resume => resume() });
            const report = targetReports.parseTargetReport(head.headers);
            // A response without a target report cannot keep the target in service.
            return head.status >= 500 || report === undefined
                ? { kind: "failed" }
                : { kind: "answered", report, latencyMs };
        } finally {
            timer.dispose();
        }
    };

/**
 * Sends a call to one target.
 */
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import * as forward from "../forward/Types.js";
import * as answerRelay from "./answerRelay.js";
import * as attemptWatch from "./attemptWatch.js";
import * as headers from "./headers.js";
import * as targetReports from "./targetReports.js";
import * as types from "./Types.js";

type LocalGrant = Extract<routing.SlotGrant, { kind: "local" }>;

export interface TargetStep {
    /**
     * Sends a call to the target of a granted slot and releases the slot.
     *
     * @returns how the attempt has ended
     */
    send(call: types.Call, port: types.AnswerPort, signal: AbortSignal, grant: LocalGrant): Promise<types.StepResult>;
}

/**
 * Creates the step that sends calls to targets.
 *
 * @param options - the parts of the daemon
 * @returns the step
 */
export const createTargetStep = (options: types.StepOptions): TargetStep => {
    const { scheduler, sender, traces } = options;

    const recordCrash = async (call: types.Call, target: shared.TargetId): Promise<void> => {
        const fingerprint = options.computeFingerprint(call);
        // A caller may send the request again as soon as it has the answer, so the peers learn of the crash first.
        await options.crashes.recordCrash(fingerprint, target);
        traces.record(call.head.id, "the connection broke before the answer began; counted as a crash");
    };

    const send = async (
        call: types.Call,
        port: types.AnswerPort,
        signal: AbortSignal,
        grant: LocalGrant,
    ): Promise<types.StepResult> => {
        const attemptId = attemptWatch.createAttemptId();
        const startedAtMs = scheduler.now();
        const attempt = sender.send({
            address: grant.target.address,
            connectionClass: call.isIdempotent ? "idempotent" : "nonIdempotent",
            connections: call.service.connections,
            method: call.head.method,
            path: call.head.path,
            headers: attemptWatch.createAttemptHeaders(call, attemptId, grant.endsAtMs, startedAtMs),
            body: call.body,
            attempt: attemptId,
            mayWrite: () => options.isFresh() && scheduler.now() < grant.endsAtMs,
        });
        const watch = attemptWatch.createAttemptWatch(options, call, attempt, grant.endsAtMs, signal);
        try {
            const head = await attempt.head;
            watch.stopSilenceLimit();
            const latencyMs = scheduler.now() - startedAtMs;
            switch (head.kind) {
                case "response":
                    return await finishAnswer(call, port, grant, attempt, head, latencyMs);
                case "withheld":
                    grant.release({ kind: "cancelled" });
                    return {
                        kind: "notRun",
                        error: options.isFresh() ? "deadline_exceeded_not_run" : "stale_configuration",
                    };
                case "notSent":
                    grant.release(signal.aborted ? { kind: "cancelled" } : { kind: "unreachable" });
                    return { kind: "notRun", error: "target_unreachable" };
                case "mismatched":
                    grant.release({ kind: "broken" });
                    return { kind: "unknown", error: "answer_mismatched" };
                case "broken":
                    if (options.unsafe.has("assume-not-sent") && !head.aborted) {
                        grant.release({ kind: "unreachable" });
                        return { kind: "notRun", error: "target_unreachable" };
                    }
                    return await finishBroken(call, grant, head, signal);
            }
        } finally {
            watch.dispose();
        }
    };

    const finishBroken = async (
        call: types.Call,
        grant: LocalGrant,
        head: Extract<forward.AttemptHead, { kind: "broken" }>,
        signal: AbortSignal,
    ): Promise<types.StepResult> => {
        traces.record(call.head.id, `no answer from ${grant.target.id}: ${head.cause}`);
        options.logger.warn("front: no answer from a target", {
            call: call.head.id,
            target: grant.target.id,
            cause: head.cause,
            aborted: head.aborted,
        });
        const fault = call.body.getFault();
        if (fault !== undefined) {
            grant.release({ kind: "cancelled" });
            return { kind: "unknown", error: fault === "tooLarge" ? "body_limit_exceeded" : "request_truncated" };
        }
        if (!head.aborted) {
            grant.release({ kind: "broken" });
            await recordCrash(call, grant.target.id);
            return { kind: "unknown", error: "outcome_unknown" };
        }
        grant.release(signal.aborted ? { kind: "cancelled" } : { kind: "silent" });
        const isLate = scheduler.now() >= call.deadlineAtMs;
        return { kind: "unknown", error: isLate ? "deadline_exceeded" : "outcome_unknown" };
    };

    const finishAnswer = async (
        call: types.Call,
        port: types.AnswerPort,
        grant: LocalGrant,
        attempt: forward.Attempt,
        head: Extract<forward.AttemptHead, { kind: "response" }>,
        latencyMs: number,
    ): Promise<types.StepResult> => {
        const reported = targetReports.parseTargetReport(head.headers);
        const isIgnored = reported?.state === "draining" && options.unsafe.has("ignore-draining");
        const report = isIgnored ? { ...reported, state: "warm" as const } : reported;
        if (targetReports.isRefusal(head)) {
            attempt.abort("refused by the target");
            grant.release({ kind: "refused", report });
            traces.record(call.head.id, `${grant.target.id} refused before it started`);
            return { kind: "notRun", error: "target_refused" };
        }
        const extra = { [headers.headerNames.outcome]: "ran", [headers.headerNames.target]: grant.target.id };
        const relayed = await answerRelay.relayAnswer(
            port,
            attempt,
            head,
            extra,
            false,
            !call.isIdempotent,
            options.unsafe.has("end-truncated"),
        );
        grant.release({ kind: "answered", latencyMs, report });
        options.recordLatency(call.head.service, latencyMs);
        if (!options.crashes.isEmpty()) {
            options.crashes.recordAnswer(options.computeFingerprint(call));
        }
        traces.record(call.head.id, `${grant.target.id} answered ${head.status}, body ${relayed.end.kind}`);
        const answer = relayed.end.kind === "complete" ? relayed.kept : { ...relayed.kept, body: undefined };
        return { kind: "finished", result: { kind: "done", response: answer } };
    };

    return { send };
};

/**
 * Forwards calls to targets.
 */
import * as routing from "../../common/routing/Types.js";
import * as shared from "../../common/Types.js";
import * as forward from "../forward/Types.js";
import * as responseRelay from "./responseRelay.js";
import * as attemptTimeouts from "./attemptTimeouts.js";
import * as headers from "./headers.js";
import * as targetReports from "./targetReports.js";
import * as types from "./Types.js";

type LocalGrant = Extract<routing.SlotGrant, { kind: "local" }>;

export interface TargetForwarder {
    /**
     * Sends a call to the target of a granted slot and releases the slot.
     *
     * @returns the outcome of the attempt
     */
    send(
        call: types.Call,
        writer: types.ResponseWriter,
        signal: AbortSignal,
        grant: LocalGrant,
    ): Promise<types.AttemptResult>;
}

/**
 * Creates the forwarder to targets.
 *
 * @param options - dependencies of the forwarder
 * @returns the forwarder
 */
export const createTargetForwarder = (options: types.ForwarderOptions): TargetForwarder => {
    const { scheduler, sender, traces } = options;

    const recordCrash = async (call: types.Call, target: shared.TargetId): Promise<void> => {
        const fingerprint = options.computeFingerprint(call);
        // The caller may resend the request as soon as it has the response, so the crash is reported to the peers
        // first.
        await options.crashes.recordCrash(fingerprint, target);
        traces.record(call.head.id, "the connection broke before the response began; counted as a crash");
    };

    const send = async (
        call: types.Call,
        writer: types.ResponseWriter,
        signal: AbortSignal,
        grant: LocalGrant,
    ): Promise<types.AttemptResult> => {
        const attemptId = attemptTimeouts.createAttemptId();
        const startedAtMs = scheduler.now();
        const attempt = sender.send({
            address: grant.target.address,
            connectionClass: call.isIdempotent ? "idempotent" : "nonIdempotent",
            connections: call.service.connections,
            method: call.head.method,
            path: call.head.path,
            headers: attemptTimeouts.createAttemptHeaders(call, attemptId, grant.endsAtMs, startedAtMs),
            body: call.body,
            attempt: attemptId,
            mayWrite: () => options.isFresh() && scheduler.now() < grant.endsAtMs,
        });
        const timeouts = attemptTimeouts.createAttemptTimeouts(options, call, attempt, grant.endsAtMs, signal);
        try {
            const head = await attempt.head;
            timeouts.stopResponseTimeout();
            const latencyMs = scheduler.now() - startedAtMs;
            switch (head.kind) {
                case "response":
                    return await finishResponse(call, writer, grant, attempt, head, latencyMs);
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
                    return await finishBrokenAttempt(call, grant, head, signal);
            }
        } finally {
            timeouts.dispose();
        }
    };

    const finishBrokenAttempt = async (
        call: types.Call,
        grant: LocalGrant,
        head: Extract<forward.AttemptHead, { kind: "broken" }>,
        signal: AbortSignal,
    ): Promise<types.AttemptResult> => {
        traces.record(call.head.id, `no response from ${grant.target.id}: ${head.cause}`);
        options.logger.warn("front: no response from a target", {
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
        const isPastDeadline = scheduler.now() >= call.deadlineAtMs;
        return { kind: "unknown", error: isPastDeadline ? "deadline_exceeded" : "outcome_unknown" };
    };

    const finishResponse = async (
        call: types.Call,
        writer: types.ResponseWriter,
        grant: LocalGrant,
        attempt: forward.Attempt,
        head: Extract<forward.AttemptHead, { kind: "response" }>,
        latencyMs: number,
    ): Promise<types.AttemptResult> => {
        const reported = targetReports.parseTargetReport(head.headers);
        const isDrainingIgnored = reported?.state === "draining" && options.unsafe.has("ignore-draining");
        const report = isDrainingIgnored ? { ...reported, state: "warm" as const } : reported;
        if (targetReports.isRefusal(head)) {
            attempt.abort("refused by the target");
            grant.release({ kind: "refused", report });
            traces.record(call.head.id, `${grant.target.id} refused the call before running it`);
            return { kind: "notRun", error: "target_refused" };
        }
        const addedHeaders = { [headers.headerNames.outcome]: "ran", [headers.headerNames.target]: grant.target.id };
        const relayed = await responseRelay.relayResponse(
            writer,
            attempt,
            head,
            addedHeaders,
            false,
            !call.isIdempotent,
            options.unsafe.has("end-truncated"),
        );
        grant.release({ kind: "answered", latencyMs, report });
        options.recordLatency(call.head.service, latencyMs);
        const isSuccess = head.status < 400 && relayed.end.kind === "complete";
        if (isSuccess && !options.crashes.isEmpty()) {
            options.crashes.recordSuccess(options.computeFingerprint(call));
        }
        traces.record(call.head.id, `${grant.target.id} responded with ${head.status}, body ${relayed.end.kind}`);
        const keptResponse = relayed.end.kind === "complete" ? relayed.kept : { ...relayed.kept, body: undefined };
        return { kind: "finished", result: { kind: "done", response: keptResponse } };
    };

    return { send };
};

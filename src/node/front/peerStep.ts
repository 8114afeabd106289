/**
 * Sends a call to another entry VM: the owner of a cell or the arbiter of a key.
 */
import type * as http from "node:http";
import * as claims from "../../common/claims/Types.js";
import * as errors from "../../common/errors/Types.js";
import * as membership from "../../common/membership/Types.js";
import * as forward from "../forward/Types.js";
import * as answerRelay from "./answerRelay.js";
import * as attemptWatch from "./attemptWatch.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

const peerConnections = 64;

export interface PeerStep {
    /**
     * Forwards a call and relays the answer of a target.
     *
     * @returns how the attempt has ended
     */
    send(
        call: types.Call,
        port: types.AnswerPort,
        signal: AbortSignal,
        member: membership.Member,
        hop: "arbiter" | "route",
    ): Promise<types.StepResult>;
}

/**
 * Creates the step that forwards calls to other entry VMs.
 *
 * @param options - the parts of the daemon
 * @returns the step
 */
export const createPeerStep = (options: types.StepOptions): PeerStep => {
    const { scheduler, sender, traces } = options;

    const toResult = (error: errors.ErrorKind, outcome: string | undefined): claims.ClaimResult =>
        outcome === "not-run" ? { kind: "notRun", error } : { kind: "mayHaveRun", error };

    /**
     * Relays the answer of a target. An error is not relayed: that the peer did not run the call does not say that no
     * earlier attempt has run it.
     */
    const finishForwarded = async (
        call: types.Call,
        port: types.AnswerPort,
        attempt: forward.Attempt,
        head: { readonly status: number; readonly headers: http.IncomingHttpHeaders },
    ): Promise<types.StepResult> => {
        const outcome = String(head.headers[headers.headerNames.outcome]);
        if (outcome !== "ran") {
            const error = String(head.headers[headers.headerNames.error] ?? "outcome_unknown") as errors.ErrorKind;
            await attempt.readBody({ write: () => true, onDrain: resume => resume() });
            return { kind: "finished", result: toResult(error, outcome) };
        }
        const relayed = await answerRelay.relayAnswer(port, attempt, head, {}, true, !call.isIdempotent);
        const answer = relayed.end.kind === "complete" ? relayed.kept : { ...relayed.kept, body: undefined };
        return { kind: "finished", result: { kind: "done", response: answer } };
    };

    const send = async (
        call: types.Call,
        port: types.AnswerPort,
        signal: AbortSignal,
        member: membership.Member,
        hop: "arbiter" | "route",
    ): Promise<types.StepResult> => {
        const attemptId = attemptWatch.createAttemptId();
        const attempt = sender.send({
            address: member.info.control,
            connectionClass: "peer",
            connections: peerConnections,
            method: call.head.method,
            path: `/forward/${call.head.service}${call.head.path}`,
            headers: {
                ...attemptWatch.createAttemptHeaders(call, attemptId, call.deadlineAtMs, scheduler.now()),
                [headers.headerNames.hop]: hop,
                [headers.headerNames.arbitrated]: String(hop === "route" && !call.isIdempotent),
            },
            body: call.body,
            attempt: attemptId,
            mayWrite: () => options.isFresh(),
        });
        const watch = attemptWatch.createAttemptWatch(options, call, attempt, call.deadlineAtMs, signal);
        watch.stopSilenceLimit();
        try {
            const head = await attempt.head;
            switch (head.kind) {
                case "response":
                    return await finishForwarded(call, port, attempt, head);
                case "withheld":
                    return { kind: "notRun", error: "stale_configuration" };
                case "notSent":
                    traces.record(call.head.id, `${member.info.vm} is unreachable: ${head.cause}`);
                    return { kind: "notRun", error: "target_unreachable" };
                case "mismatched":
                    return { kind: "unknown", error: "answer_mismatched" };
                case "broken":
                    return { kind: "unknown", error: head.aborted ? "deadline_exceeded" : "outcome_unknown" };
            }
        } finally {
            watch.dispose();
        }
    };

    return { send };
};

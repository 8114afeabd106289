/**
 * Forwards calls to other entry VMs: the owner of a cell or the arbiter of a key.
 */
import type * as http from "node:http";
import * as claims from "../../common/claims/Types.js";
import * as errors from "../../common/errors/Types.js";
import * as membership from "../../common/membership/Types.js";
import * as forward from "../forward/Types.js";
import * as responseRelay from "./responseRelay.js";
import * as attemptTimeouts from "./attemptTimeouts.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

const maxPeerConnections = 64;

export interface PeerForwarder {
    /**
     * Forwards a call and relays the target's response.
     *
     * @returns the outcome of the attempt
     */
    send(
        call: types.Call,
        writer: types.ResponseWriter,
        signal: AbortSignal,
        member: membership.Member,
        hop: "arbiter" | "route",
    ): Promise<types.AttemptResult>;
}

/**
 * Creates the forwarder to other entry VMs.
 *
 * @param options - dependencies of the forwarder
 * @returns the forwarder
 */
export const createPeerForwarder = (options: types.ForwarderOptions): PeerForwarder => {
    const { scheduler, sender, traces } = options;

    const toResult = (error: errors.ErrorKind, outcome: string | undefined): claims.ClaimResult =>
        outcome === "not-run" ? { kind: "notRun", error } : { kind: "mayHaveRun", error };

    /**
     * Relays the response of a target. An error response is not relayed: even if the peer did not run the call, an
     * earlier attempt may have run it.
     */
    const finishForwardedCall = async (
        call: types.Call,
        writer: types.ResponseWriter,
        attempt: forward.Attempt,
        head: { readonly status: number; readonly headers: http.IncomingHttpHeaders },
    ): Promise<types.AttemptResult> => {
        const outcome = String(head.headers[headers.headerNames.outcome]);
        if (outcome !== "ran") {
            const error = String(head.headers[headers.headerNames.error] ?? "outcome_unknown") as errors.ErrorKind;
            await attempt.readBody({ write: () => true, onDrain: resume => resume() });
            return { kind: "finished", result: toResult(error, outcome) };
        }
        const relayed = await responseRelay.relayResponse(writer, attempt, head, {}, true, !call.isIdempotent);
        const keptResponse = relayed.end.kind === "complete" ? relayed.kept : { ...relayed.kept, body: undefined };
        return { kind: "finished", result: { kind: "done", response: keptResponse } };
    };

    const send = async (
        call: types.Call,
        writer: types.ResponseWriter,
        signal: AbortSignal,
        member: membership.Member,
        hop: "arbiter" | "route",
    ): Promise<types.AttemptResult> => {
        const attemptId = attemptTimeouts.createAttemptId();
        const attempt = sender.send({
            address: member.info.control,
            connectionClass: "peer",
            connections: maxPeerConnections,
            method: call.head.method,
            path: `/forward/${call.head.service}${call.head.path}`,
            headers: {
                ...attemptTimeouts.createAttemptHeaders(call, attemptId, call.deadlineAtMs, scheduler.now()),
                [headers.headerNames.hop]: hop,
                [headers.headerNames.arbitrated]: String(hop === "route" && !call.isIdempotent),
            },
            body: call.body,
            attempt: attemptId,
            mayWrite: () => options.isFresh(),
        });
        const timeouts = attemptTimeouts.createAttemptTimeouts(options, call, attempt, call.deadlineAtMs, signal);
        timeouts.stopResponseTimeout();
        try {
            const head = await attempt.head;
            switch (head.kind) {
                case "response":
                    return await finishForwardedCall(call, writer, attempt, head);
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
            timeouts.dispose();
        }
    };

    return { send };
};

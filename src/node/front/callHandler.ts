/**
 * A call from its arrival to its answer.
 */
import type * as http from "node:http";
import * as claims from "../../common/claims/Types.js";
import * as config from "../../common/config/Types.js";
import * as errors from "../../common/errors/errors.js";
import * as errorTable from "../../common/errors/errorTable.js";
import * as errorKinds from "../../common/errors/Types.js";
import * as membership from "../../common/membership/Types.js";
import * as shared from "../../common/Types.js";
import type * as unsafeSwitches from "../entry/unsafeSwitches.js";
import * as answerPorts from "./answerPort.js";
import * as bodyReader from "./bodyReader.js";
import * as callRunner from "./callRunner.js";
import * as peerSteps from "./peerStep.js";
import * as requestParser from "./requestParser.js";
import * as types from "./Types.js";

export interface CallHandlerOptions {
    readonly self: { readonly vm: shared.VmId };
    readonly scheduler: shared.Scheduler;
    readonly claims: claims.ClaimController;
    readonly runner: callRunner.CallRunner;
    readonly traces: types.TraceStore;
    readonly logger: shared.Logger;
    isFresh(): boolean;
    isLeaving(): boolean;
    findService(name: shared.ServiceName): config.ServiceSection | undefined;
    isIdempotent(service: shared.ServiceName, method: string, path: string): boolean;
    computeSignature(method: string, path: string, length: number | undefined): claims.RequestSignature;
    findIncarnation(incarnation: shared.IncarnationId): membership.Member | undefined;
    listOtherAddresses(): readonly shared.Address[];
    readonly peerStep: peerSteps.PeerStep;
    readonly unsafe: unsafeSwitches.UnsafeSwitches;
}

export interface CallHandler {
    handle(request: http.IncomingMessage, response: http.ServerResponse, isFromPeer: boolean): Promise<void>;
    /** Calls that have arrived and not ended, those without a caller included. */
    countCalls(): number;
}

/** Refusals of requests that no entry VM would run. */
const wrongRequestKinds: ReadonlySet<errorKinds.ErrorKind> = new Set([
    "bad_request",
    "unknown_service",
    "body_too_large",
]);

/**
 * Creates the handler of calls.
 *
 * @param options - the parts that it uses
 * @returns the handler
 */
export const createCallHandler = (options: CallHandlerOptions): CallHandler => {
    const { scheduler, traces, logger } = options;
    let calls = 0;

    const createPort = (head: types.CallHead, response: http.ServerResponse): types.AnswerPort =>
        answerPorts.createAnswerPort({
            response,
            entry: options.self.vm,
            requestId: head.id,
            listOtherAddresses: options.listOtherAddresses,
            // Closing while a body still arrives resets the connection, and the caller or peer would lose the answer.
            mustClose: () => options.isLeaving() && response.req.complete,
        });

    const refuse = (
        head: types.CallHead,
        port: types.AnswerPort,
        kind: errorKinds.ErrorKind,
        message: string,
    ): void => {
        traces.record(head.id, `answered ${kind}: ${message}`);
        logger.info(`front: call ${head.id} is refused, ${kind}`, { service: head.service, cause: message });
        port.refuse(kind, message);
    };

    const findService = (head: types.CallHead): config.ServiceSection => {
        if (!options.isFresh()) {
            throw errors.createCallError("stale_configuration", "the configuration has not been confirmed in time");
        }
        const service = options.findService(head.service);
        if (service === undefined) {
            throw errors.createCallError("unknown_service", `no service is named ${head.service}`);
        }
        if (head.contentLength !== undefined && head.contentLength > service.maxBodyBytes) {
            throw errors.createCallError(
                "body_too_large",
                `the body has ${head.contentLength} bytes; ${head.service} takes at most ${service.maxBodyBytes}`,
            );
        }
        return service;
    };

    const readCall = async (
        request: http.IncomingMessage,
        head: types.CallHead,
        service: config.ServiceSection,
        deadlineAtMs: number,
        signal: AbortSignal,
    ): Promise<types.Call> => {
        const isIdempotent = options.isIdempotent(head.service, head.method, head.path);
        if (!isIdempotent && head.key === undefined) {
            throw errors.createCallError(
                "idempotency_key_required",
                `${head.method} ${head.path} is not idempotent at ${head.service}, so it needs an Idempotency-Key`,
            );
        }
        const body = await bodyReader.readBody(
            request,
            { contentLength: head.contentLength, maxBytes: service.maxBodyBytes },
            signal,
        );
        return { head, service, isIdempotent, body, deadlineAtMs };
    };

    /** Runs a call under a claim; it goes on when the caller has left. */
    const runClaimed = async (
        call: types.Call,
        claim: claims.Claim,
        port: types.AnswerPort,
        signal: AbortSignal,
    ): Promise<void> => {
        let result: claims.ClaimResult = { kind: "mayHaveRun", error: "internal" };
        try {
            result = await options.runner.run(call, port, signal);
        } finally {
            claim.finish(result);
        }
        answerResult(call, port, result);
    };

    const answerResult = (call: types.Call, port: types.AnswerPort, result: claims.ClaimResult): void => {
        switch (result.kind) {
            case "done":
                return;
            case "notRun":
            case "mayHaveRun":
                if (port.isOpen()) {
                    refuse(call.head, port, result.error, "no target has answered the call");
                }
        }
    };

    const replay = (call: types.Call, port: types.AnswerPort, answer: claims.KeptResponse): void => {
        traces.record(call.head.id, "answered from the memory of the key");
        if (answer.body === undefined) {
            refuse(call.head, port, "answer_not_kept", "the call has run; its answer was not kept");
            return;
        }
        port.replay(answer);
    };

    const waitForResult = async (
        call: types.Call,
        port: types.AnswerPort,
        pending: Promise<claims.ClaimResult>,
        signal: AbortSignal,
    ): Promise<void> => {
        traces.record(call.head.id, "waits for the same call, which is running");
        const expired = new Promise<undefined>(resolve => signal.addEventListener("abort", () => resolve(undefined)));
        const result = await Promise.race([pending, expired]);
        if (result === undefined) {
            refuse(call.head, port, "key_in_progress", "the call with this key is still running");
        } else if (result.kind === "done") {
            replay(call, port, result.response);
        } else {
            answerResult(call, port, result);
        }
    };

    const forwardToArbiter = async (
        call: types.Call,
        incarnation: shared.IncarnationId,
        port: types.AnswerPort,
        signal: AbortSignal,
    ): Promise<void> => {
        const member = call.head.hop.kind === "caller" ? options.findIncarnation(incarnation) : undefined;
        if (member === undefined) {
            refuse(call.head, port, "arbiter_gone", `the entry VM that issued the key, ${incarnation}, is gone`);
            return;
        }
        traces.record(call.head.id, `forwarded to ${member.info.vm}, arbiter of the key`);
        const step = await options.peerStep.send(call, port, signal, member, "arbiter");
        if (step.kind === "finished") {
            answerResult(call, port, step.result);
        } else if (port.isOpen()) {
            // Without the arbiter it cannot be told whether an earlier call with this key has run.
            const kind = step.kind === "notRun" && step.error === "target_unreachable" ? "arbiter_gone" : step.error;
            refuse(call.head, port, kind, "the arbiter of the key has not answered");
        }
    };

    const dispatchCall = async (call: types.Call, port: types.AnswerPort, signal: AbortSignal): Promise<void> => {
        const isArbitrated =
            options.unsafe.has("no-arbiter") || (call.head.hop.kind === "route" && call.head.hop.arbitrated);
        if (call.isIdempotent || isArbitrated || call.head.key === undefined) {
            answerResult(call, port, await options.runner.run(call, port, signal));
            return;
        }
        const decision = await options.claims.begin({
            service: call.head.service,
            key: call.head.key,
            signature: options.computeSignature(call.head.method, call.head.path, call.body.length),
        });
        switch (decision.kind) {
            case "run":
                return await runClaimed(call, decision.claim, port, signal);
            case "wait":
                return await waitForResult(call, port, decision.result, signal);
            case "replay":
                return replay(call, port, decision.response);
            case "forward":
                return await forwardToArbiter(call, decision.incarnation, port, signal);
            case "refuse":
                return refuse(call.head, port, decision.error, decision.message);
        }
    };

    const handleHead = async (
        request: http.IncomingMessage,
        head: types.CallHead,
        port: types.AnswerPort,
    ): Promise<void> => {
        const arrivedAtMs = scheduler.now();
        const service = findService(head);
        const deadlineMs = head.deadlineMs ?? service.deadlineMs;
        const deadlineAtMs = arrivedAtMs + deadlineMs;
        const controller = new AbortController();
        const expire = (): void => {
            controller.abort(
                errors.createCallError("deadline_exceeded_not_run", "the deadline passed before a slot was free"),
            );
        };
        const timer = scheduler.schedule(deadlineMs, expire);
        let isIdempotent = true;
        const leaving = port.onDidLeave(() => {
            // A call that is not idempotent goes on, so that its answer can be kept for a resend.
            if (isIdempotent) {
                controller.abort(errors.createCallError("deadline_exceeded_not_run", "the caller has left"));
            }
        });
        try {
            const call = await readCall(request, head, service, deadlineAtMs, controller.signal);
            isIdempotent = call.isIdempotent;
            const expiry = scheduler.schedule(deadlineMs, () => {
                if (port.isOpen() && !call.isIdempotent) {
                    refuse(
                        head,
                        port,
                        "deadline_exceeded",
                        `no answer within ${deadlineMs} ms; the call may still end`,
                    );
                }
            });
            try {
                await dispatchCall(call, port, controller.signal);
            } finally {
                expiry.dispose();
            }
        } finally {
            timer.dispose();
            leaving.dispose();
        }
    };

    /**
     * Corrects a refusal that was decided without the arbiter of the key. The same call may have been sent before, and
     * then "not run" would be false.
     */
    const toSafeKind = (head: types.CallHead, kind: errorKinds.ErrorKind): errorKinds.ErrorKind => {
        const isDecided = head.key === undefined || head.hop.kind === "route";
        if (isDecided || errorTable.errorTable[kind].outcome !== "not-run") {
            return kind;
        }
        if (options.isIdempotent(head.service, head.method, head.path)) {
            return kind;
        }
        switch (options.claims.findOutcome(head.service, head.key)) {
            case "notRun":
                return kind;
            case "ran":
                return "answer_not_kept";
            case "mayHaveRun":
                return "outcome_unknown";
            case "unknown":
                return wrongRequestKinds.has(kind) ? kind : "outcome_unknown";
        }
    };

    const handleError = (head: types.CallHead, port: types.AnswerPort, error: unknown): void => {
        if (errors.isCallError(error)) {
            const kind = toSafeKind(head, error.kind);
            const suffix = kind === error.kind ? "" : "; an earlier call with this key may have run";
            refuse(head, port, kind, `${error.message}${suffix}`);
            return;
        }
        logger.error(`front: call ${head.id} failed`, {
            cause: error instanceof Error ? (error.stack ?? error.message) : "?",
        });
        refuse(head, port, "internal", "the entry VM failed to handle the call");
    };

    const handle = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        isFromPeer: boolean,
    ): Promise<void> => {
        let head: types.CallHead;
        try {
            head = requestParser.parseCallHead(request, isFromPeer);
        } catch (error) {
            const fallback = requestParser.createFallbackHead(request);
            handleError(fallback, createPort(fallback, response), error);
            return;
        }
        const port = createPort(head, response);
        calls++;
        try {
            await handleHead(request, head, port);
        } catch (error) {
            handleError(head, port, error);
        } finally {
            bodyReader.dropRest(request);
            calls--;
        }
    };

    return { handle, countCalls: () => calls };
};

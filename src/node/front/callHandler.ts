/**
 * Handles calls from their arrival to the response.
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
import * as responseWriters from "./responseWriter.js";
import * as bodyReader from "./bodyReader.js";
import * as callRunner from "./callRunner.js";
import * as peerForwarders from "./peerForwarder.js";
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
    readonly peerForwarder: peerForwarders.PeerForwarder;
    readonly unsafe: unsafeSwitches.UnsafeSwitches;
}

export interface CallHandler {
    handle(request: http.IncomingMessage, response: http.ServerResponse, isFromPeer: boolean): Promise<void>;
    /** Counts calls in progress, including those whose caller has disconnected. */
    countCalls(): number;
}

/** Kinds of errors in the request itself: no entry VM would run such a call. */
const invalidRequestKinds: ReadonlySet<errorKinds.ErrorKind> = new Set([
    "bad_request",
    "unknown_service",
    "body_too_large",
]);

/**
 * Creates the handler of calls.
 *
 * @param options - dependencies of the handler
 * @returns the handler
 */
export const createCallHandler = (options: CallHandlerOptions): CallHandler => {
    const { scheduler, traces, logger } = options;
    let activeCalls = 0;

    const createResponseWriter = (head: types.CallHead, response: http.ServerResponse): types.ResponseWriter =>
        responseWriters.createResponseWriter({
            response,
            entry: options.self.vm,
            requestId: head.id,
            listOtherAddresses: options.listOtherAddresses,
            // Closing while the request body is still arriving resets the connection and loses the response.
            isClosing: () => options.isLeaving() && response.req.complete,
        });

    const refuse = (
        head: types.CallHead,
        writer: types.ResponseWriter,
        kind: errorKinds.ErrorKind,
        message: string,
    ): void => {
        traces.record(head.id, `responded with error ${kind}: ${message}`);
        logger.info(`front: call ${head.id} refused: ${kind}`, { service: head.service, cause: message });
        writer.refuse(kind, message);
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

    /** Runs a call under a claim. It continues if the caller disconnects. */
    const runClaimedCall = async (
        call: types.Call,
        claim: claims.Claim,
        writer: types.ResponseWriter,
        signal: AbortSignal,
    ): Promise<void> => {
        let result: claims.ClaimResult = { kind: "mayHaveRun", error: "internal" };
        try {
            result = await options.runner.run(call, writer, signal);
        } finally {
            claim.finish(result);
        }
        respondWithResult(call, writer, result);
    };

    const respondWithResult = (call: types.Call, writer: types.ResponseWriter, result: claims.ClaimResult): void => {
        switch (result.kind) {
            case "done":
                return;
            case "notRun":
            case "mayHaveRun":
                if (writer.isOpen()) {
                    refuse(call.head, writer, result.error, "no target has answered the call");
                }
        }
    };

    const replay = (call: types.Call, writer: types.ResponseWriter, keptResponse: claims.KeptResponse): void => {
        traces.record(call.head.id, "replayed the kept response of the key");
        if (keptResponse.body === undefined) {
            refuse(call.head, writer, "answer_not_kept", "the call has run; its answer was not kept");
            return;
        }
        writer.replay(keptResponse);
    };

    const waitForResult = async (
        call: types.Call,
        writer: types.ResponseWriter,
        pending: Promise<claims.ClaimResult>,
        signal: AbortSignal,
    ): Promise<void> => {
        traces.record(call.head.id, "waiting for the result of the same call, which is already running");
        const expired = new Promise<undefined>(resolve => signal.addEventListener("abort", () => resolve(undefined)));
        const result = await Promise.race([pending, expired]);
        if (result === undefined) {
            refuse(call.head, writer, "key_in_progress", "the call with this key is still running");
        } else if (result.kind === "done") {
            replay(call, writer, result.response);
        } else {
            respondWithResult(call, writer, result);
        }
    };

    const forwardToArbiter = async (
        call: types.Call,
        incarnation: shared.IncarnationId,
        writer: types.ResponseWriter,
        signal: AbortSignal,
    ): Promise<void> => {
        const member = call.head.hop.kind === "caller" ? options.findIncarnation(incarnation) : undefined;
        if (member === undefined) {
            refuse(call.head, writer, "arbiter_gone", `the entry VM that issued the key, ${incarnation}, is gone`);
            return;
        }
        traces.record(call.head.id, `forwarded to ${member.info.vm}, arbiter of the key`);
        const attemptResult = await options.peerForwarder.send(call, writer, signal, member, "arbiter");
        if (attemptResult.kind === "finished") {
            respondWithResult(call, writer, attemptResult.result);
        } else if (writer.isOpen()) {
            // Without the arbiter it is unknown whether an earlier call with this key has run.
            const kind =
                attemptResult.kind === "notRun" && attemptResult.error === "target_unreachable"
                    ? "arbiter_gone"
                    : attemptResult.error;
            refuse(call.head, writer, kind, "the arbiter of the key has not answered");
        }
    };

    const dispatchCall = async (call: types.Call, writer: types.ResponseWriter, signal: AbortSignal): Promise<void> => {
        const isArbitrated =
            options.unsafe.has("no-arbiter") || (call.head.hop.kind === "route" && call.head.hop.arbitrated);
        if (call.isIdempotent || isArbitrated || call.head.key === undefined) {
            respondWithResult(call, writer, await options.runner.run(call, writer, signal));
            return;
        }
        const decision = await options.claims.begin({
            service: call.head.service,
            key: call.head.key,
            signature: options.computeSignature(call.head.method, call.head.path, call.body.length),
        });
        switch (decision.kind) {
            case "run":
                return await runClaimedCall(call, decision.claim, writer, signal);
            case "wait":
                return await waitForResult(call, writer, decision.result, signal);
            case "replay":
                return replay(call, writer, decision.response);
            case "forward":
                return await forwardToArbiter(call, decision.incarnation, writer, signal);
            case "refuse":
                return refuse(call.head, writer, decision.error, decision.message);
        }
    };

    const handleCall = async (
        request: http.IncomingMessage,
        head: types.CallHead,
        writer: types.ResponseWriter,
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
        const deadlineTimer = scheduler.schedule(deadlineMs, expire);
        let isIdempotent = true;
        const disconnectListener = writer.onDidDisconnect(() => {
            // A non-idempotent call continues, so that its response can be kept for a resend.
            if (isIdempotent) {
                controller.abort(errors.createCallError("deadline_exceeded_not_run", "the caller has disconnected"));
            }
        });
        try {
            const call = await readCall(request, head, service, deadlineAtMs, controller.signal);
            isIdempotent = call.isIdempotent;
            const responseTimer = scheduler.schedule(deadlineMs, () => {
                if (writer.isOpen() && !call.isIdempotent) {
                    refuse(
                        head,
                        writer,
                        "deadline_exceeded",
                        `no answer within ${deadlineMs} ms; the call may still end`,
                    );
                }
            });
            try {
                await dispatchCall(call, writer, controller.signal);
            } finally {
                responseTimer.dispose();
            }
        } finally {
            deadlineTimer.dispose();
            disconnectListener.dispose();
        }
    };

    /**
     * Replaces the error kind of a call that was refused without asking the arbiter of the key. The same call may have
     * been sent before and may have run, so "not run" could be wrong.
     */
    const toSafeErrorKind = (head: types.CallHead, kind: errorKinds.ErrorKind): errorKinds.ErrorKind => {
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
                return invalidRequestKinds.has(kind) ? kind : "outcome_unknown";
        }
    };

    const handleError = (head: types.CallHead, writer: types.ResponseWriter, error: unknown): void => {
        if (errors.isCallError(error)) {
            const kind = toSafeErrorKind(head, error.kind);
            const suffix = kind === error.kind ? "" : "; an earlier call with this key may have run";
            refuse(head, writer, kind, `${error.message}${suffix}`);
            return;
        }
        logger.error(`front: call ${head.id} failed with an unexpected error`, {
            cause: error instanceof Error ? (error.stack ?? error.message) : "?",
        });
        refuse(head, writer, "internal", "the entry VM failed to handle the call");
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
            handleError(fallback, createResponseWriter(fallback, response), error);
            return;
        }
        const writer = createResponseWriter(head, response);
        activeCalls++;
        try {
            await handleCall(request, head, writer);
        } catch (error) {
            handleError(head, writer, error);
        } finally {
            bodyReader.dropUnreadBody(request);
            activeCalls--;
        }
    };

    return { handle, countCalls: () => activeCalls };
};

/**
 * Sends one request through `undici` and tracks whether its first byte may have been written.
 */
import type * as http from "node:http";
import * as undici from "undici";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

type Controller = undici.Dispatcher.DispatchController;

const formatCause = (error: Error): string => {
    const code = "code" in error && typeof error.code === "string" ? `${error.code}: ` : "";
    return `${code}${error.message}`;
};

/** Response state of an attempt. The response usually arrives on the attempt's own connection. */
interface ResponseState {
    readonly address: shared.Address;
    readonly attempt: types.Attempt;
    /** Whether the response head has not arrived yet. */
    isWaiting(): boolean;
    resolveHead(head: types.AttemptHead): void;
    /** Sets the connection on which the response arrives. */
    receiveHead(source: Controller, status: number, headers: http.IncomingHttpHeaders): void;
    pushChunk(chunk: Buffer): void;
    finishBody(end: types.BodyEnd): void;
    getAbortReason(): string | undefined;
    setSource(source: Controller | undefined): void;
    hasSource(source: Controller): boolean;
}

/** Attempts without a response, by id, to find the attempt of a response on another connection. */
export type PendingAttempts = Map<shared.AttemptId, ResponseState>;

/** An attempt with its `undici` dispatch handler. */
export interface DispatchableAttempt {
    readonly attempt: types.Attempt;
    readonly handler: undici.Dispatcher.DispatchHandler;
}

const createResponseState = (request: types.AttemptRequest, pending: PendingAttempts): ResponseState => {
    let source: Controller | undefined;
    let hasStarted = false;
    let isWaiting = true;
    let abortReason: string | undefined;
    let deliverHead: (head: types.AttemptHead) => void;
    const head = new Promise<types.AttemptHead>(resolve => (deliverHead = resolve));
    let sink: types.BodySink | undefined;
    let earlyChunks: Buffer[] = [];
    let end: types.BodyEnd | undefined;
    let deliverEnd: ((end: types.BodyEnd) => void) | undefined;

    const resolveHead = (value: types.AttemptHead): void => {
        isWaiting = false;
        pending.delete(request.attempt);
        deliverHead(value);
    };

    const finishBody = (value: types.BodyEnd): void => {
        if (end === undefined) {
            end = value;
            deliverEnd?.(value);
        }
    };

    const pushChunk = (chunk: Buffer): void => {
        if (sink === undefined) {
            earlyChunks.push(chunk);
            source?.pause();
            return;
        }
        if (!sink.write(chunk)) {
            const paused = source;
            paused?.pause();
            sink.onDrain(() => paused?.resume());
        }
    };

    const readBody = (bodySink: types.BodySink): Promise<types.BodyEnd> => {
        sink = bodySink;
        const chunks = earlyChunks;
        earlyChunks = [];
        for (const chunk of chunks) {
            bodySink.write(chunk);
        }
        if (end !== undefined) {
            return Promise.resolve(end);
        }
        const result = new Promise<types.BodyEnd>(resolve => (deliverEnd = resolve));
        source?.resume();
        return result;
    };

    const abort = (reason: string): void => {
        if (abortReason !== undefined || end !== undefined) {
            return;
        }
        abortReason = reason;
        if (source !== undefined) {
            source.abort(new Error(reason));
            return;
        }
        // Without a connection, either the request is still queued and is cancelled before its first byte, or its
        // connection delivered the response to another attempt.
        resolveHead(hasStarted ? { kind: "broken", cause: reason, aborted: true } : { kind: "notSent", cause: reason });
        finishBody({ kind: "truncated", cause: reason });
    };

    return {
        address: request.address,
        attempt: { head, readBody, abort },
        isWaiting: () => isWaiting,
        resolveHead,
        receiveHead: (controller, status, headers) => {
            source = controller;
            resolveHead({ kind: "response", status, headers });
        },
        pushChunk,
        finishBody,
        getAbortReason: () => abortReason,
        setSource: controller => {
            source = controller;
            hasStarted ||= controller !== undefined;
        },
        hasSource: controller => source === controller,
    };
};

/**
 * Creates the state of one attempt.
 *
 * @param request - what is sent
 * @param pending - attempts that wait for their response; the new one is added
 * @param checksEcho - false only in tests that show what checking the attempt id in the response prevents
 * @returns the attempt and its dispatch handler
 */
export const createAttempt = (
    request: types.AttemptRequest,
    pending: PendingAttempts,
    checksEcho = true,
): DispatchableAttempt => {
    const ownState = createResponseState(request, pending);
    pending.set(request.attempt, ownState);
    /** State of the attempt that the response on this connection belongs to. */
    let receiverState = ownState;
    let hasStarted = false;
    let isWithheld = false;

    /** Assigns a mismatched response to the attempt that waits for it; returns false if there is none. */
    const deliverMismatchedResponse = (echoedId: string): boolean => {
        const otherState = pending.get(echoedId as shared.AttemptId);
        if (otherState === undefined || otherState.address !== request.address || !otherState.isWaiting()) {
            return false;
        }
        receiverState = otherState;
        if (ownState.isWaiting()) {
            ownState.setSource(undefined);
        }
        return true;
    };

    const handleError = (source: Controller, error: Error): void => {
        const cause = ownState.getAbortReason() ?? formatCause(error);
        if (receiverState !== ownState) {
            receiverState.finishBody({ kind: "truncated", cause });
            return;
        }
        if (hasStarted && !ownState.hasSource(source)) {
            // The response to this attempt arrived on another connection.
            return;
        }
        if (isWithheld) {
            ownState.resolveHead({ kind: "withheld" });
        } else if (!hasStarted) {
            ownState.resolveHead({ kind: "notSent", cause });
        } else {
            ownState.resolveHead({ kind: "broken", cause, aborted: ownState.getAbortReason() !== undefined });
        }
        ownState.finishBody({ kind: "truncated", cause });
    };

    const handler: undici.Dispatcher.DispatchHandler = {
        onRequestStart: source => {
            const abortReason = ownState.getAbortReason();
            if (abortReason !== undefined) {
                source.abort(new Error(abortReason));
                return;
            }
            if (!request.mayWrite()) {
                isWithheld = true;
                source.abort(new Error("withheld before the first byte"));
                return;
            }
            hasStarted = true;
            ownState.setSource(source);
        },
        onResponseStart: (source, status, headers) => {
            if (status < 200) {
                return;
            }
            const echoedId = headers["tarragon-attempt-id"];
            const isMismatched = checksEcho && typeof echoedId === "string" && echoedId !== request.attempt;
            if (isMismatched && !deliverMismatchedResponse(echoedId)) {
                ownState.resolveHead({ kind: "mismatched", attempt: echoedId });
                source.abort(new Error("the response belongs to another attempt"));
                return;
            }
            if (receiverState.isWaiting()) {
                receiverState.receiveHead(source, status, headers);
            }
        },
        onResponseData: (source, chunk) => {
            if (receiverState.hasSource(source)) {
                receiverState.pushChunk(chunk);
            }
        },
        onResponseEnd: source => {
            if (receiverState.hasSource(source)) {
                receiverState.finishBody({ kind: "complete" });
            }
        },
        onResponseError: (source, error) => handleError(source, error),
    };
    return { attempt: ownState.attempt, handler };
};

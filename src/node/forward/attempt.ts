/**
 * One request over `undici`, with the knowledge of whether its first byte may have been written.
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

/** The answer side of an attempt. It is fed by the connection that brings its answer, usually its own. */
interface AnswerState {
    readonly address: shared.Address;
    readonly attempt: types.Attempt;
    /** Whether the head is still awaited. */
    isWaiting(): boolean;
    resolveHead(head: types.AttemptHead): void;
    /** Takes over a connection on which the answer arrives. */
    acceptHead(source: Controller, status: number, headers: http.IncomingHttpHeaders): void;
    pushChunk(chunk: Buffer): void;
    finishBody(end: types.BodyEnd): void;
    getAbortReason(): string | undefined;
    setSource(source: Controller | undefined): void;
    isFedBy(source: Controller): boolean;
}

/** Attempts that wait for their answer, by id, so that a crossed answer finds its attempt. */
export type WaitingAttempts = Map<shared.AttemptId, AnswerState>;

/** An attempt together with the handler that `undici` drives. */
export interface AttemptDriver {
    readonly attempt: types.Attempt;
    readonly handler: undici.Dispatcher.DispatchHandler;
}

const createAnswerState = (request: types.AttemptRequest, waiting: WaitingAttempts): AnswerState => {
    let source: Controller | undefined;
    let hasStarted = false;
    let isWaiting = true;
    let abortReason: string | undefined;
    let deliverHead: (head: types.AttemptHead) => void;
    const head = new Promise<types.AttemptHead>(resolve => (deliverHead = resolve));
    let sink: types.BodySink | undefined;
    let early: Buffer[] = [];
    let end: types.BodyEnd | undefined;
    let deliverEnd: ((end: types.BodyEnd) => void) | undefined;

    const resolveHead = (value: types.AttemptHead): void => {
        isWaiting = false;
        waiting.delete(request.attempt);
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
            early.push(chunk);
            source?.pause();
            return;
        }
        if (!sink.write(chunk)) {
            const paused = source;
            paused?.pause();
            sink.onDrain(() => paused?.resume());
        }
    };

    const readBody = (target: types.BodySink): Promise<types.BodyEnd> => {
        sink = target;
        const chunks = early;
        early = [];
        for (const chunk of chunks) {
            target.write(chunk);
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
        // Without a connection the request is still queued, and is cancelled before its first byte; or its connection
        // has brought the answer to another attempt.
        resolveHead(hasStarted ? { kind: "broken", cause: reason, aborted: true } : { kind: "notSent", cause: reason });
        finishBody({ kind: "truncated", cause: reason });
    };

    return {
        address: request.address,
        attempt: { head, readBody, abort },
        isWaiting: () => isWaiting,
        resolveHead,
        acceptHead: (controller, status, headers) => {
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
        isFedBy: controller => source === controller,
    };
};

/**
 * Creates the state of one attempt.
 *
 * @param request - what is sent
 * @param waiting - attempts that wait for their answer; the new one is added
 * @param checksEcho - false only in tests that show what the check prevents
 * @returns the attempt and the handler to dispatch
 */
export const createAttempt = (
    request: types.AttemptRequest,
    waiting: WaitingAttempts,
    checksEcho = true,
): AttemptDriver => {
    const own = createAnswerState(request, waiting);
    waiting.set(request.attempt, own);
    /** The attempt that the answer on this connection belongs to. */
    let receiver = own;
    let hasStarted = false;
    let isWithheld = false;

    /** Gives a crossed answer to the attempt that waits for it; false if there is none. */
    const handOver = (echoed: string): boolean => {
        const other = waiting.get(echoed as shared.AttemptId);
        if (other === undefined || other.address !== request.address || !other.isWaiting()) {
            return false;
        }
        receiver = other;
        if (own.isWaiting()) {
            own.setSource(undefined);
        }
        return true;
    };

    const handleError = (source: Controller, error: Error): void => {
        const cause = own.getAbortReason() ?? formatCause(error);
        if (receiver !== own) {
            receiver.finishBody({ kind: "truncated", cause });
            return;
        }
        if (hasStarted && !own.isFedBy(source)) {
            // Its answer came on another connection.
            return;
        }
        if (isWithheld) {
            own.resolveHead({ kind: "withheld" });
        } else if (!hasStarted) {
            own.resolveHead({ kind: "notSent", cause });
        } else {
            own.resolveHead({ kind: "broken", cause, aborted: own.getAbortReason() !== undefined });
        }
        own.finishBody({ kind: "truncated", cause });
    };

    const handler: undici.Dispatcher.DispatchHandler = {
        onRequestStart: source => {
            const abortReason = own.getAbortReason();
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
            own.setSource(source);
        },
        onResponseStart: (source, status, headers) => {
            if (status < 200) {
                return;
            }
            const echoed = headers["tarragon-attempt-id"];
            const isCrossed = checksEcho && typeof echoed === "string" && echoed !== request.attempt;
            if (isCrossed && !handOver(echoed)) {
                own.resolveHead({ kind: "mismatched", attempt: echoed });
                source.abort(new Error("the answer belongs to another attempt"));
                return;
            }
            if (receiver.isWaiting()) {
                receiver.acceptHead(source, status, headers);
            }
        },
        onResponseData: (source, chunk) => {
            if (receiver.isFedBy(source)) {
                receiver.pushChunk(chunk);
            }
        },
        onResponseEnd: source => {
            if (receiver.isFedBy(source)) {
                receiver.finishBody({ kind: "complete" });
            }
        },
        onResponseError: (source, error) => handleError(source, error),
    };
    return { attempt: own.attempt, handler };
};

/**
 * One request over `undici`, with the knowledge of whether its first byte may have been written.
 */
import * as undici from "undici";
import * as types from "./Types.js";

const formatCause = (error: Error): string => {
    const code = "code" in error && typeof error.code === "string" ? `${error.code}: ` : "";
    return `${code}${error.message}`;
};

/** An attempt together with the handler that `undici` drives. */
export interface AttemptDriver {
    readonly attempt: types.Attempt;
    readonly handler: undici.Dispatcher.DispatchHandler;
}

/**
 * Creates the state of one attempt.
 *
 * @param request - what is sent
 * @param checksEcho - false only in tests that show what the check prevents
 * @returns the attempt and the handler to dispatch
 */
export const createAttempt = (request: types.AttemptRequest, checksEcho = true): AttemptDriver => {
    let controller: undici.Dispatcher.DispatchController | undefined;
    let hasStarted = false;
    let isWithheld = false;
    let abortReason: string | undefined;
    let resolveHead: (head: types.AttemptHead) => void;
    const head = new Promise<types.AttemptHead>(resolve => (resolveHead = resolve));
    let sink: types.BodySink | undefined;
    let early: Buffer[] = [];
    let end: types.BodyEnd | undefined;
    let resolveEnd: ((end: types.BodyEnd) => void) | undefined;

    const finishBody = (value: types.BodyEnd): void => {
        if (end !== undefined) {
            return;
        }
        end = value;
        resolveEnd?.(value);
    };

    const pushChunk = (chunk: Buffer): void => {
        if (sink === undefined) {
            early.push(chunk);
            controller?.pause();
            return;
        }
        if (!sink.write(chunk)) {
            controller?.pause();
            sink.onDrain(() => controller?.resume());
        }
    };

    const handler: undici.Dispatcher.DispatchHandler = {
        onRequestStart: value => {
            controller = value;
            if (abortReason !== undefined) {
                value.abort(new Error(abortReason));
                return;
            }
            if (!request.mayWrite()) {
                isWithheld = true;
                value.abort(new Error("withheld before the first byte"));
                return;
            }
            hasStarted = true;
        },
        onResponseStart: (value, status, headers) => {
            if (status < 200) {
                return;
            }
            const echoed = headers["tarragon-attempt-id"];
            if (checksEcho && typeof echoed === "string" && echoed !== request.attempt) {
                resolveHead({ kind: "mismatched", attempt: echoed });
                value.abort(new Error("the answer belongs to another attempt"));
                return;
            }
            resolveHead({ kind: "response", status, headers });
        },
        onResponseData: (_value, chunk) => pushChunk(chunk),
        onResponseEnd: () => finishBody({ kind: "complete" }),
        onResponseError: (_value, error) => {
            const cause = abortReason ?? formatCause(error);
            if (isWithheld) {
                resolveHead({ kind: "withheld" });
            } else if (!hasStarted) {
                resolveHead({ kind: "notSent", cause });
            } else {
                resolveHead({ kind: "broken", cause, aborted: abortReason !== undefined });
            }
            finishBody({ kind: "truncated", cause });
        },
    };

    const attempt: types.Attempt = {
        head,
        readBody: target => {
            sink = target;
            const chunks = early;
            early = [];
            for (const chunk of chunks) {
                target.write(chunk);
            }
            if (end !== undefined) {
                return Promise.resolve(end);
            }
            const result = new Promise<types.BodyEnd>(resolve => (resolveEnd = resolve));
            controller?.resume();
            return result;
        },
        abort: reason => {
            if (abortReason !== undefined || end !== undefined) {
                return;
            }
            abortReason = reason;
            if (controller === undefined) {
                // The request is still queued. `onRequestStart` cancels it before its first byte.
                resolveHead({ kind: "notSent", cause: reason });
                return;
            }
            controller.abort(new Error(reason));
        },
    };
    return { attempt, handler };
};

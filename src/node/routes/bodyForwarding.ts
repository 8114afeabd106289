/**
 * Watches a response body that is passed on while it is received, and ends it at the deadline or when the client leaves.
 */
import * as shared from "../../common/Types.js";
import * as streamedBody from "./streamedBody.js";
import * as types from "./Types.js";

/** What ends a body before it is whole. */
export interface BodyLimits {
    /** Aborted when the client disconnects. */
    readonly signal: AbortSignal;
    /** On the local monotonic clock. */
    readonly deadlineAtMs: number;
}

/** How the forwarding of a body ended. */
export type BodyEnd = {
    readonly bytes: number;
    readonly durationMs: number;
} & (
    | { readonly kind: "whole" }
    /** The target's connection broke. */
    | { readonly kind: "broken"; readonly reason: string }
    /** The target had not sent all of it at the deadline. */
    | { readonly kind: "deadline" }
    /** The client left. */
    | { readonly kind: "abandoned" }
);

/**
 * Returns the size of a body as far as it is known when it is passed on. Downloads without a length would otherwise count as
 * empty, and crossing zones with them as cheap.
 *
 * @param body - the body
 * @returns bytes; of a stream without a declared length, those that were received before it was passed on
 */
export const getBodyBytes = (body: types.ResponseBody): number =>
    body.kind === "whole" ? body.bytes.length : (body.bodyBytes ?? streamedBody.maxHeldBytes);

/**
 * Watches a body that is streamed until it has ended. A body that the target has sent whole is delivered even after the
 * deadline.
 *
 * @param options - the body, its limits and the handler of its end
 */
export const watchBody = (options: {
    readonly scheduler: shared.Scheduler;
    readonly body: types.ResponseBody;
    readonly limits: BodyLimits;
    handleEnd(end: BodyEnd): void;
}): void => {
    const { scheduler, body } = options;
    if (body.kind === "whole") {
        return;
    }
    const { signal, deadlineAtMs } = options.limits;
    const startedAtMs = scheduler.now();
    let bytes = 0;
    let brokenReason: string | undefined;
    let hasPassedDeadline = false;

    const classifyEnd = (): BodyEnd => {
        const measured = { bytes, durationMs: scheduler.now() - startedAtMs };
        if (body.stream.readableEnded) {
            return { ...measured, kind: "whole" };
        }
        if (hasPassedDeadline) {
            return { ...measured, kind: "deadline" };
        }
        return brokenReason === undefined || signal.aborted
            ? { ...measured, kind: "abandoned" }
            : { ...measured, kind: "broken", reason: brokenReason };
    };

    const handleDeadline = (): void => {
        if (!body.isReceived()) {
            hasPassedDeadline = true;
            body.stream.destroy();
        }
    };
    const handleAbort = (): void => void body.stream.destroy();
    const timer = scheduler.schedule(Math.max(0, deadlineAtMs - startedAtMs), handleDeadline);
    signal.addEventListener("abort", handleAbort, { once: true });
    body.stream.on("data", (chunk: Buffer) => (bytes += chunk.length));
    // The consumer starts the flow; counting alone must not.
    body.stream.pause();
    body.stream.once("error", error => (brokenReason = error.message));
    body.stream.once("close", () => {
        timer.dispose();
        signal.removeEventListener("abort", handleAbort);
        options.handleEnd(classifyEnd());
    });
    if (signal.aborted) {
        handleAbort();
    }
};

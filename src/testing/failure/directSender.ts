/**
 * Sends single requests to chosen entry VMs, without lookups and retries.
 */
import * as undici from "undici";
import * as errors from "../../common/errors/Types.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as responses from "../targets/responses.js";
import * as types from "./Types.js";

const defaultDeadlineMs = 5000;
const graceMs = 10_000;
const connections = 200;
const unsentErrors = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Sends requests and closes its connections at the end. */
export interface DirectSender {
    readonly send: (sending: types.DirectSending) => Promise<types.DirectAnswer>;
    readonly close: () => Promise<void>;
}

const noAnswer: types.DirectAnswer = {
    outcome: undefined,
    error: undefined,
    status: undefined,
    target: undefined,
    isReplayed: false,
    answer: undefined,
};

const getHeader = (headers: Record<string, unknown>, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
};

/**
 * Creates a sender.
 *
 * @param record - receives the events
 * @returns the sender
 */
export const createDirectSender = (record: (event: history.CallerEvent) => void): DirectSender => {
    const agent = new undici.Agent({ connections, headersTimeout: 0, bodyTimeout: 0 });
    const sendings = new Map<string, number>();

    const request = async (sending: types.DirectSending, requestId: string): Promise<types.DirectAnswer> => {
        const deadlineMs = sending.deadlineMs ?? defaultDeadlineMs;
        const body = sending.body ?? Buffer.alloc(0);
        const response = await undici.request(`http://${sending.entry.listen}/call/${sending.service}${sending.path}`, {
            method: sending.method ?? "POST",
            headers: {
                "x-request-id": requestId,
                "tarragon-deadline-ms": String(deadlineMs),
                ...(sending.key === undefined ? {} : { "idempotency-key": sending.key }),
            },
            body,
            dispatcher: agent,
            signal: AbortSignal.timeout(deadlineMs + graceMs),
        });
        const received = await httpServer.readBody(response.body);
        const outcome = getHeader(response.headers, "tarragon-outcome");
        const error = getHeader(response.headers, "tarragon-error");
        const isOwn = (head: { readonly requestId: string }): boolean => head.requestId.startsWith(`${sending.call}.`);
        const isAnswer = outcome === "ran" && error === undefined;
        return {
            outcome,
            error,
            status: response.statusCode,
            target: getHeader(response.headers, "tarragon-target"),
            isReplayed: getHeader(response.headers, "tarragon-replayed") === "true",
            answer: isAnswer ? responses.checkResponse(received, isOwn, responses.computeDigest(body)) : undefined,
        };
    };

    const send = async (sending: types.DirectSending): Promise<types.DirectAnswer> => {
        const number = (sendings.get(sending.call) ?? 0) + 1;
        sendings.set(sending.call, number);
        const requestId = `${sending.call}.${number}`;
        const base = {
            call: sending.call,
            requestId,
            service: sending.service,
            entry: sending.entry.listen,
            isIdempotent: sending.isIdempotent ?? false,
            ...(sending.key === undefined ? {} : { key: sending.key }),
        };
        record({ ...base, kind: "sent", atMs: httpServer.readMachineClockMs() });
        let answer = noAnswer;
        let isUnsent = false;
        let cause: string | undefined;
        try {
            answer = await request(sending, requestId);
        } catch (error) {
            cause = String(error);
            isUnsent = unsentErrors.has(String((error as { readonly code?: unknown }).code));
        }
        record({
            ...base,
            kind: "answered",
            atMs: httpServer.readMachineClockMs(),
            outcome: isUnsent ? "not-run" : (answer.outcome as errors.Outcome | undefined),
            ...(answer.error === undefined ? {} : { error: answer.error }),
            ...(answer.status === undefined ? {} : { status: answer.status }),
            ...(answer.answer === undefined ? {} : { answer: answer.answer }),
            ...(cause === undefined ? {} : { cause }),
        });
        return answer;
    };

    return { send, close: () => agent.destroy() };
};

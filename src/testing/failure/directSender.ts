/**
 * Sends single requests to given entry VMs, without lookups and retries.
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
const connectErrors = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"]);

/** Sends and records requests; `close` closes its connections. */
export interface DirectSender {
    readonly send: (request: types.DirectRequest) => Promise<types.DirectResponse>;
    readonly close: () => Promise<void>;
}

const noResponse: types.DirectResponse = {
    outcome: undefined,
    error: undefined,
    status: undefined,
    target: undefined,
    isReplayed: false,
    responseCheck: undefined,
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
    const requestCounts = new Map<string, number>();

    const sendRequest = async (request: types.DirectRequest, requestId: string): Promise<types.DirectResponse> => {
        const deadlineMs = request.deadlineMs ?? defaultDeadlineMs;
        const body = request.body ?? Buffer.alloc(0);
        const response = await undici.request(`http://${request.entry.listen}/call/${request.service}${request.path}`, {
            method: request.method ?? "POST",
            headers: {
                "x-request-id": requestId,
                "tarragon-deadline-ms": String(deadlineMs),
                ...(request.key === undefined ? {} : { "idempotency-key": request.key }),
            },
            body,
            dispatcher: agent,
            signal: AbortSignal.timeout(deadlineMs + graceMs),
        });
        const received = await httpServer.readBody(response.body);
        const outcome = getHeader(response.headers, "tarragon-outcome");
        const error = getHeader(response.headers, "tarragon-error");
        const isOwnRequest = (head: { readonly requestId: string }): boolean =>
            head.requestId.startsWith(`${request.call}.`);
        const isTargetResponse = outcome === "ran" && error === undefined;
        return {
            outcome,
            error,
            status: response.statusCode,
            target: getHeader(response.headers, "tarragon-target"),
            isReplayed: getHeader(response.headers, "tarragon-replayed") === "true",
            responseCheck: isTargetResponse
                ? responses.checkResponse(received, isOwnRequest, responses.computeDigest(body))
                : undefined,
        };
    };

    const send = async (request: types.DirectRequest): Promise<types.DirectResponse> => {
        const number = (requestCounts.get(request.call) ?? 0) + 1;
        requestCounts.set(request.call, number);
        const requestId = `${request.call}.${number}`;
        const base = {
            call: request.call,
            requestId,
            service: request.service,
            entry: request.entry.listen,
            isIdempotent: request.isIdempotent ?? false,
            ...(request.key === undefined ? {} : { key: request.key }),
        };
        record({ ...base, kind: "sent", atMs: httpServer.readMachineClockMs() });
        let response = noResponse;
        let isNotSent = false;
        let cause: string | undefined;
        try {
            response = await sendRequest(request, requestId);
        } catch (error) {
            cause = String(error);
            isNotSent = connectErrors.has(String((error as { readonly code?: unknown }).code));
        }
        record({
            ...base,
            kind: "answered",
            atMs: httpServer.readMachineClockMs(),
            outcome: isNotSent ? "not-run" : (response.outcome as errors.Outcome | undefined),
            ...(response.error === undefined ? {} : { error: response.error }),
            ...(response.status === undefined ? {} : { status: response.status }),
            ...(response.responseCheck === undefined ? {} : { answer: response.responseCheck }),
            ...(cause === undefined ? {} : { cause }),
        });
        return response;
    };

    return { send, close: () => agent.destroy() };
};

/**
 * Client for callers: lookup, idempotency keys, deadlines and retries.
 */
import * as stream from "node:stream";
import * as undici from "undici";
import * as errors from "../../common/errors/Types.js";
import * as random from "../../common/random.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as responses from "../targets/responses.js";
import * as lookups from "./lookups.js";
import * as retryRules from "./retryRules.js";
import * as types from "./Types.js";

const retryPauseMs = 50;
/** Time beyond the deadline in which the entry VM's own answer may still arrive. */
const answerGraceMs = 500;
const suffixBytes = 8;

interface Sending {
    readonly address: string;
    readonly requestId: string;
    readonly key: string | undefined;
    readonly deadlineMs: number;
}

interface Answered {
    readonly result: retryRules.SendingResult;
    readonly status?: number;
    readonly target?: string;
    readonly isReplayed?: boolean;
    readonly answer?: history.AnswerCheck;
    readonly cause?: string;
}

const connectErrors = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

const getErrorCode = (error: unknown): string => {
    const { code } = error as { readonly code?: unknown };
    return typeof code === "string" ? code : "";
};

const getHeader = (headers: Record<string, unknown>, name: string): string | undefined => {
    const value = headers[name];
    return typeof value === "string" ? value : undefined;
};

const toPieces = function* (body: Buffer, pieceBytes: number): Generator<Buffer> {
    for (let start = 0; start < body.length; start += pieceBytes) {
        yield body.subarray(start, start + pieceBytes);
    }
};

const createBody = (request: types.CallRequest): Buffer | stream.Readable | null => {
    if (request.body === undefined) {
        return null;
    }
    return request.chunkBytes === undefined
        ? request.body
        : stream.Readable.from(toPieces(request.body, request.chunkBytes));
};

const createHeaders = (request: types.CallRequest, sending: Sending): Record<string, string> => ({
    "x-request-id": sending.requestId,
    "tarragon-deadline-ms": String(Math.max(1, Math.floor(sending.deadlineMs))),
    ...(sending.key === undefined ? {} : { "idempotency-key": sending.key }),
    ...(request.body === undefined ? {} : { "content-length": String(request.body.length) }),
});

const parseAnswer = (
    response: undici.Dispatcher.ResponseData,
    body: Buffer,
    isOwnRequest: (head: responses.ResponseHead) => boolean,
    bodyDigest: string,
): Answered => {
    const outcome = getHeader(response.headers, "tarragon-outcome") as errors.Outcome | undefined;
    const target = getHeader(response.headers, "tarragon-target");
    const error = getHeader(response.headers, "tarragon-error");
    const isReplayed = getHeader(response.headers, "tarragon-replayed") === "true";
    const answer =
        outcome === "ran" && error === undefined ? responses.checkResponse(body, isOwnRequest, bodyDigest) : undefined;
    return {
        result: outcome === undefined ? { kind: "noAnswer" } : { kind: "answered", outcome, error },
        status: response.statusCode,
        isReplayed,
        ...(target === undefined ? {} : { target }),
        ...(answer === undefined ? {} : { answer }),
    };
};

/**
 * Creates a caller.
 *
 * @param options - entry addresses, zone, seed and limits
 * @returns the caller
 */
export const createCaller = (options: types.CallerOptions): types.Caller => {
    const generator = random.createRandom(options.seed);
    const agent = new undici.Agent({ connections: options.connections, headersTimeout: 0, bodyTimeout: 0 });
    const store = lookups.createLookups(options, agent);
    let lastCall = 0;

    const pickSuffix = (): string =>
        Array.from({ length: suffixBytes }, () => generator.nextInt(256).toString(16).padStart(2, "0")).join("");

    const send = async (
        request: types.CallRequest,
        sending: Sending,
        call: string,
        bodyDigest: string,
    ): Promise<Answered> => {
        try {
            const response = await undici.request(`http://${sending.address}/call/${request.service}${request.path}`, {
                method: request.method,
                headers: createHeaders(request, sending),
                body: createBody(request),
                dispatcher: agent,
                signal: AbortSignal.timeout(Math.ceil(sending.deadlineMs) + answerGraceMs),
            });
            const body = await httpServer.readBody(response.body);
            return parseAnswer(
                response,
                body,
                head =>
                    head.requestId.startsWith(`${call}.`) || (sending.key !== undefined && head.key === sending.key),
                bodyDigest,
            );
        } catch (error) {
            const kind = connectErrors.has(getErrorCode(error)) ? "notSent" : "noAnswer";
            return { result: { kind }, cause: `${getErrorCode(error)} ${String(error)}` };
        }
    };

    const createKey = (key: types.CallKey, entry: types.LookupEntry): string | undefined => {
        switch (key.kind) {
            case "none":
                return undefined;
            case "foreign":
                return key.key;
            case "issued":
                if (entry.keyPrefix === undefined) {
                    throw new Error(`${entry.vm} issues no keys`);
                }
                return `${entry.keyPrefix}${pickSuffix()}`;
        }
    };

    const recordSending = (request: types.CallRequest, sending: Sending, call: string, answered?: Answered): void => {
        const base = {
            atMs: httpServer.readMachineClockMs(),
            call,
            requestId: sending.requestId,
            service: request.service,
            entry: sending.address,
            isIdempotent: request.isIdempotent,
            ...(sending.key === undefined ? {} : { key: sending.key }),
        };
        if (answered === undefined) {
            options.record?.({ ...base, kind: "sent" });
            return;
        }
        const { result, status, answer, cause } = answered;
        options.record?.({
            ...base,
            kind: "answered",
            outcome: result.kind === "answered" ? result.outcome : result.kind === "notSent" ? "not-run" : undefined,
            ...(result.kind === "answered" && result.error !== undefined ? { error: result.error } : {}),
            ...(status === undefined ? {} : { status }),
            ...(answer === undefined ? {} : { answer }),
            ...(cause === undefined ? {} : { cause }),
        });
    };

    const runCall = async (request: types.CallRequest, call: string): Promise<types.CallResult> => {
        const startedAtMs = httpServer.readMachineClockMs();
        const endsAtMs = startedAtMs + request.deadlineMs;
        const bodyDigest = responses.computeDigest(request.body ?? "");
        let entries = (await store.get(request.service, false)).entries;
        let position = 0;
        let key: string | undefined;
        let mayHaveRun = false;
        for (let sendings = 1; ; sendings++) {
            const entry = entries[position % entries.length] as types.LookupEntry;
            key ??= createKey(request.key, entry);
            const deadlineMs = Math.max(1, endsAtMs - httpServer.readMachineClockMs());
            const sending = { address: entry.address, requestId: `${call}.${sendings}`, key, deadlineMs };
            recordSending(request, sending, call);
            const answered = await send(request, sending, call, bodyDigest);
            recordSending(request, sending, call, answered);
            const { result } = answered;
            mayHaveRun ||= result.kind === "noAnswer" || (result.kind === "answered" && result.outcome !== "not-run");
            const retry = retryRules.pickRetry(result, key !== undefined, request.isIdempotent);
            const nowMs = httpServer.readMachineClockMs();
            if (retry === "stop" || sendings >= options.maxSendings || nowMs + retryPauseMs >= endsAtMs) {
                // "Not run" of the last sending does not speak for an earlier one without an answer.
                const last = result.kind === "answered" ? result.outcome : undefined;
                const isNotRun = (last === "not-run" || result.kind === "notSent") && !mayHaveRun;
                return {
                    outcome: isNotRun ? "not-run" : last === "not-run" ? "may-have-run" : last,
                    status: answered.status,
                    error: result.kind === "answered" ? result.error : result.kind,
                    call,
                    key,
                    target: answered.target,
                    entry: entry.address,
                    isReplayed: answered.isReplayed ?? false,
                    sendings,
                    durationMs: nowMs - startedAtMs,
                    answer: answered.answer,
                };
            }
            await httpServer.waitMs(retryPauseMs);
            entries = (await store.get(request.service, true).catch(() => ({ entries }))).entries;
            position += retry === "sendElsewhere" ? 1 : 0;
        }
    };

    return {
        call: request => runCall(request, `c${options.seed}-${++lastCall}`),
        lookup: service => store.get(service, true),
        close: () => agent.destroy(),
    };
};

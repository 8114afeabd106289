/**
 * Client for callers: lookups, idempotency keys, deadlines and retries.
 */
import * as stream from "node:stream";
import * as undici from "undici";
import * as errors from "../../common/errors/Types.js";
import * as random from "../../common/random.js";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as responses from "../targets/responses.js";
import * as lookupCache from "./lookupCache.js";
import * as retryRules from "./retryRules.js";
import * as types from "./Types.js";

const retryPauseMs = 50;
/** Time after the deadline in which the entry VM's own response may still arrive. */
const responseGraceMs = 500;
const keySuffixBytes = 8;

interface CallTry {
    readonly address: string;
    readonly requestId: string;
    readonly key: string | undefined;
    readonly deadlineMs: number;
}

interface TryDetails {
    readonly result: retryRules.TryResult;
    readonly status?: number;
    readonly target?: string;
    readonly isReplayed?: boolean;
    readonly responseCheck?: history.ResponseCheck;
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

const splitBody = function* (body: Buffer, chunkBytes: number): Generator<Buffer> {
    for (let start = 0; start < body.length; start += chunkBytes) {
        yield body.subarray(start, start + chunkBytes);
    }
};

const createBody = (request: types.CallRequest): Buffer | stream.Readable | null => {
    if (request.body === undefined) {
        return null;
    }
    return request.chunkBytes === undefined
        ? request.body
        : stream.Readable.from(splitBody(request.body, request.chunkBytes));
};

const createHeaders = (request: types.CallRequest, callTry: CallTry): Record<string, string> => ({
    "x-request-id": callTry.requestId,
    "tarragon-deadline-ms": String(Math.max(1, Math.floor(callTry.deadlineMs))),
    ...(callTry.key === undefined ? {} : { "idempotency-key": callTry.key }),
    ...(request.body === undefined ? {} : { "content-length": String(request.body.length) }),
});

const parseResponse = (
    response: undici.Dispatcher.ResponseData,
    body: Buffer,
    isOwnRequest: (head: responses.ResponseHead) => boolean,
    bodyDigest: string,
): TryDetails => {
    const outcome = getHeader(response.headers, "tarragon-outcome") as errors.Outcome | undefined;
    const target = getHeader(response.headers, "tarragon-target");
    const error = getHeader(response.headers, "tarragon-error");
    const isReplayed = getHeader(response.headers, "tarragon-replayed") === "true";
    const responseCheck =
        outcome === "ran" && error === undefined ? responses.checkResponse(body, isOwnRequest, bodyDigest) : undefined;
    return {
        result: outcome === undefined ? { kind: "noAnswer" } : { kind: "answered", outcome, error },
        status: response.statusCode,
        isReplayed,
        ...(target === undefined ? {} : { target }),
        ...(responseCheck === undefined ? {} : { responseCheck }),
    };
};

/**
 * Creates a caller.
 *
 * @param options - addresses of entry VMs, zone, seed and limits
 * @returns the caller
 */
export const createCaller = (options: types.CallerOptions): types.Caller => {
    const generator = random.createRandom(options.seed);
    const agent = new undici.Agent({ connections: options.connections, headersTimeout: 0, bodyTimeout: 0 });
    const cache = lookupCache.createLookupCache(options, agent);
    let lastCall = 0;

    const createKeySuffix = (): string =>
        Array.from({ length: keySuffixBytes }, () => generator.nextInt(256).toString(16).padStart(2, "0")).join("");

    const send = async (
        request: types.CallRequest,
        callTry: CallTry,
        call: string,
        bodyDigest: string,
    ): Promise<TryDetails> => {
        try {
            const response = await undici.request(`http://${callTry.address}/call/${request.service}${request.path}`, {
                method: request.method,
                headers: createHeaders(request, callTry),
                body: createBody(request),
                dispatcher: agent,
                signal: AbortSignal.timeout(Math.ceil(callTry.deadlineMs) + responseGraceMs),
            });
            const body = await httpServer.readBody(response.body);
            return parseResponse(
                response,
                body,
                head =>
                    head.requestId.startsWith(`${call}.`) || (callTry.key !== undefined && head.key === callTry.key),
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
                return `${entry.keyPrefix}${createKeySuffix()}`;
        }
    };

    const recordTry = (request: types.CallRequest, callTry: CallTry, call: string, details?: TryDetails): void => {
        const base = {
            atMs: httpServer.readMachineClockMs(),
            call,
            requestId: callTry.requestId,
            service: request.service,
            entry: callTry.address,
            isIdempotent: request.isIdempotent,
            ...(callTry.key === undefined ? {} : { key: callTry.key }),
        };
        if (details === undefined) {
            options.record?.({ ...base, kind: "sent" });
            return;
        }
        const { result, status, responseCheck, cause } = details;
        options.record?.({
            ...base,
            kind: "answered",
            outcome: result.kind === "answered" ? result.outcome : result.kind === "notSent" ? "not-run" : undefined,
            ...(result.kind === "answered" && result.error !== undefined ? { error: result.error } : {}),
            ...(status === undefined ? {} : { status }),
            ...(responseCheck === undefined ? {} : { answer: responseCheck }),
            ...(cause === undefined ? {} : { cause }),
        });
    };

    const runCall = async (request: types.CallRequest, call: string): Promise<types.CallResult> => {
        const startedAtMs = httpServer.readMachineClockMs();
        const endsAtMs = startedAtMs + request.deadlineMs;
        const bodyDigest = responses.computeDigest(request.body ?? "");
        let entries = (await cache.get(request.service, false)).entries;
        let position = 0;
        let key: string | undefined;
        let mayHaveRun = false;
        for (let tries = 1; ; tries++) {
            const entry = entries[position % entries.length] as types.LookupEntry;
            key ??= createKey(request.key, entry);
            const deadlineMs = Math.max(1, endsAtMs - httpServer.readMachineClockMs());
            const callTry = { address: entry.address, requestId: `${call}.${tries}`, key, deadlineMs };
            recordTry(request, callTry, call);
            const details = await send(request, callTry, call, bodyDigest);
            recordTry(request, callTry, call, details);
            const { result } = details;
            mayHaveRun ||= result.kind === "noAnswer" || (result.kind === "answered" && result.outcome !== "not-run");
            const retry = retryRules.pickRetry(result, key !== undefined, request.isIdempotent);
            const nowMs = httpServer.readMachineClockMs();
            if (retry === "stop" || tries >= options.maxTries || nowMs + retryPauseMs >= endsAtMs) {
                // "Not run" from the last try says nothing about an earlier try without a response.
                const last = result.kind === "answered" ? result.outcome : undefined;
                const isNotRun = (last === "not-run" || result.kind === "notSent") && !mayHaveRun;
                return {
                    outcome: isNotRun ? "not-run" : last === "not-run" ? "may-have-run" : last,
                    status: details.status,
                    error: result.kind === "answered" ? result.error : result.kind,
                    call,
                    key,
                    target: details.target,
                    entry: entry.address,
                    isReplayed: details.isReplayed ?? false,
                    tries,
                    durationMs: nowMs - startedAtMs,
                    responseCheck: details.responseCheck,
                };
            }
            await httpServer.waitMs(retryPauseMs);
            entries = (await cache.get(request.service, true).catch(() => ({ entries }))).entries;
            position += retry === "sendElsewhere" ? 1 : 0;
        }
    };

    return {
        call: request => runCall(request, `c${options.seed}-${++lastCall}`),
        lookup: service => cache.get(service, true),
        close: () => agent.destroy(),
    };
};

/**
 * A client for callers, which follows the documented rules for retries.
 */
import * as errors from "../../common/errors/Types.js";
import * as history from "../history/Types.js";

export interface LookupEntry {
    readonly vm: string;
    readonly address: string;
    readonly zone: string;
    readonly keyPrefix?: string;
}

export interface LookupAnswer {
    readonly service: string;
    readonly revision: number;
    readonly ttlMs: number;
    readonly entries: readonly LookupEntry[];
}

export interface CallerOptions {
    /** Entry addresses (`ip:port`) to look up at, in order of preference. */
    readonly entries: readonly string[];
    readonly zone: string;
    readonly seed: number;
    /** Sendings of one call at most. */
    readonly maxSendings: number;
    /** Connections to one entry address at most. */
    readonly connections: number;
    readonly record?: (event: history.CallerEvent) => void;
}

/** `issued` takes the prefix of the lookup answer; `foreign` is a text of the caller's own. */
export type CallKey =
    { readonly kind: "none" } | { readonly kind: "issued" } | { readonly kind: "foreign"; readonly key: string };

export interface CallRequest {
    readonly service: string;
    readonly method: string;
    /** Begins with `/`. */
    readonly path: string;
    readonly body?: Buffer;
    /** Size of the pieces in which a body is streamed; without it, the body is sent at once. */
    readonly chunkBytes?: number;
    readonly deadlineMs: number;
    readonly key: CallKey;
    /** What the service file says of the request; only idempotent requests are sent again without a key. */
    readonly isIdempotent: boolean;
}

export interface CallResult {
    /** Undefined if no sending was answered and one may have run. */
    readonly outcome: errors.Outcome | undefined;
    readonly status: number | undefined;
    readonly error: string | undefined;
    readonly call: string;
    readonly key: string | undefined;
    readonly target: string | undefined;
    readonly entry: string | undefined;
    readonly isReplayed: boolean;
    readonly sendings: number;
    readonly durationMs: number;
    readonly answer: history.AnswerCheck | undefined;
}

export interface Caller {
    readonly call: (request: CallRequest) => Promise<CallResult>;
    readonly lookup: (service: string) => Promise<LookupAnswer>;
    readonly close: () => Promise<void>;
}

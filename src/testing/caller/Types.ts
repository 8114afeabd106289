/**
 * Types of a client for callers that follows the documented retry rules.
 */
import * as errors from "../../common/errors/Types.js";
import * as history from "../history/Types.js";

export interface LookupEntry {
    readonly vm: string;
    readonly address: string;
    readonly zone: string;
    readonly keyPrefix?: string;
}

export interface LookupResponse {
    readonly service: string;
    readonly revision: number;
    readonly ttlMs: number;
    readonly entries: readonly LookupEntry[];
}

export interface CallerOptions {
    /** Addresses (`ip:port`) of the entry VMs to send lookups to, in order of preference. */
    readonly entries: readonly string[];
    readonly zone: string;
    readonly seed: number;
    /** Maximum number of tries of one call. */
    readonly maxTries: number;
    /** Maximum number of connections to one entry address. */
    readonly connections: number;
    readonly record?: (event: history.CallerEvent) => void;
}

/** `issued` uses the key prefix of the lookup response; `foreign` is a key chosen by the caller. */
export type CallKey =
    { readonly kind: "none" } | { readonly kind: "issued" } | { readonly kind: "foreign"; readonly key: string };

export interface CallRequest {
    readonly service: string;
    readonly method: string;
    /** Begins with `/`. */
    readonly path: string;
    readonly body?: Buffer;
    /** Chunk size for streaming the body; without it, the body is sent at once. */
    readonly chunkBytes?: number;
    readonly deadlineMs: number;
    readonly key: CallKey;
    /** As declared in the service file; only idempotent requests are sent again without a key. */
    readonly isIdempotent: boolean;
}

export interface CallResult {
    /** Undefined if no try got a response and one may have run. */
    readonly outcome: errors.Outcome | undefined;
    readonly status: number | undefined;
    readonly error: string | undefined;
    readonly call: string;
    readonly key: string | undefined;
    readonly target: string | undefined;
    readonly entry: string | undefined;
    readonly isReplayed: boolean;
    readonly tries: number;
    readonly durationMs: number;
    readonly responseCheck: history.ResponseCheck | undefined;
}

export interface Caller {
    readonly call: (request: CallRequest) => Promise<CallResult>;
    readonly lookup: (service: string) => Promise<LookupResponse>;
    readonly close: () => Promise<void>;
}

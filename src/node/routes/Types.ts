/**
 * Interfaces between the route daemon and the platform.
 */
import type * as stream from "node:stream";
import * as callers from "../../common/routes/callers.js";
import * as quota from "../../common/routes/quota.js";
import * as routes from "../../common/routes/Types.js";
import * as types from "../../common/Types.js";

/** Header names and values alternating, as on the wire. */
export type RawHeaders = readonly string[];

/** Headers of a client request that the load balancer evaluates. */
export interface RequestHead {
    /** Id of the client's attempt; undefined if the client sent none. */
    readonly id: string | undefined;
    readonly host: string;
    /** How long the client waits for the response, in milliseconds. */
    readonly clientTimeoutMs: number | undefined;
    /** Targets at which a request that another VM has passed on may run; undefined for requests of clients. */
    readonly relayedMaxTargets: number | undefined;
    /** Digests of the keys that the request carries. */
    readonly keys: readonly types.KeyDigest[];
    /** What the other VM states about the caller; undefined for requests of clients. */
    readonly relayedStatement: callers.CallerStatement | undefined;
    /** Version of the other VM's configuration; undefined for requests of clients, and from VMs of earlier versions. */
    readonly relayedConfiguration: number | undefined;
}

/** Headers of a target's response that the load balancer evaluates. */
export interface ResponseHead {
    /** Id of the request that the response belongs to. */
    readonly id: string | undefined;
    /** Whether the response has the target's signature. */
    readonly isSigned: boolean;
    /** Whether the target states that it did not run the request. */
    readonly isRefusal: boolean;
    readonly load: routes.LoadReport | undefined;
    readonly notice: routes.TargetNotice;
    /** Idle timeout of the target's side of the connection. */
    readonly idleTimeoutMs: number | undefined;
    /** How long the target stays cold, in milliseconds; only in responses to probes. */
    readonly coldLeftMs: number | undefined;
    /** Id of the target that responded; only in some responses. */
    readonly target: types.TargetId | undefined;
    /** Headers to forward to the client. */
    readonly forwardedHeaders: RawHeaders;
    /** Whether the body has a content encoding that was not requested. */
    readonly isEncoded: boolean;
}

/** Body of a response that is forwarded to the client. */
export type ResponseBody =
    | { readonly kind: "whole"; readonly bytes: Buffer }
    /** Passed on while it is received. The stream fails if the target's connection breaks. */
    | {
          readonly kind: "stream";
          readonly stream: stream.Readable;
          /** Length of the body; undefined if the target did not state it. */
          readonly bodyBytes: number | undefined;
          /** Whether all of it has been received from the target. */
          isReceived(): boolean;
      };

/** What the headers of an attempt say. */
export interface AttemptHeaders {
    readonly target: types.TargetId;
    readonly remainingMs: number;
    /** Organisation of the caller, which replaces what the client says; undefined if the caller needs no key. */
    readonly organisation: types.OrganisationName | undefined;
}

/** What the headers of a request that is passed on to another VM say. */
export interface RelayHeaders {
    readonly maxTargets: number;
    readonly remainingMs: number;
    /** Undefined if the caller needs no key. */
    readonly statement: callers.CallerStatement | undefined;
    /** Version of the configuration by which the caller was identified. */
    readonly configurationVersion: number;
}

/** Parses and formats the platform-specific HTTP headers. */
export interface HttpDialect {
    parseRequestHead(headers: RawHeaders): RequestHead;
    /**
     * Strips keys of callers from the headers of a request.
     *
     * @param headers - the headers
     * @param keys - the digests that were read from them, so that no key is digested twice
     * @param isStripped - whether the key with a digest is stripped
     * @returns the other headers
     */
    stripKeys(
        headers: RawHeaders,
        keys: readonly types.KeyDigest[],
        isStripped: (key: types.KeyDigest) => boolean,
    ): string[];
    /** Formats the headers of an attempt, without Content-Length and Host. */
    formatAttemptHeaders(headers: RawHeaders, attempt: AttemptHeaders): string[];
    /** Formats the headers of a request that is passed on to another VM, without Content-Length. */
    formatRelayHeaders(headers: RawHeaders, relayed: RelayHeaders): string[];
    parseResponseHead(statusCode: number, headers: RawHeaders): ResponseHead;
    /** Formats the headers of a response that the load balancer generates itself. */
    formatOwnResponseHeaders(requestId: string | undefined): string[];
}

/** A client's request for the addresses of entry VMs. */
export interface LookupRequest {
    readonly zone: types.ZoneName | undefined;
}

/** Paths and bodies of lookups by clients and readiness checks by the platform. */
export interface LookupDialect {
    readonly readinessPath: string;
    /** Parses a lookup; undefined if the URL is not one. */
    parseLookup(url: string): LookupRequest | undefined;
    formatLookup(addresses: readonly types.Address[], lifetimeMs: number): string;
}

/** Changes of a table since a version. */
export type TableChanges =
    | { readonly kind: "changes"; readonly version: routes.RowVersion; readonly changes: readonly routes.StateChange[] }
    /** The store no longer has the changes since that version, or has returned from a copy since. */
    | { readonly kind: "history-lost" };

/** The part of the platform's store that the route daemon uses. */
export interface StateStore extends types.Disposable {
    fetchSnapshot(table: routes.StateTable, timeoutMs: number): Promise<routes.StateSnapshot>;
    /** Fetches the changes after the version `after`; waits up to `waitMs` for the first one (long polling). */
    fetchChanges(
        table: routes.StateTable,
        after: routes.RowVersion,
        waitMs: number,
        timeoutMs: number,
    ): Promise<TableChanges>;
    /** Registers this VM so that others can find it. */
    registerPeer(peer: routes.Peer, timeoutMs: number): Promise<void>;
    fetchPeers(timeoutMs: number): Promise<readonly routes.Peer[]>;
    /** Number of rows that were skipped as malformed. */
    countMalformedRows(): number;
    /** Fires when the store has returned from a copy, so that VMs must register again. */
    readonly onDidRestore: types.Event<void>;
}

/** Settings of the route daemon. */
export interface RouteSettings {
    readonly vm: types.VmId;
    readonly zone: types.ZoneName;
    readonly region: types.RegionName;
    readonly cores: number;
    /** Capacity of the link; undefined if the settings do not tell it. */
    readonly linkMbps?: number | undefined;
    /** Memory that the process may take, bytes in its sockets included. */
    readonly memoryBytes: number;
    /** Descriptors that the process may have open. */
    readonly maxDescriptors: number;
    readonly frontAddress: types.Address | undefined;
    readonly readinessAddress: types.Address | undefined;
    readonly lookupAddress: types.Address | undefined;
    readonly peerAddress: types.Address | undefined;
    /** Listen address of the metrics server. */
    readonly metricsAddress: types.Address | undefined;
    readonly seeds: readonly types.Address[];
    readonly store: types.Address;
    readonly bounds: RouteBounds;
}

/** Limits that the platform sets for all entry VMs together. */
export interface RouteBounds extends quota.QuotaBounds {
    /** Time from SIGTERM to SIGKILL. */
    readonly graceMs: number;
    /** Interval at which targets renew their rows in the store. */
    readonly heartbeatMs: number;
    /** Time after the end of a disruption from which a VM must act on what the store has confirmed. */
    readonly contactMs: number;
    /** Longest lifetime of a lookup response. */
    readonly longestLookupMs: number;
    /** Retries as a share of the requests of a service. */
    readonly retryShare: number;
    readonly retryWindowMs: number;
    /** Retries allowed in each window regardless of the number of requests. */
    readonly retryExtra: number;
}

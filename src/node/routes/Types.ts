/**
 * Interfaces between the route daemon and what it runs on.
 */
import * as routes from "../../common/routes/Types.js";
import * as types from "../../common/Types.js";

/** Name and value in turn, as on the wire. */
export type RawHeaders = readonly string[];

/** What the headers of a client's request say to the load balancer. */
export interface RequestHead {
    /** Id of the client's attempt; undefined if the client gave none. */
    readonly id: string | undefined;
    readonly host: string;
    /** How long the client will wait, in milliseconds. */
    readonly patienceMs: number | undefined;
}

/** What the headers of a target's answer say to the load balancer. */
export interface AnswerHead {
    /** Id of the request that the answer belongs to. */
    readonly id: string | undefined;
    /** Whether the answer bears the target's signature. */
    readonly isSealed: boolean;
    /** Whether the target says that it did not run the request. */
    readonly isRefusal: boolean;
    readonly load: routes.LoadReport | undefined;
    /** How long the target keeps the connection open while it is idle. */
    readonly idleTimeoutMs: number | undefined;
    /** How long the target stays cold, in milliseconds; only in answers to probes. */
    readonly coldLeftMs: number | undefined;
    /** Id of the target that answered; only in some answers. */
    readonly target: types.TargetId | undefined;
    /** Headers for the client. */
    readonly forwarded: RawHeaders;
    /** Whether the body has an encoding that nobody asked for. */
    readonly isEncoded: boolean;
}

/** Headers of the platform's dialect of HTTP. */
export interface HttpDialect {
    readRequest(headers: RawHeaders): RequestHead;
    /** Headers of an attempt, without length and host. */
    writeAttempt(headers: RawHeaders, attempt: { readonly target: types.TargetId; readonly leftMs: number }): string[];
    readAnswer(statusCode: number, headers: RawHeaders): AnswerHead;
    /** Headers of an answer of the load balancer's own. */
    writeOwnAnswer(requestId: string | undefined): string[];
}

/** A client's question for the addresses of entry VMs. */
export interface LookupQuestion {
    readonly zone: types.ZoneName | undefined;
}

/** Paths and bodies of the questions that clients and the platform ask. */
export interface LookupDialect {
    readonly readinessPath: string;
    /** Parses a question; undefined if the path asks something else. */
    parseLookup(url: string): LookupQuestion | undefined;
    formatLookup(addresses: readonly types.Address[], lifetimeMs: number): string;
}

/** Changes of a table since a version. */
export type TableChanges =
    | { readonly kind: "changes"; readonly version: routes.RowVersion; readonly changes: readonly routes.StateChange[] }
    /** The store no longer has the changes since that version. */
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
}

/** Settings of the route daemon. */
export interface RouteSettings {
    readonly vm: types.VmId;
    readonly zone: types.ZoneName;
    readonly region: types.RegionName;
    readonly cores: number;
    readonly frontAddress: types.Address | undefined;
    readonly readinessAddress: types.Address | undefined;
    readonly lookupAddress: types.Address | undefined;
    readonly peerAddress: types.Address | undefined;
    /** Where the metrics are served. */
    readonly metricsAddress: types.Address | undefined;
    readonly seeds: readonly types.Address[];
    readonly store: types.Address;
    readonly bounds: RouteBounds;
}

/** Bounds that the platform sets for all entry VMs together. */
export interface RouteBounds {
    /** Time from SIGTERM to SIGKILL. */
    readonly graceMs: number;
    /** Longest lifetime of a lookup answer. */
    readonly longestLookupMs: number;
    /** Retries as a share of the requests of a service. */
    readonly retryShare: number;
    readonly retryWindowMs: number;
    /** Retries in a window that are allowed however few requests there are. */
    readonly retryExtra: number;
}

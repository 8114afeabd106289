/**
 * Types for routing requests by host and path, and for the state that the entry VMs share.
 */
import * as types from "../Types.js";

/**
 * Whether a request may be retried, and which of its bodies is large: an upload is a large request that may run at most
 * once, a download is idempotent and has a large response.
 */
export type RouteKind = "idempotent" | "non-idempotent" | "upload" | "download";

export interface WeightedService {
    readonly service: types.ServiceName;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Path prefix; begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Deadline for the final response, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective, in milliseconds. */
    readonly objectiveMs: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Maximum number of targets that one request may be sent to. */
    readonly maxTargets: number;
    readonly services: readonly WeightedService[];
    /** Whether requests need no key although the configuration has organisations; VMs of earlier versions do not say so. */
    readonly isPublic?: boolean;
}

export interface RoutedService {
    readonly name: types.ServiceName;
    readonly healthPath: string;
    /** Requests per second that a cold target can handle. */
    readonly coldPerSecond: number;
}

/** An organisation whose callers identify themselves by a key. */
export interface Organisation {
    readonly name: types.OrganisationName;
    /** SHA-256 digests of the keys. */
    readonly keys: readonly types.KeyDigest[];
    /** Precedes the priority of routes; undefined if the routes decide. */
    readonly priority?: number;
    /** Requests per second over all VMs together; undefined if there is no limit. */
    readonly perSecond?: number;
    /** Requests beyond the rate after a time without requests. */
    readonly burst: number;
}

/** Limits on client requests. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** A value of a route that this version of the daemon does not know, and what the route uses in its place. */
export interface UnknownRouteValue {
    readonly route: string;
    readonly field: "kind";
    readonly value: string;
    readonly usedValue: RouteKind;
}

/** A malformed part of the organisations. Values are not given, as keys may stand in any field by mistake. */
export interface OrganisationFault {
    /** Name of the organisation, or the position of a row without one. */
    readonly row: string;
    readonly field: string;
    /** What is wrong, and what is used instead. */
    readonly fault: string;
}

export interface RouteConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly RoutedService[];
    readonly limits: RequestLimits;
    /** Undefined if callers need no keys, and from VMs of earlier versions. */
    readonly organisations?: readonly Organisation[];
    /** Undefined if there are none, and from VMs of earlier versions; only the first ones, if there are many. */
    readonly organisationFaults?: readonly OrganisationFault[];
    readonly unknownValues: readonly UnknownRouteValue[];
}

/** A target's own row in the table of targets. */
export interface Registration {
    readonly id: types.TargetId;
    readonly service: types.ServiceName;
    readonly address: types.Address;
    readonly zone: types.ZoneName;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** Remaining cold time when the target wrote the row, in milliseconds. */
    readonly coldLeftMs: number;
    /** Start time of the target, in Unix milliseconds; distinguishes two runs under the same id. */
    readonly startedAtMs: number;
}

/** Version of a row, across all tables; versions are compared by `rowVersion` only. */
export interface RowVersion {
    /** Rises each time the store returns from a copy; the versions of a greater era are newer than all before. */
    readonly era: number;
    /** The store's count of changes, which may go back in a new era. */
    readonly sequence: number;
}

/** One change of the state that the entry VMs share. A change without content is a removal. */
export type StateChange =
    | {
          readonly kind: "configuration";
          readonly version: RowVersion;
          readonly configuration: RouteConfiguration | undefined;
      }
    | { readonly kind: "zone"; readonly version: RowVersion; readonly zone: types.ZoneName; readonly isOut: boolean }
    | {
          readonly kind: "target";
          readonly version: RowVersion;
          readonly id: types.TargetId;
          readonly registration: Registration | undefined;
          /** The row expired while the store was failing: the target may still be running and register again. */
          readonly isLapse?: boolean;
          /** How long the target of an expired row stays in use; VMs of earlier versions send none. */
          readonly lapseMs?: number;
      };

/** Tables of the store that the entry VMs follow. */
export type StateTable = "operators" | "targets";

/** Changes of a table that, together with those before them, are all changes up to a version. */
export interface StateUpdate {
    readonly table: StateTable;
    readonly version: RowVersion;
    readonly changes: readonly StateChange[];
}

/** All rows of a table at one version. */
export interface StateSnapshot {
    readonly table: StateTable;
    readonly version: RowVersion;
    readonly changes: readonly StateChange[];
}

/** Load that a target reports with a response or a probe. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** Current processing time as a multiple of the normal one; undefined if the target does not report it. */
    readonly slowdown: number | undefined;
}

/** Limit on its requests from all VMs together that a target names in a response. */
export type NamedLimit =
    | { readonly kind: "none" }
    | { readonly kind: "limited"; readonly perSecond: number }
    /** Neither names nor ends a limit. */
    | { readonly kind: "malformed"; readonly text: string };

/** Time for which a target asks for no requests when it refuses one. */
export type RequestedPause =
    | { readonly kind: "none" }
    | { readonly kind: "pause"; readonly forMs: number }
    | { readonly kind: "malformed"; readonly text: string };

/** What a response says about its target, apart from the request. */
export interface TargetNotice {
    readonly limit: NamedLimit;
    readonly pause: RequestedPause;
    readonly isLeaving: boolean;
}

/** A run of a target that has said that it is leaving. */
export interface LeavingReport {
    readonly target: types.TargetId;
    readonly startedAtMs: number;
}

/** Outcome of an attempt at a target. */
export type AttemptOutcome =
    | {
          readonly kind: "answered";
          readonly latencyMs: number;
          readonly isFailure: boolean;
          readonly responseBytes: number;
      }
    /** The target refused the request before it started processing. */
    | { readonly kind: "refused" }
    /** Another target responded at the address, and did not run the request. */
    | { readonly kind: "misdirected" }
    /** No connection was established, or nothing was sent. */
    | { readonly kind: "unreachable" }
    /** The connection broke, or the bytes received are not a valid response. */
    | { readonly kind: "broken" }
    /** No response in time. */
    | { readonly kind: "silent" }
    /** The client disconnected, or another attempt completed first. */
    | { readonly kind: "cancelled" };

/** Demand for a service at one VM, in coarse steps. */
export interface ServiceDemand {
    readonly service: types.ServiceName;
    readonly perSecond: number;
    /** Mean size of the responses. */
    readonly bytes: number;
    /** Mean time of a request at a target. */
    readonly workMs: number;
}

/** An entry VM, as it describes itself to its peers. */
export interface Peer {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly zone: types.ZoneName;
    readonly region: types.RegionName;
    /** Address for clients. */
    readonly frontAddress: types.Address;
    /** Address for peers. */
    readonly peerAddress: types.Address;
    /** Start time of the process by its own clock, in Unix milliseconds; used only to order the VMs. */
    readonly startedAtMs: number;
    /** Whether the settings list this VM as a seed, which new VMs contact first. */
    readonly isSeed: boolean;
    /** CPU cores available to the VM; may be a fraction. */
    readonly cores: number;
    readonly isReady: boolean;
    /** Whether the VM reaches no target, or has not reached one since its start; VMs of earlier versions do not say so. */
    readonly isCutOff?: boolean;
    /** Rate of requests that the VM receives from clients. */
    readonly requestsPerSecond: number;
    /** Demand by service; VMs of earlier versions do not report it and do not follow plans of active VMs. */
    readonly demand?: readonly ServiceDemand[];
    /** Capacity of the VM's link; undefined if the settings do not tell it. */
    readonly linkMbps?: number | undefined;
}

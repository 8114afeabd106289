/**
 * Requests that are routed by host and path, and the state that decides where they go.
 */
import * as types from "../Types.js";

/** Whether a request may be run again; an upload is a large request that may run once at most. */
export type RouteKind = "idempotent" | "non-idempotent" | "upload";

export interface WeightedService {
    readonly service: types.ServiceName;
    readonly weight: number;
}

export interface Route {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Longest time until the final answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency that users expect, in milliseconds. */
    readonly objectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Number of targets that one request may be sent to. */
    readonly maxTargets: number;
    readonly services: readonly WeightedService[];
}

export interface RoutedService {
    readonly name: types.ServiceName;
    readonly healthPath: string;
    /** Requests per second that a target bears while it is cold. */
    readonly coldPerSecond: number;
}

/** Bounds of what a client may send. */
export interface RequestLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface RouteConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly RoutedService[];
    readonly limits: RequestLimits;
}

/** What a target says of itself in the table of targets. */
export interface Registration {
    readonly id: types.TargetId;
    readonly service: types.ServiceName;
    readonly address: types.Address;
    readonly zone: types.ZoneName;
    readonly slots: number;
    readonly state: "ready" | "draining";
    /** How much longer the target is cold, in milliseconds, when it wrote this. */
    readonly coldLeftMs: number;
    /** Start of the target, in Unix milliseconds; it tells two runs under one id apart. */
    readonly startedAtMs: number;
}

/** Version of a row; greater is newer, across all tables. */
export type RowVersion = number;

/** One change of the state that the entry VMs share. Without content it is a removal. */
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
          /** The row went while the store was disturbed: its target may live and register again. */
          readonly isLapse?: boolean;
      };

/** Tables that the entry VMs follow. */
export type StateTable = "operators" | "targets";

/** All rows of a table at one moment. */
export interface StateSnapshot {
    readonly table: StateTable;
    readonly version: RowVersion;
    readonly changes: readonly StateChange[];
}

/** A target's own report on an answer or a probe. */
export interface LoadReport {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes now, as a multiple of the usual; undefined if the target does not tell. */
    readonly slowdown: number | undefined;
}

/** How an attempt at a target ended. */
export type AttemptOutcome =
    | {
          readonly kind: "answered";
          readonly latencyMs: number;
          readonly isFailure: boolean;
          readonly responseBytes: number;
      }
    /** The target refused before it started. */
    | { readonly kind: "refused" }
    /** No connection, or nothing was sent. */
    | { readonly kind: "unreachable" }
    /** The connection broke, or carried bytes that are no answer. */
    | { readonly kind: "broken" }
    /** No answer in time. */
    | { readonly kind: "silent" }
    /** The client left, or another attempt answered first. */
    | { readonly kind: "cancelled" };

/** An entry VM as its peers know it. */
export interface Peer {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly zone: types.ZoneName;
    readonly region: types.RegionName;
    /** Where clients connect. */
    readonly frontAddress: types.Address;
    /** Where peers connect. */
    readonly peerAddress: types.Address;
    /** Start of the process by its own clock, in Unix milliseconds; it only serves to order the VMs. */
    readonly startedAtMs: number;
    /** Whether the settings name this VM as one that others find first. */
    readonly isSeed: boolean;
    /** Share of a core that the VM has. */
    readonly cores: number;
    readonly isReady: boolean;
    /** Requests that the VM takes from clients. */
    readonly requestsPerSecond: number;
}

/**
 * JSON-RPC 2.0 messages that the entry daemons exchange on the control port.
 */
import * as config from "../../common/config/Types.js";
import * as membership from "../../common/membership/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";

/** A member in the full form of gossip. Ages are relative to the time at which the sender created the message. */
export interface GossipMember {
    readonly info: membership.MemberInfo;
    readonly ageMs: number;
}

export interface GossipCellLoad {
    readonly cell: types.CellId;
    readonly owner: types.VmId;
    readonly freeSlots: number;
    readonly queued: number;
    readonly expectedWaitMs: number;
    readonly ageMs: number;
}

/** Response to `gossip.pull`, the full form of gossip. */
export interface GossipPullResponse {
    readonly members: readonly GossipMember[];
    readonly cellLoads: readonly GossipCellLoad[];
    /** Newest confirmation that the sender knows: `revision` was current `ageMs` ago. */
    readonly confirmation: { readonly revision: types.Revision; readonly ageMs: number } | undefined;
    readonly head: config.ConfigHead | undefined;
    readonly crashes: readonly { readonly fingerprint: string; readonly count: number }[];
}

/**
 * The fields of a member that change while its incarnation runs. `flags` is the state (0 starting, 1 serving, 2
 * leaving) plus 4 if synced.
 */
export type GossipMemberUpdate = readonly [
    version: number,
    flags: number,
    revision: types.Revision,
    loads: string,
    /** Epoch of the idempotency keys that the member issues. */
    keyEpoch: number,
];

/** A full member record. The age is in units of {@link GossipChangesResponse.unitMs}. */
export type GossipMemberRecord = readonly [
    vm: types.VmId,
    incarnation: types.IncarnationId,
    zone: types.ZoneName,
    address: types.Address,
    control: types.Address,
    age: number,
    ...update: GossipMemberUpdate,
];

/**
 * What the sender already knows, so that the response contains only changes. Members are ordered by VM id.
 */
export interface GossipChangesRequest {
    /** Control address of the sender, which may not be on the platform's list yet. */
    readonly from: types.Address;
    readonly revision: types.Revision;
    /** Digest of the VM ids and incarnations of all members that the sender knows. */
    readonly set: string;
    /** The low byte of each member's version, in Base64. */
    readonly versions: string;
    /** A 32-bit hash of each member's VM id and incarnation, in Base64; sent only after the response `mismatch`. */
    readonly ids?: string | undefined;
    /** `cursor` of the last response from the same peer. */
    readonly cursor?: string | undefined;
}

export interface GossipChangesResponse {
    readonly unitMs: number;
    /** Age of each member of the request in units of `unitMs`, one byte each, in Base64; 255 for an unknown member. */
    readonly ages: string;
    /** Updates of members of the request, each with the index of the member. */
    readonly news?: readonly (readonly [index: number, ...GossipMemberUpdate])[] | undefined;
    /** Members that are not in the request. */
    readonly added?: readonly GossipMemberRecord[] | undefined;
    /** Newest confirmation that the sender knows: a revision and its age in milliseconds. */
    readonly confirmation?: readonly [types.Revision, number] | undefined;
    /** Present if the sender uses a higher revision than the request states. */
    readonly head?: config.ConfigHead | undefined;
    /** Crash counts that have changed since the `cursor` of the request. */
    readonly crashes?: readonly (readonly [string, number])[] | undefined;
    /** Cursor for the next request; present if there are crash counts. */
    readonly cursor?: string | undefined;
}

/** `mismatch`: the two VMs know different sets of members, so the request must be repeated with `ids`. */
export type GossipChangesResult = GossipChangesResponse | { readonly mismatch: true };

export interface ConfigStatus {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly revision: types.Revision;
    readonly fresh: boolean;
    /** Age of the newest confirmation; undefined before the first one. */
    readonly confirmedAgeMs: number | undefined;
}

export interface TargetStatus {
    readonly target: types.TargetId;
    readonly service: types.ServiceName;
    readonly zone: types.ZoneName;
    readonly owner: types.VmId;
    readonly state: routing.TargetState["kind"];
    readonly limit: number;
    readonly inFlight: number;
    readonly latencyMs: number;
    readonly reportAgeMs: number | undefined;
}

/** One event in the trace of a call. */
export interface TraceStep {
    readonly atMs: number;
    readonly text: string;
}

export interface CallTrace {
    readonly call: types.CallId;
    readonly vm: types.VmId;
    readonly steps: readonly TraceStep[];
}

/** Parameters and result of each RPC method. */
export interface RpcMethods {
    "gossip.pull": { params: { readonly from: membership.MemberInfo }; result: GossipPullResponse };
    "gossip.pullChanges": { params: GossipChangesRequest; result: GossipChangesResult };
    /**
     * `sections` holds the texts of the changed sections by digest, so that receivers need not read the object store.
     */
    "config.announce": {
        params: { readonly head: config.ConfigHead; readonly sections: Readonly<Record<string, string>> };
        result: ConfigStatus;
    };
    "config.getSections": {
        params: { readonly digests: readonly types.Digest[] };
        result: { readonly sections: Readonly<Record<string, string>> };
    };
    "config.status": { params: Record<string, never>; result: ConfigStatus };
    "crash.report": { params: { readonly fingerprint: string; readonly count: number }; result: { readonly ok: true } };
    "target.changed": {
        params: { readonly target: types.TargetId; readonly report: routing.TargetReport };
        result: { readonly ok: true };
    };
    "admin.targets": { params: Record<string, never>; result: { readonly targets: readonly TargetStatus[] } };
    "admin.explain": { params: { readonly call: types.CallId }; result: { readonly trace: CallTrace | undefined } };
}

export type RpcMethod = keyof RpcMethods;

export type RpcResult<M extends RpcMethod> =
    | { readonly kind: "answered"; readonly result: RpcMethods[M]["result"] }
    | { readonly kind: "failed"; readonly cause: string };

/** Calls methods of other entry daemons. */
export interface RpcClient {
    call<M extends RpcMethod>(
        control: types.Address,
        method: M,
        params: RpcMethods[M]["params"],
        timeoutMs: number,
    ): Promise<RpcResult<M>>;
    close(): Promise<void>;
}

export type RpcHandlers = {
    readonly [M in RpcMethod]?: (params: RpcMethods[M]["params"]) => Promise<RpcMethods[M]["result"]>;
};

/** Dispatches JSON-RPC requests that arrive on the control port. */
export interface RpcServer {
    addHandlers(handlers: RpcHandlers): void;
    /** Handles the text of a request and returns the text of the response. */
    receive(body: string): Promise<string>;
}

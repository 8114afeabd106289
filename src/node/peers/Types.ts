/**
 * Messages between the system's own processes (JSON-RPC 2.0 on the control port).
 */
import * as config from "../../common/config/Types.js";
import * as membership from "../../common/membership/Types.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";

/** Ages are relative to the moment when the sender made the message. */
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

export interface GossipPullAnswer {
    readonly members: readonly GossipMember[];
    readonly cellLoads: readonly GossipCellLoad[];
    /** Newest confirmation the sender knows: revision `revision` was current `ageMs` ago. */
    readonly confirmation: { readonly revision: types.Revision; readonly ageMs: number } | undefined;
    readonly head: config.ConfigHead | undefined;
    readonly crashes: readonly { readonly fingerprint: string; readonly count: number }[];
}

/** What changes while an incarnation runs. Flags: 0 starting, 1 serving, 2 leaving; plus 4 if synced. */
export type GossipNews = readonly [
    version: number,
    flags: number,
    revision: types.Revision,
    loads: string,
    /** Epoch of the idempotency keys that the member issues. */
    keyEpoch: number,
];

/** What an incarnation says of itself, with its age in units of {@link GossipChangesAnswer.unitMs}. */
export type GossipRecord = readonly [
    vm: types.VmId,
    incarnation: types.IncarnationId,
    zone: types.ZoneName,
    address: types.Address,
    control: types.Address,
    age: number,
    ...news: GossipNews,
];

/**
 * What the sender knows already, so that the answer contains only changes. Members are in the order of their VM ids.
 */
export interface GossipChangesRequest {
    /** Control address of the sender, which may not be listed yet. */
    readonly from: types.Address;
    readonly revision: types.Revision;
    /** Digest of all VMs and incarnations that the sender knows. */
    readonly set: string;
    /** The lowest byte of the version of each member, in Base64. */
    readonly versions: string;
    /** A 32-bit hash of each VM and incarnation, in Base64; sent only after the answer `mismatch`. */
    readonly ids?: string | undefined;
    /** `cursor` of the last answer of the same peer. */
    readonly cursor?: string | undefined;
}

export interface GossipChangesAnswer {
    readonly unitMs: number;
    /** Age of each member of the request in units, one byte each, in Base64; 255 for a member that is not known. */
    readonly ages: string;
    /** News of members of the request, with the index of the member. */
    readonly news?: readonly (readonly [index: number, ...GossipNews])[] | undefined;
    /** Members that are not in the request. */
    readonly added?: readonly GossipRecord[] | undefined;
    /** Newest confirmation of the sender: a revision and its age in milliseconds. */
    readonly confirmation?: readonly [types.Revision, number] | undefined;
    /** Present if the sender has a greater revision in use than the request says. */
    readonly head?: config.ConfigHead | undefined;
    /** Crash counts that have changed since `cursor`. */
    readonly crashes?: readonly (readonly [string, number])[] | undefined;
    /** Present if it differs from the request's. */
    readonly cursor?: string | undefined;
}

/** `mismatch`: the two know different sets of members, so the request has to be repeated with `ids`. */
export type GossipChangesResult = GossipChangesAnswer | { readonly mismatch: true };

export interface ConfigStatus {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly revision: types.Revision;
    readonly fresh: boolean;
    /** Age of the newest confirmation, undefined before the first. */
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

/** One line of the history of a call. */
export interface TraceStep {
    readonly atMs: number;
    readonly text: string;
}

export interface CallTrace {
    readonly call: types.CallId;
    readonly vm: types.VmId;
    readonly steps: readonly TraceStep[];
}

/** Method name to parameters and result. */
export interface RpcMethods {
    "gossip.pull": { params: { readonly from: membership.MemberInfo }; result: GossipPullAnswer };
    "gossip.pullChanges": { params: GossipChangesRequest; result: GossipChangesResult };
    /** `sections` are the changed ones, as text by digest, so that the object store need not be read. */
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

/** Calls a method of another entry daemon. */
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
    /** Takes the text of a request and returns the text of the answer. */
    receive(body: string): Promise<string>;
}

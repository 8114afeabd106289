/**
 * Types of a fault soak test: the injected faults, and what callers and targets record.
 */
import * as routes from "../../common/routes/Types.js";
import * as relay from "../system/relay.js";

/** Fault mode of a target, which affects some of its requests. */
export type TargetMode =
    | "slow"
    | "failing"
    | "reset"
    | "truncated"
    | "extra-answer"
    /** Sends a head with a control character in a header value. */
    | "spoilt-head"
    /** Sends a head with a long line of blanks. */
    | "long-line"
    /** Runs a request and responds with a status that tells clients that it has not run. */
    | "false-refusal"
    | "full"
    | "limited"
    | "pausing"
    /** Refuses requests, fails some, and sends copies of these and other responses at later turns. */
    | "response-copies";

/** Fault mode of the store, which affects all VMs. */
export type StoreMode = "busy" | "silent" | "slow" | "lost-answers" | "no-history";

export type Fault =
    /** After `forMs`, a VM that got SIGKILL or SIGTERM is started again, and one that got SIGSTOP gets SIGCONT. */
    | { readonly kind: "signal"; readonly vm: number; readonly signal: VmSignal; readonly forMs: number }
    | { readonly kind: "store"; readonly mode: StoreMode; readonly forMs: number }
    /** The store is away and returns from a copy. */
    | { readonly kind: "store-restore"; readonly agoMs: number; readonly forMs: number }
    | { readonly kind: "store-link"; readonly vm: number; readonly state: relay.LinkState; readonly forMs: number }
    /** Partitions VMs from all targets: some, or those that callers use when the fault begins. */
    | {
          readonly kind: "partition";
          readonly vms: readonly number[] | "used";
          readonly state: relay.LinkState;
          readonly forMs: number;
      }
    | { readonly kind: "target-link"; readonly target: number; readonly state: relay.LinkState; readonly forMs: number }
    | { readonly kind: "target"; readonly target: number; readonly mode: TargetMode; readonly forMs: number }
    /** Affects all targets of a service, so that retries do not help. */
    | { readonly kind: "service"; readonly service: number; readonly mode: TargetMode; readonly forMs: number }
    /** The target ends without notice and starts again, cold, under a new id, possibly while its old row lasts. */
    | { readonly kind: "crash"; readonly target: number; readonly keepsAddress: boolean; readonly forMs: number }
    /** All targets of a service do so, one after the other, at their addresses. */
    | {
          readonly kind: "restart";
          readonly service: number;
          readonly gapMs: number;
          readonly forMs: number;
          /** Mode in which the new targets are until the old rows have gone. */
          readonly mode: TargetMode | undefined;
      }
    /** The target reports that it is draining and ends; another one replaces it. */
    | { readonly kind: "drain"; readonly target: number }
    /** The same, but the target says so in its responses only. */
    | { readonly kind: "leave"; readonly target: number }
    /** The same, but the target reports nothing: its row is removed. */
    | { readonly kind: "remove"; readonly target: number }
    /** A request that crashes each target that runs it comes again and again, at all VMs in turn. */
    | { readonly kind: "crashing-request"; readonly mode: CrashMode; readonly gapMs: number; readonly forMs: number }
    /** The same harmless request comes again and again, at all VMs in turn, so that equal ones are in flight together. */
    | { readonly kind: "repeated-request"; readonly gapMs: number; readonly forMs: number }
    /** Another writer leaves entries in all tables that cannot be used. */
    | { readonly kind: "odd-entries" }
    /** Switches the moving routes to the other service. */
    | { readonly kind: "configuration" }
    | { readonly kind: "zone-out"; readonly zone: number; readonly forMs: number };

/** How a target ends: its connections are reset, fall silent, or break off in the middle of a response. */
export type CrashMode = "reset" | "silent" | "mid-response";

export type VmSignal = "SIGKILL" | "SIGTERM" | "SIGSTOP" | "SIGHUP";

export interface PlannedFault {
    readonly atMs: number;
    readonly fault: Fault;
}

/** Period in which guarantees with a time bound are not checked for one VM or for all of them. */
export interface Disturbance {
    readonly fromMs: number;
    /** Infinity while the disturbance lasts. */
    toMs: number;
    /** Undefined for all VMs. */
    readonly vm: number | undefined;
    /** Whether the VM must still respond to forwarded requests, as after SIGTERM or without the store. */
    readonly completesRequests: boolean;
}

/** Period in which some VMs reach no target, although all else reaches them. */
export interface Partition {
    readonly vms: readonly number[];
    /** Whether no VM reaches a target. */
    readonly isTotal: boolean;
    readonly fromMs: number;
    toMs: number;
}

export type CallerOutcome =
    | {
          readonly kind: "answered";
          readonly status: number;
          readonly isSealed: boolean;
          /** The body, if it arrived completely. */
          readonly body: string | undefined;
      }
    /** The connection could not be opened. */
    | { readonly kind: "unconnected" }
    /** The connection closed before the response was complete. */
    | { readonly kind: "closed" }
    /** The caller gave up at its deadline. */
    | { readonly kind: "timeout" };

/** A request of a caller, which is sent only once. */
export interface CallerRecord {
    readonly id: string;
    readonly kind: routes.RouteKind;
    readonly method: string;
    readonly path: string;
    readonly bodyDigest: string;
    /** The key that the request carries; undefined if it carries none. */
    readonly key?: string | undefined;
    /** Whether the request's route requires a key. */
    readonly needsKey?: boolean | undefined;
    readonly vm: number;
    readonly sentAtMs: number;
    endedAtMs: number;
    outcome: CallerOutcome | undefined;
}

/** A target started to execute a request. */
export interface RunRecord {
    readonly id: string;
    readonly atMs: number;
    readonly target: string;
    readonly service: string;
    readonly zone: string;
    readonly method: string;
    readonly path: string;
    readonly bodyDigest: string;
    /** Organisation that the request names; undefined if it names none. */
    readonly organisation?: string | undefined;
    /** Whether the request carries a key. */
    readonly hasKey?: boolean | undefined;
    /** Body of the target's response if it succeeds. */
    readonly body: string;
    /** Status of the target's response; undefined if it sent none. */
    status: number | undefined;
}

/** A request reached a target, whether or not the target executed it. */
export interface ArrivalRecord {
    readonly id: string;
    readonly atMs: number;
    readonly target: string;
    readonly service: string;
    /** Host of the VM that has sent it; another one if the caller's VM has passed it on. */
    readonly senderHost: string;
    readonly isCold: boolean;
    readonly limit: TargetLimit | undefined;
    /** Whether all responses say that the target is leaving. */
    readonly isLeaving: boolean;
    /** Pause that the target asks for when it refuses the request; undefined if it does not. */
    readonly pauseMs: number | undefined;
}

/** Limit on its requests that a target names in its responses. */
export interface TargetLimit {
    readonly perSecond: number;
    readonly sinceMs: number;
}

/** A request has ended the target that ran it. */
export interface CrashRecord {
    readonly id: string;
    readonly atMs: number;
}

/** Change that the store has committed and the VMs must follow. */
export type CommittedChange =
    | { readonly kind: "leaving"; readonly atMs: number; readonly target: string }
    /** The organisation that holds a key from then on; undefined if none does. */
    | {
          readonly kind: "key";
          readonly atMs: number;
          readonly key: string;
          readonly organisation: string | undefined;
      }
    | { readonly kind: "route-moved"; readonly atMs: number; readonly path: string; readonly service: string }
    | { readonly kind: "zone-out"; readonly atMs: number; readonly zone: string; endsAtMs: number };

/** Quota of an organisation, which stays the same. */
export interface OrganisationQuota {
    readonly organisation: string;
    readonly perSecond: number;
    readonly burst: number;
}

export interface SoakHistory {
    readonly calls: readonly CallerRecord[];
    readonly runs: readonly RunRecord[];
    readonly arrivals: readonly ArrivalRecord[];
    readonly crashes: readonly CrashRecord[];
    readonly committedChanges: readonly CommittedChange[];
    readonly disturbances: readonly Disturbance[];
    readonly partitions: readonly Partition[];
    readonly quotas: readonly OrganisationQuota[];
    /** Hosts from which the VMs send, in the order of the VMs. */
    readonly vmHosts: readonly string[];
    /** No fault is active from this time on. */
    readonly faultsEndedAtMs: number;
    readonly endedAtMs: number;
}

/** Bounds from the platform's documentation that the checks use. */
export interface SoakBounds {
    /** Time bounds apply to a VM once it has been undisturbed for this time. */
    readonly contactMs: number;
    readonly drainMs: number;
    readonly configurationMs: number;
    readonly zoneOutMs: number;
    readonly recoveryMs: number;
    readonly retryShare: number;
    readonly retryWindowMs: number;
    readonly retryExtra: number;
    /** Maximum number of requests to a cold target in one second. */
    readonly coldPerSecond: number;
    readonly limitWindowMs: number;
    /** Factor by which the requests in one window may exceed a target's limit. */
    readonly limitOvershoot: number;
    /** Requests allowed in each window beyond those. */
    readonly limitExtra: number;
    /** Time after which a pause that a target has asked for applies. */
    readonly pauseDelayMs: number;
    /** Requests of one VM that a target may get during such a pause. */
    readonly pauseExtra: number;
    /** VMs without targets must serve at least this share of what the others serve of their requests, ... */
    readonly partitionedShare: number;
    /** ... or fail at most this many requests and this share of the requests at all VMs. */
    readonly partitionedExtra: number;
    readonly partitionedFailureShare: number;
    /** Number of crashes under a request, over all VMs, after which it must not be sent any more, ... */
    readonly crashLimit: number;
    /** ... apart from this number of requests. */
    readonly crashExtra: number;
    readonly quotaWindowMs: number;
    /** Share of the rate and the burst by which the requests in one window may exceed them, ... */
    readonly quotaOvershoot: number;
    /** ... apart from this number of requests. */
    readonly quotaSlack: number;
    /** An organisation that sends at most this share of its quota's window must not be refused because of it. */
    readonly quotaLowShare: number;
}

export type SoakRule =
    | "twice"
    | "refused"
    | "mixed"
    | "unasked"
    | "route"
    | "drain"
    | "zone-out"
    | "denied"
    | "identity"
    | "quota"
    | "lost"
    | "unanswered"
    | "budget"
    | "cold"
    | "limit"
    | "leaving"
    | "pause"
    | "partition"
    | "crash"
    | "recovery"
    | "process";

export interface SoakViolation {
    readonly rule: SoakRule;
    readonly message: string;
}

/**
 * Choice of the target for a call, and the queue in front of the targets of a cell.
 */
import * as config from "../config/Types.js";
import * as errors from "../errors/Types.js";
import * as membership from "../membership/Types.js";
import * as types from "../Types.js";

/** How an attempt at a target has ended, as far as the target's health is concerned. */
export type AttemptReport =
    | { readonly kind: "answered"; readonly latencyMs: number; readonly report: TargetReport | undefined }
    /** The target refused before it started. */
    | { readonly kind: "refused"; readonly report: TargetReport | undefined }
    /** No connection could be opened, or nothing was written to it. */
    | { readonly kind: "unreachable" }
    /** The connection broke after the request was sent. */
    | { readonly kind: "broken" }
    /** No answer within the time allowed to the attempt. */
    | { readonly kind: "silent" }
    /** The caller left or a hedge won; nothing is known of the target. */
    | { readonly kind: "cancelled" };

/** What a target says of itself on an answer or a probe. */
export interface TargetReport {
    readonly state: "cold" | "warm" | "draining";
    readonly busy: number | undefined;
    readonly boot: types.BootId | undefined;
}

export interface SlotRequest {
    readonly call: types.CallId;
    readonly service: types.ServiceName;
    /** Local monotonic time at which the call's deadline passes. */
    readonly deadlineAtMs: number;
    /** Targets that already failed for this call. */
    readonly exclude: readonly types.TargetId[];
    /** Entry VMs that could not be reached for this call. */
    readonly excludeMembers: readonly types.VmId[];
    /** False for a call that another entry VM forwarded; it is never forwarded again for routing. */
    readonly mayForward: boolean;
    /** Ends the wait; the promise is then rejected with the signal's reason. */
    readonly signal: AbortSignal;
}

export type SlotGrant =
    | {
          readonly kind: "local";
          readonly target: config.TargetConfig;
          /** The attempt must have ended by then; earlier than the deadline for a cold target. */
          readonly endsAtMs: number;
          /** Must be called once; frees the slot and updates the target's health. */
          release(report: AttemptReport): void;
      }
    /** Another entry VM owns the cell that should serve the call. */
    | { readonly kind: "remote"; readonly member: membership.Member; readonly cell: types.CellId }
    | { readonly kind: "refused"; readonly error: errors.ErrorKind; readonly message: string };

/** Hands out the slots of the targets that this entry VM owns. */
export interface Dispatcher extends types.Disposable {
    acquire(request: SlotRequest): Promise<SlotGrant>;
    /**
     * A report that came by a probe or from a peer. `askedAtMs` is the local time at which the probe was sent. Without
     * it the report's age is not known, so that it can lower a target's limit but not raise it.
     */
    applyReport(target: types.TargetId, report: TargetReport, requestedAtMs?: number): void;
    /** Views of all configured targets, for operators and for probing. */
    listTargets(): readonly TargetView[];
    /** Load of the cells that this entry VM owns, for gossip. */
    listCellLoads(): readonly membership.CellLoad[];
}

/** A dispatcher that also learns from probes that failed and from the platform's list. */
export interface ProbedDispatcher extends Dispatcher {
    /** A probe got no answer; it counts towards ejection and the time without contact, like a failed call. */
    applyProbeFailure(target: types.TargetId): void;
    /** The target at this address closed an idle connection; it may have restarted cold. */
    applyDisconnect(address: types.Address): void;
    /** VMs that are leaving by the platform's list; their targets get no new calls, whatever they report. */
    setLeavingVms(vms: ReadonlySet<types.VmId>): void;
}

export type TargetState =
    | { readonly kind: "unknown" }
    | { readonly kind: "cold" }
    | { readonly kind: "warming"; readonly sinceMs: number }
    | { readonly kind: "warm" }
    | { readonly kind: "slow" }
    | { readonly kind: "draining" }
    | { readonly kind: "ejected"; readonly untilMs: number; readonly times: number };

export interface TargetView {
    readonly target: config.TargetConfig;
    readonly service: types.ServiceName;
    readonly state: TargetState;
    readonly limit: number;
    readonly inFlight: number;
    readonly latencyMs: number;
    /** Local monotonic time of the last report; undefined if there was none. */
    readonly reportedAtMs: number | undefined;
    readonly lastReport: TargetReport | undefined;
    /** Whether this entry VM sends calls to the target. */
    readonly owned: boolean;
}

/** Says whether a cold target may be sent a call that ends by a given time. */
export interface ColdLeases {
    /** Local monotonic time at which the lease ends, or undefined if this incarnation does not hold it. */
    getLeaseEndMs(target: types.TargetId): number | undefined;
    /** Asks for the lease; it is taken and renewed in the background while it is wanted. */
    request(target: types.TargetId): void;
    /** Gives the lease up; only for a target at which no call that needed it is in flight. */
    release(target: types.TargetId): void;
    /** Fires when a lease has been taken. */
    readonly onDidTake: types.Event<types.TargetId>;
}

/** One budget a service for retries, hedges and resends. */
export interface RetryBudget {
    recordCall(service: types.ServiceName): void;
    /** Takes one token; false if the budget is spent. */
    takeRetry(service: types.ServiceName): boolean;
}

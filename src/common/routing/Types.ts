/**
 * Types for routing: slots of targets, attempt outcomes, target states and cold leases.
 */
import * as config from "../config/Types.js";
import * as errors from "../errors/Types.js";
import * as membership from "../membership/Types.js";
import * as types from "../Types.js";

/** How an attempt at a target ended, as input to the target's health. */
export type AttemptReport =
    | { readonly kind: "answered"; readonly latencyMs: number; readonly report: TargetReport | undefined }
    /** The target refused the call without starting it. */
    | { readonly kind: "refused"; readonly report: TargetReport | undefined }
    /** No connection could be opened, or no bytes were written to it. */
    | { readonly kind: "unreachable" }
    /** The connection broke after the request was sent. */
    | { readonly kind: "broken" }
    /** No response within the time allowed for the attempt. */
    | { readonly kind: "silent" }
    /** The caller disconnected or another hedged attempt won; says nothing about the target. */
    | { readonly kind: "cancelled" };

/** State that a target reports with a response or a probe. */
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
    /** Targets at which this call has already failed. */
    readonly exclude: readonly types.TargetId[];
    /** Entry VMs that could not be reached for this call. */
    readonly excludeMembers: readonly types.VmId[];
    /** False for a call that another entry VM forwarded; such a call is not forwarded a second time for routing. */
    readonly mayForward: boolean;
    /** Cancels the wait; the promise is then rejected with the signal's reason. */
    readonly signal: AbortSignal;
}

export type SlotGrant =
    | {
          readonly kind: "local";
          readonly target: config.TargetConfig;
          /** Time by which the attempt must have ended; may be before the call's deadline for a cold target. */
          readonly endsAtMs: number;
          /** Frees the slot and updates the target's health. Must be called once. */
          release(report: AttemptReport): void;
      }
    /** Another entry VM owns the cell that should serve the call. */
    | { readonly kind: "remote"; readonly member: membership.Member; readonly cell: types.CellId }
    | { readonly kind: "refused"; readonly error: errors.ErrorKind; readonly message: string };

/** Assigns calls to slots of the targets that this entry VM owns. */
export interface Dispatcher extends types.Disposable {
    acquire(request: SlotRequest): Promise<SlotGrant>;
    /**
     * Applies a report received by a probe or from a peer. `requestedAtMs` is the local time at which the probe was
     * sent. Without it the report's age is unknown, so the report can lower a target's limit but not raise it.
     */
    applyReport(target: types.TargetId, report: TargetReport, requestedAtMs?: number): void;
    /** Lists all configured targets, for operators and for probing. */
    listTargets(): readonly TargetView[];
    /** Lists the loads of the cells in which this entry VM owns targets, for gossip. */
    listCellLoads(): readonly membership.CellLoad[];
}

/** A dispatcher that also takes failed probes, closed connections and the platform's list of VMs into account. */
export interface ProbedDispatcher extends Dispatcher {
    /** Records a failed probe. Like a failed call, it counts towards ejection and the time without contact. */
    applyProbeFailure(target: types.TargetId): void;
    /** Records that the target at this address closed an idle connection; it may have restarted and be cold. */
    applyDisconnect(address: types.Address): void;
    /** Sets the VMs that the platform lists as leaving; their targets get no new calls, whatever they report. */
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

/** Leases that allow an incarnation to send calls to cold targets. */
export interface ColdLeases {
    /** Gets the local monotonic time at which the lease ends; undefined if this incarnation does not hold it. */
    getLeaseEndMs(target: types.TargetId): number | undefined;
    /** Requests the lease. It is acquired and renewed in the background until it is released. */
    request(target: types.TargetId): void;
    /** Releases the lease. No call that needed it may be in flight at the target. */
    release(target: types.TargetId): void;
    /** Fires when a lease has been acquired. */
    readonly onDidTake: types.Event<types.TargetId>;
}

/** Budget per service, shared by retries, hedges and resends. */
export interface RetryBudget {
    recordCall(service: types.ServiceName): void;
    /** Takes one token; false if the budget is exhausted. */
    takeRetry(service: types.ServiceName): boolean;
}

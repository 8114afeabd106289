/**
 * Types of the stand-ins for targets.
 */

export type ServiceTime =
    | { readonly kind: "fixed"; readonly ms: number }
    | { readonly kind: "exponential"; readonly meanMs: number }
    | { readonly kind: "logNormal"; readonly medianMs: number; readonly sigma: number };

export interface TargetSpec {
    readonly id: string;
    readonly zone: string;
    /** `ip:port`; port 0 selects a free port. */
    readonly listen: string;
    readonly slots: number;
    readonly coldSlots: number;
    readonly serviceTime: ServiceTime;
    /** The target is cold after a boot until this time has passed and `coldForCalls` calls have finished. */
    readonly coldForMs: number;
    readonly coldForCalls: number;
    /** Effect of running more than `coldSlots` calls during cold start. */
    readonly collapse: "slow" | "crash";
    readonly probeMs: number;
    readonly seed: number;
    /** False for load tests, whose history would exhaust memory. */
    readonly recordsHistory: boolean;
}

/** Faults that stay active until they are changed. */
export interface TargetFaults {
    readonly isDraining: boolean;
    /** Factor by which service times are multiplied. */
    readonly slowFactor: number;
    /** Age of the load in reports, in milliseconds. */
    readonly reportLagMs: number;
    /** Reported instead of the actual value. */
    readonly reportBusy?: number;
    readonly reportState?: "cold" | "warm" | "draining";
    /** Whether responses echo `Tarragon-Attempt-Id`. */
    readonly echoesAttempt: boolean;
    /** A request whose path contains this text crashes the target. */
    readonly poison?: string;
    /** Time after a crash during which new connections are reset. */
    readonly restartMs: number;
}

/** Body of `POST /_faults`; fields that are absent stay unchanged. */
export interface TargetFaultChange extends Partial<TargetFaults> {
    readonly crash?: boolean;
    readonly turnCold?: boolean;
    /** Requests on the connections that are open now get no response; new connections work. */
    readonly silenceConnections?: boolean;
    /** Number of pairs of responses to swap between two connections. */
    readonly crossAnswers?: number;
    /** Number of responses to truncate in the middle of the body. */
    readonly truncateAnswers?: number;
}

export interface TargetReport {
    readonly state: "cold" | "warm" | "draining";
    readonly busy: number;
    readonly boot: string;
}

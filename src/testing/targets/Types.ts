/**
 * Stand-ins for targets.
 */

export type ServiceTime =
    | { readonly kind: "fixed"; readonly ms: number }
    | { readonly kind: "exponential"; readonly meanMs: number }
    | { readonly kind: "logNormal"; readonly medianMs: number; readonly sigma: number };

export interface TargetSpec {
    readonly id: string;
    readonly zone: string;
    /** `ip:port`; port 0 picks a free one. */
    readonly listen: string;
    readonly slots: number;
    readonly coldSlots: number;
    readonly serviceTime: ServiceTime;
    /** A boot is cold until this time has passed and `coldForCalls` calls have finished. */
    readonly coldForMs: number;
    readonly coldForCalls: number;
    /** What happens when more than `coldSlots` calls run in cold start. */
    readonly collapse: "slow" | "crash";
    readonly probeMs: number;
    readonly seed: number;
    /** False for load tests, whose history would fill the memory. */
    readonly recordsHistory: boolean;
}

/** Faults that last until they are changed. */
export interface TargetFaults {
    readonly isDraining: boolean;
    /** Multiplies service times. */
    readonly slowFactor: number;
    /** Reports show the load of this long ago. */
    readonly reportLagMs: number;
    /** Reported instead of the true numbers. */
    readonly reportBusy?: number;
    readonly reportState?: "cold" | "warm" | "draining";
    /** False: answers lack the echo of `Tarragon-Attempt-Id`. */
    readonly echoesAttempt: boolean;
    /** A request whose path contains this text crashes the target. */
    readonly poison?: string;
    /** Time after a crash in which new connections are reset. */
    readonly restartMs: number;
}

/** What `POST /_faults` changes; the rest stays. */
export interface TargetFaultChange extends Partial<TargetFaults> {
    readonly crash?: boolean;
    readonly turnCold?: boolean;
    /** The connections that are open now stop answering; new ones work. */
    readonly silenceConnections?: boolean;
    /** Number of pairs of answers that are swapped between two connections. */
    readonly crossAnswers?: number;
    /** Number of answers that end in mid-body. */
    readonly truncateAnswers?: number;
}

export interface TargetReport {
    readonly state: "cold" | "warm" | "draining";
    readonly busy: number;
    readonly boot: string;
}

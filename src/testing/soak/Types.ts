/**
 * What happens in a fault soak: faults, and what callers and targets see.
 */
import * as routes from "../../common/routes/Types.js";
import * as relay from "../system/relay.js";

/** How a target misbehaves for some of its requests. */
export type TargetMode = "slow" | "failing" | "reset" | "truncated" | "extra-answer" | "full";

/** How the store misbehaves towards all VMs. */
export type StoreMode = "busy" | "silent" | "slow" | "lost-answers" | "no-history";

export type Fault =
    /** SIGKILL and SIGTERM are followed by a start after the time, SIGSTOP by SIGCONT. */
    | { readonly kind: "signal"; readonly vm: number; readonly signal: VmSignal; readonly forMs: number }
    | { readonly kind: "store"; readonly mode: StoreMode; readonly forMs: number }
    | { readonly kind: "store-link"; readonly vm: number; readonly state: relay.LinkState; readonly forMs: number }
    | { readonly kind: "target-link"; readonly target: number; readonly state: relay.LinkState; readonly forMs: number }
    | { readonly kind: "target"; readonly target: number; readonly mode: TargetMode; readonly forMs: number }
    /** All targets of a service misbehave, so that repeats are of no use. */
    | { readonly kind: "service"; readonly service: number; readonly mode: TargetMode; readonly forMs: number }
    /** The target ends without a word and starts again, cold, under a new id. */
    | { readonly kind: "crash"; readonly target: number; readonly forMs: number }
    /** The target reports that it drains, ends, and another one starts. */
    | { readonly kind: "drain"; readonly target: number }
    /** The route that moves goes to the other service. */
    | { readonly kind: "configuration" }
    | { readonly kind: "zone-out"; readonly zone: number; readonly forMs: number };

export type VmSignal = "SIGKILL" | "SIGTERM" | "SIGSTOP" | "SIGHUP";

export interface PlannedFault {
    readonly atMs: number;
    readonly fault: Fault;
}

/** Time in which a VM, or all of them, may not be held to promises that have a time bound. */
export interface Disturbance {
    readonly fromMs: number;
    /** Infinite while it lasts. */
    toMs: number;
    /** Undefined: all VMs. */
    readonly vm: number | undefined;
    /** Whether the VM must still answer what it has passed on, as after SIGTERM or without the store. */
    readonly keepsAnswers: boolean;
}

export type CallerOutcome =
    | {
          readonly kind: "answered";
          readonly status: number;
          readonly isSealed: boolean;
          /** The body, if it is whole. */
          readonly body: string | undefined;
      }
    /** The connection was not opened. */
    | { readonly kind: "unconnected" }
    /** The connection ended before the answer was whole. */
    | { readonly kind: "closed" }
    /** The caller left at its deadline. */
    | { readonly kind: "timeout" };

/** One attempt of a caller. */
export interface CallerRecord {
    readonly id: string;
    readonly kind: routes.RouteKind;
    readonly method: string;
    readonly path: string;
    readonly bodyDigest: string;
    readonly vm: number;
    readonly sentAtMs: number;
    endedAtMs: number;
    outcome: CallerOutcome | undefined;
}

/** A target began to work on a request. */
export interface RunRecord {
    readonly id: string;
    readonly atMs: number;
    readonly target: string;
    readonly service: string;
    readonly zone: string;
    readonly method: string;
    readonly path: string;
    readonly bodyDigest: string;
    /** What the target answers, if it answers with success. */
    readonly body: string;
    /** Status that the target gave; undefined if it gave none. */
    status: number | undefined;
}

/** A request reached a target, whether it ran or not. */
export interface ArrivalRecord {
    readonly id: string;
    readonly atMs: number;
    readonly target: string;
    readonly service: string;
    readonly isCold: boolean;
}

/** Something that the store has acknowledged and that binds the VMs from then on. */
export type Order =
    | { readonly kind: "leaving"; readonly atMs: number; readonly target: string }
    | { readonly kind: "route-moved"; readonly atMs: number; readonly path: string; readonly service: string }
    | { readonly kind: "zone-out"; readonly atMs: number; readonly zone: string; endsAtMs: number };

export interface SoakHistory {
    readonly calls: readonly CallerRecord[];
    readonly runs: readonly RunRecord[];
    readonly arrivals: readonly ArrivalRecord[];
    readonly orders: readonly Order[];
    readonly disturbances: readonly Disturbance[];
    /** From this time on nothing is disturbed any more. */
    readonly calmFromMs: number;
    readonly endedAtMs: number;
}

/** Bounds of the platform's pages that the checks use. */
export interface SoakBounds {
    /** A VM is held to time bounds after this time without disturbance. */
    readonly contactMs: number;
    readonly drainMs: number;
    readonly configurationMs: number;
    readonly zoneOutMs: number;
    readonly recoveryMs: number;
    readonly retryShare: number;
    readonly retryWindowMs: number;
    readonly retryExtra: number;
    /** Requests in a second that a cold target bears at the most. */
    readonly coldPerSecond: number;
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
    | "lost"
    | "unanswered"
    | "budget"
    | "cold"
    | "recovery"
    | "process";

export interface SoakViolation {
    readonly rule: SoakRule;
    readonly message: string;
}

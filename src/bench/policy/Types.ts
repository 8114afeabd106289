/**
 * Types of the experiments on target selection policies.
 */
import * as fixtures from "../../common/routing/fixture.js";
import * as simTarget from "./simTarget.js";

/**
 * `owners`: the dispatcher of the entry daemon. `twoRandom`: each entry VM picks two random targets and sends to the
 * one with fewer calls in flight from this VM. `roundRobin`: each entry VM uses the targets in rotation.
 */
export type PolicyKind = "owners" | "twoRandom" | "roundRobin";

export interface PolicyOptions {
    readonly kind: PolicyKind;
    /** For policies without owners: prefers targets in the entry VM's zone. */
    readonly ownZoneOnly: boolean;
    readonly spillOver: boolean;
    readonly limitDrop: boolean;
    /**
     * Whether calls to cold targets are limited: with the cold lease for owners, with a limit in each entry VM for the
     * other policies. If false, every target is treated as warm.
     */
    readonly coldLeases: boolean;
}

/** Event that affects targets during a run. */
export type Disturbance =
    | { readonly kind: "none" }
    /** The first target is slower by a factor for a limited time. */
    | { readonly kind: "slowTarget"; readonly fromMs: number; readonly toMs: number; readonly factor: number }
    /** The last zone is out of service at the start and returns later with cold targets. */
    | { readonly kind: "zoneReturns"; readonly atMs: number };

export interface Scenario {
    readonly shape: fixtures.ServiceShape;
    readonly entryVms: number;
    /** Total call rate as a share of the capacity of the targets that are in service at the start. */
    readonly load: number;
    /** Share of the calls that arrive in the first zone; the rest are spread evenly over the other zones. */
    readonly firstZoneShare: number;
    readonly policy: PolicyOptions;
    readonly noise: simTarget.NoiseKind;
    readonly disturbance: Disturbance;
    readonly warmUpMs: number;
    readonly durationMs: number;
    readonly deadlineMs: number;
}

/** Measurements of a run with one seed. */
export interface RunResult {
    readonly latenciesMs: readonly number[];
    readonly calls: number;
    readonly refused: number;
    /** Calls whose response came after the deadline. */
    readonly late: number;
    /** Calls that arrived while all slots of the target were busy. */
    readonly beyondSlots: number;
    readonly beyondColdSlots: number;
    /** When all targets were warm after a zone returned. */
    readonly allWarmAtMs: number | undefined;
}

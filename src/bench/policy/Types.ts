/**
 * Experiments on policies for the choice of a target.
 */
import * as fixtures from "../../common/routing/fixture.js";
import * as simTarget from "./simTarget.js";

/**
 * `owners`: the dispatcher of the entry daemon. `twoRandom`: each entry VM sends to the one of two random targets at
 * which it has fewer calls in flight itself. `roundRobin`: each entry VM takes the targets in turn.
 */
export type PolicyKind = "owners" | "twoRandom" | "roundRobin";

export interface PolicyOptions {
    readonly kind: PolicyKind;
    /** For the policies without owners: only targets in the zone of the entry VM. */
    readonly ownZoneOnly: boolean;
    readonly spillOver: boolean;
    readonly limitDrop: boolean;
    /**
     * Whether cold starts are respected: by owners with the cold lease, by the other policies with a limit in each entry
     * VM. False takes each report as warm.
     */
    readonly coldLeases: boolean;
}

/** Something that happens to the targets during a run. */
export type Disturbance =
    | { readonly kind: "none" }
    /** One target is slower by a factor for a time. */
    | { readonly kind: "slowTarget"; readonly fromMs: number; readonly toMs: number; readonly factor: number }
    /** The last zone is out of service from the start and returns with cold targets. */
    | { readonly kind: "zoneReturns"; readonly atMs: number };

export interface Scenario {
    readonly shape: fixtures.ServiceShape;
    readonly entryVms: number;
    /** Calls per second in all, as a share of what the targets in service can handle at the start. */
    readonly load: number;
    /** Share of the calls that arrive in the first zone; the rest is spread over the others. */
    readonly firstZoneShare: number;
    readonly policy: PolicyOptions;
    readonly noise: simTarget.NoiseKind;
    readonly disturbance: Disturbance;
    readonly warmUpMs: number;
    readonly durationMs: number;
    readonly deadlineMs: number;
}

/** What a run of one seed measured. */
export interface RunResult {
    readonly latenciesMs: readonly number[];
    readonly calls: number;
    readonly refused: number;
    /** Calls that were answered after their deadline. */
    readonly late: number;
    /** Calls that found all slots of their target busy. */
    readonly beyondSlots: number;
    readonly beyondColdSlots: number;
    /** When the last target of a returned zone became warm. */
    readonly allWarmAtMs: number | undefined;
}

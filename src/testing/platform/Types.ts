/**
 * Faults of the platform's stand-in.
 */

/** `refuse` answers 503 (surely no effect); `hang` never answers. */
export type Outage = "none" | "refuse" | "hang";

export interface PlatformFaults {
    /** Time before each operation. */
    readonly latencyMs: number;
    readonly table: Outage;
    readonly objects: Outage;
    readonly vms: Outage;
    /** The list of VMs is the one of this long ago. */
    readonly listLagMs: number;
}

/** What `POST /faults` changes; the rest stays. */
export interface PlatformFaultChange extends Partial<PlatformFaults> {
    /** Number of coming transactions whose answer is lost after the commit. */
    readonly loseAnswers?: number;
    /** Number of coming transactions that are lost before they have an effect. */
    readonly loseRequests?: number;
}

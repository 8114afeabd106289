/**
 * Faults of the stand-in for the platform.
 */

/** `refuse` responds with 503, which guarantees no effect; `hang` never responds. */
export type Outage = "none" | "refuse" | "hang";

export interface PlatformFaults {
    /** Delay before each operation, in milliseconds. */
    readonly latencyMs: number;
    readonly table: Outage;
    readonly objects: Outage;
    readonly vms: Outage;
    /** Age of the returned list of VMs, in milliseconds. */
    readonly listLagMs: number;
}

/** Body of `POST /faults`; fields that are absent stay unchanged. */
export interface PlatformFaultChange extends Partial<PlatformFaults> {
    /** Number of upcoming transactions whose response is lost after the commit. */
    readonly loseAnswers?: number;
    /** Number of upcoming transactions whose request is lost before it takes effect. */
    readonly loseRequests?: number;
}

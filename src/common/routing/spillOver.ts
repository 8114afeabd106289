/**
 * Picks a cell of a service by the expected wait and the delay of the links between zones.
 */
import * as config from "../config/Types.js";
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";

/** Loads published by other owners are ignored when they are older than this. */
export const cellLoadMaxAgeMs = 3_000;
/** Assumed wait in a cell of another zone whose load is not known. */
export const defaultRemoteWaitMs = 20;
/** Assumed one-way delay between zones for which the topology has no link. */
export const defaultLinkDelayMs = 20;

/** Returns the one-way delay between two zones in milliseconds. */
export type GetDelay = (from: shared.ZoneName, to: shared.ZoneName) => number;

/**
 * Creates the lookup of link delays.
 *
 * @param topology - the topology section
 * @returns the lookup; the delay within a zone is 0
 */
export const createGetDelay = (topology: config.TopologySection): GetDelay => {
    const delays = new Map<string, number>();
    for (const link of topology.links) {
        delays.set(`${link.from} ${link.to}`, link.delayMs);
        delays.set(`${link.to} ${link.from}`, link.delayMs);
    }
    return (from, to) => (from === to ? 0 : (delays.get(`${from} ${to}`) ?? defaultLinkDelayMs));
};

/** What is known about a cell of another owner. */
export interface RemoteCell {
    readonly load: membership.CellLoad | undefined;
    /** Calls that this entry VM has forwarded there since the load was measured. */
    readonly forwarded: number;
    /** Slots of the cell in the configuration. */
    readonly slots: number;
    /** Mean service time, taken from a local cell of the same service. */
    readonly meanLatencyMs: number;
    /** Whether the cell is in the zone of this entry VM; without a known load, its wait is assumed to be 0. */
    readonly isHomeCell: boolean;
}

/**
 * Computes the expected wait in a cell of another owner.
 *
 * @param remote - what is known of the cell
 * @param nowMs - local monotonic time
 * @returns the wait in milliseconds, without the delay of the link
 */
export const computeRemoteWaitMs = (remote: RemoteCell, nowMs: number): number => {
    const load = remote.load;
    if (load === undefined || nowMs - load.measuredAtMs > cellLoadMaxAgeMs) {
        return remote.isHomeCell ? 0 : defaultRemoteWaitMs;
    }
    const waitPerCallMs = remote.meanLatencyMs / Math.max(1, remote.slots);
    // Calls forwarded since the load was measured occupy the free slots that it shows.
    const excessForwarded = remote.forwarded - load.freeSlots;
    if (load.freeSlots > 0 && excessForwarded < 0) {
        return load.expectedWaitMs;
    }
    return load.expectedWaitMs + (Math.max(0, excessForwarded) + 1) * waitPerCallMs;
};

/** A cell that could serve a call, with the expected cost. */
export type CellOption<Cell> =
    | { readonly kind: "local"; readonly cell: Cell; readonly costMs: number }
    | {
          readonly kind: "remote";
          readonly cell: Cell;
          readonly costMs: number;
          readonly member: membership.Member;
      };

/**
 * Picks the option with the lowest cost; among equal costs a local option is preferred.
 *
 * @param options - the options
 * @returns the best option, or undefined if none has a finite cost
 */
export const pickOption = <Cell>(options: readonly CellOption<Cell>[]): CellOption<Cell> | undefined => {
    let best: CellOption<Cell> | undefined;
    for (const option of options) {
        if (option.costMs === Infinity) {
            continue;
        }
        const isBetter =
            best === undefined ||
            option.costMs < best.costMs ||
            (option.costMs === best.costMs && option.kind === "local" && best.kind === "remote");
        if (isBetter) {
            best = option;
        }
    }
    return best;
};

/**
 * Entry VMs as seen by one of them, and who owns what.
 */
import * as types from "../Types.js";

export type MemberState = "starting" | "serving" | "leaving";

/** An entry VM as it describes itself. */
export interface MemberInfo {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly zone: types.ZoneName;
    /** Address for callers. */
    readonly address: types.Address;
    /** Address of the control port, for peers and operators. */
    readonly control: types.Address;
    readonly state: MemberState;
    /** Revision in use; 0 before the first. */
    readonly revision: types.Revision;
    /** Whether its configuration has been confirmed since it started. */
    readonly synced: boolean;
    /** Epoch of the idempotency keys that it issues now. */
    readonly epoch: number;
}

/** What is known of a member. `seenAtMs` is local monotonic time: the member was in this state then or later. */
export interface Member {
    readonly info: MemberInfo;
    readonly seenAtMs: number;
}

/** Load of a cell as published by its owner. */
export interface CellLoad {
    readonly cell: types.CellId;
    readonly owner: types.VmId;
    readonly freeSlots: number;
    readonly queued: number;
    /** Expected time in the queue for a call that arrives now. */
    readonly expectedWaitMs: number;
    readonly measuredAtMs: number;
}

/** Owners of cells and targets, derived from the members and the configuration. */
export interface Ownership {
    /** Owners of a cell, best first; empty if the cell has no target that may receive work. */
    listCellOwners(cell: types.CellId): readonly Member[];
    /** The one entry VM that sends calls to the target. */
    findTargetOwner(target: types.TargetId): Member | undefined;
}

/** Load of a cell as read from a message, with an error of a few per cent. */
export type PublishedLoad = Pick<CellLoad, "cell" | "freeSlots" | "queued" | "expectedWaitMs">;

/** A member together with what gossip needs to tell old news from new. */
export interface MemberRecord extends Member {
    /** Grows with each change of what the member says of itself, except its age. */
    readonly version: number;
    /** Loads of the member's cells as it formatted them; they refer to the revision that it has in use. */
    readonly loads: string;
}

/**
 * Members (entry VMs) as known to one of them, and the owners of cells and targets.
 */
import * as types from "../Types.js";

export type MemberState = "starting" | "serving" | "leaving";

/** State that an entry VM publishes about itself. */
export interface MemberInfo {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly zone: types.ZoneName;
    /** Address for callers. */
    readonly address: types.Address;
    /** Address of the control port, for peers and operators. */
    readonly control: types.Address;
    readonly state: MemberState;
    /** Revision in use; 0 before the first one. */
    readonly revision: types.Revision;
    /** Whether its configuration has been confirmed since it started. */
    readonly synced: boolean;
    /** Epoch of the idempotency keys that it currently issues. */
    readonly epoch: number;
}

/** What is known about a member. It was in this state at `seenAtMs` (local monotonic time) or later. */
export interface Member {
    readonly info: MemberInfo;
    readonly seenAtMs: number;
}

/** Load of a cell as published by an owner. */
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
    /** Lists the owners of a cell, highest ranked first; empty if no target of the cell may receive calls. */
    listCellOwners(cell: types.CellId): readonly Member[];
    /** Finds the only entry VM that sends calls to the target. */
    findTargetOwner(target: types.TargetId): Member | undefined;
}

/** Load of a cell as read from a message; encoding rounds the numbers by a few per cent. */
export type PublishedLoad = Pick<CellLoad, "cell" | "freeSlots" | "queued" | "expectedWaitMs">;

/** A member with the fields by which gossip distinguishes newer information from older. */
export interface MemberRecord extends Member {
    /** Increases with each change of the information that the member publishes, except its age. */
    readonly version: number;
    /** Loads of the member's cells in encoded form, relative to the revision that the member has in use. */
    readonly loads: string;
}

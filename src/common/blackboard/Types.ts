/**
 * Types of the blackboard, the state shared by the controllers. All controllers read it; each field has one writer.
 */
import * as config from "../config/Types.js";
import * as freshness from "../freshness/Types.js";
import * as membership from "../membership/Types.js";
import * as types from "../Types.js";

/** A field that can be read and watched. */
export interface ReadableField<T> {
    get(): T;
    /** Fires after a new value has been written. */
    readonly onDidChange: types.Event<T>;
}

/** A field with a single writer. */
export interface Field<T> extends ReadableField<T> {
    /**
     * Returns the write function. May be called only once.
     *
     * @param writer - name of the controller, for the error thrown on a second call
     */
    takeWriter(writer: string): (value: T) => void;
}

export type LifecycleState = "starting" | "serving" | "leaving" | "stopped";

/** Identity and addresses of this entry VM; constant for the lifetime of the daemon. */
export interface LocalVm {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly zone: types.ZoneName;
    readonly address: types.Address;
    readonly control: types.Address;
}

export interface Blackboard {
    readonly self: LocalVm;
    readonly lifecycle: Field<LifecycleState>;
    /** Undefined until the first revision has been adopted. */
    readonly configuration: Field<config.Configuration | undefined>;
    readonly freshness: Field<freshness.FreshnessState>;
    /** Members that are live according to gossip, including this entry VM. */
    readonly members: Field<ReadonlyMap<types.VmId, membership.Member>>;
    readonly ownership: Field<membership.Ownership>;
    /** Loads of remote cells, received by gossip. */
    readonly cellLoads: Field<ReadonlyMap<types.CellId, readonly membership.CellLoad[]>>;
}

/**
 * Shared state. Controllers read all of it; each field has one writer.
 */
import * as config from "../config/Types.js";
import * as freshness from "../freshness/Types.js";
import * as membership from "../membership/Types.js";
import * as types from "../Types.js";

/** A field that can be read and watched. */
export interface ReadableField<T> {
    get(): T;
    /** Fires after a new value was written. */
    readonly onDidChange: types.Event<T>;
}

/** A field whose write function is handed out once. */
export interface Field<T> extends ReadableField<T> {
    /**
     * Hands out the write function.
     *
     * @param writer - name of the controller, for the error if there is a second one
     */
    takeWriter(writer: string): (value: T) => void;
}

export type Lifecycle = "starting" | "serving" | "leaving" | "stopped";

/** Constant facts of this entry VM, from its settings. */
export interface Self {
    readonly vm: types.VmId;
    readonly incarnation: types.IncarnationId;
    readonly zone: types.ZoneName;
    readonly address: types.Address;
    readonly control: types.Address;
}

export interface Blackboard {
    readonly self: Self;
    readonly lifecycle: Field<Lifecycle>;
    /** Undefined until the first revision was adopted. */
    readonly configuration: Field<config.Configuration | undefined>;
    readonly freshness: Field<freshness.FreshnessState>;
    /** Members that are live by gossip, this entry VM included. */
    readonly members: Field<ReadonlyMap<types.VmId, membership.Member>>;
    readonly ownership: Field<membership.Ownership>;
    /** Loads of remote cells, from gossip. */
    readonly cellLoads: Field<ReadonlyMap<types.CellId, readonly membership.CellLoad[]>>;
}

/**
 * Interfaces of the services that the platform provides.
 */
import * as types from "../../common/Types.js";

export interface Row {
    readonly key: string;
    /**
     * Increases with every write of the row and is never reused for the same key, not even after the row was deleted.
     * Claims of idempotency keys depend on this.
     */
    readonly version: number;
    readonly value: unknown;
}

export type ReadResult =
    | { readonly kind: "found"; readonly row: Row }
    | { readonly kind: "absent" }
    | { readonly kind: "unavailable"; readonly cause: string };

export type ScanResult =
    | { readonly kind: "found"; readonly rows: readonly Row[] }
    | { readonly kind: "unavailable"; readonly cause: string };

/** Requires a row to have the given version; version 0 means that the row is absent. */
export interface Condition {
    readonly key: string;
    readonly version: number;
}

/** Writes a row, or deletes it if `value` is undefined. */
export interface Write {
    readonly key: string;
    readonly value: unknown;
}

/**
 * `unavailable`: the transaction certainly had no effect. `unknown`: the response was lost; the transaction may have
 * been committed, and the caller has to read the rows to find out.
 */
export type TransactResult =
    | { readonly kind: "committed" }
    | { readonly kind: "conflict"; readonly rows: readonly Row[] }
    | { readonly kind: "unavailable"; readonly cause: string }
    | { readonly kind: "unknown"; readonly cause: string };

/** `unchanged`: the row still has the given version. */
export type ChangedReadResult = ReadResult | { readonly kind: "unchanged" };

export interface TableService {
    read(key: string): Promise<ReadResult>;
    /** Reads a row unless it still has the given version; an unchanged row costs a read but transfers few bytes. */
    readIfChanged(key: string, version: number): Promise<ChangedReadResult>;
    scan(prefix: string): Promise<ScanResult>;
    /** Applies all writes if all conditions hold, otherwise none. */
    transact(conditions: readonly Condition[], writes: readonly Write[]): Promise<TransactResult>;
}

export type GetResult =
    | { readonly kind: "found"; readonly content: string }
    | { readonly kind: "absent" }
    | { readonly kind: "unavailable"; readonly cause: string };

export type PutResult = { readonly kind: "stored" } | { readonly kind: "unavailable"; readonly cause: string };

export interface ObjectStore {
    get(name: string): Promise<GetResult>;
    put(name: string, content: string): Promise<PutResult>;
}

export interface ListedVm {
    readonly vm: types.VmId;
    readonly role: "entry" | "target";
    readonly state: "live" | "leaving";
    /** Address for callers; absent for VMs of targets. */
    readonly address?: types.Address;
    /** Address of the control port; absent for VMs of targets. */
    readonly control?: types.Address;
    readonly zone: types.ZoneName;
}

export interface VmFilter {
    readonly role?: ListedVm["role"];
    readonly state?: ListedVm["state"];
}

export type ListResult =
    | { readonly kind: "found"; readonly vms: readonly ListedVm[] }
    | { readonly kind: "unavailable"; readonly cause: string };

/** The platform's list of VMs, which lags behind the actual state. */
export interface VmList {
    /**
     * @param filter - only VMs of this role and state; the list of all VMs is long
     */
    list(filter?: VmFilter): Promise<ListResult>;
}

export interface Platform {
    readonly table: TableService;
    readonly objects: ObjectStore;
    readonly vms: VmList;
}

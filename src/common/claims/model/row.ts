/**
 * Model of one row of the table service, with lost and late writes.
 */
import * as types from "../Types.js";

export interface StoredRow {
    readonly version: number;
    readonly value: types.ClaimRow;
}

export interface RowWrite {
    /** The write has no effect on a row with another version; 0 is an absent row, undefined matches any. */
    readonly version: number | undefined;
    readonly value: types.ClaimRow | undefined;
}

export interface Store {
    readonly row: StoredRow | undefined;
    readonly lastVersion: number;
    /** Versions count from 1 again after a removal. The daemon relies on a store in which they do not. */
    readonly areVersionsReused: boolean;
    /** Writes that their writer has given up and that may still take effect. */
    readonly late: readonly RowWrite[];
}

/** A possible result of a write. */
export interface Written<State> {
    readonly label: string;
    readonly state: State;
    readonly observation: types.RowObservation;
}

/**
 * Creates a store without the row.
 *
 * @param areVersionsReused - whether versions count from 1 again after a removal
 * @returns the store
 */
export const createStore = (areVersionsReused: boolean): Store => ({
    row: undefined,
    lastVersion: 0,
    areVersionsReused,
    late: [],
});

/**
 * Applies a write if its condition holds.
 *
 * @param store - the store before
 * @param write - the write
 * @returns the store after, and what the writer is told if the answer arrives
 */
export const applyWrite = (
    store: Store,
    write: RowWrite,
): { readonly store: Store; readonly observation: types.RowObservation } => {
    if (write.version !== undefined && write.version !== (store.row?.version ?? 0)) {
        return { store, observation: { kind: "row", row: store.row?.value } };
    }
    const version = store.lastVersion + 1;
    if (write.value === undefined) {
        const lastVersion = store.areVersionsReused ? 0 : version;
        return { store: { ...store, row: undefined, lastVersion }, observation: { kind: "committed" } };
    }
    const row = { version, value: write.value };
    return { store: { ...store, row, lastVersion: version }, observation: { kind: "committed" } };
};

/**
 * Lists what can become of a write.
 *
 * @param store - the store before
 * @param write - the write
 * @param faultsLeft - no faults if 0
 * @returns the results, each with the fault that happened
 */
export const listWrites = (
    store: Store,
    write: RowWrite,
    faultsLeft: number,
): readonly { readonly store: Store; readonly observation: types.RowObservation; readonly fault: string }[] => {
    const applied = applyWrite(store, write);
    if (faultsLeft === 0) {
        return [{ ...applied, fault: "" }];
    }
    const unknown: types.RowObservation = { kind: "unknown" };
    return [
        { ...applied, fault: "" },
        { store: applied.store, observation: unknown, fault: "answer lost" },
        { store, observation: unknown, fault: "write lost" },
        { store: { ...store, late: [...store.late, write] }, observation: unknown, fault: "write late" },
        { store, observation: { kind: "unavailable" }, fault: "refused" },
    ];
};

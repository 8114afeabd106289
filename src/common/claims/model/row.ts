/**
 * Model of one table service row, with lost and late writes.
 */
import * as types from "../Types.js";

export interface StoredRow {
    readonly version: number;
    readonly value: types.ClaimRow;
}

export interface RowWrite {
    /** Version that the row must have for the write to apply; 0 for an absent row, undefined for any version. */
    readonly version: number | undefined;
    readonly value: types.ClaimRow | undefined;
}

export interface RowStore {
    readonly row: StoredRow | undefined;
    readonly lastVersion: number;
    /** Versions restart at 1 after a removal. The daemon relies on a store where they do not. */
    readonly areVersionsReused: boolean;
    /** Writes that their writer no longer waits for and that may still be applied. */
    readonly lateWrites: readonly RowWrite[];
}

/** A possible result of a write. */
export interface WriteResult<State> {
    readonly label: string;
    readonly state: State;
    readonly observation: types.RowObservation;
}

/**
 * Creates a store without the row.
 *
 * @param areVersionsReused - whether versions restart at 1 after a removal
 * @returns the store
 */
export const createStore = (areVersionsReused: boolean): RowStore => ({
    row: undefined,
    lastVersion: 0,
    areVersionsReused,
    lateWrites: [],
});

/**
 * Applies a write if its condition holds.
 *
 * @param store - the store before
 * @param write - the write
 * @returns the store after, and the result that the writer observes if the response arrives
 */
export const applyWrite = (
    store: RowStore,
    write: RowWrite,
): { readonly store: RowStore; readonly observation: types.RowObservation } => {
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
 * Lists the possible results of a write.
 *
 * @param store - the store before
 * @param write - the write
 * @param faultsLeft - number of faults that may still happen; 0 for none
 * @returns the results, each with the fault that happened; an empty text for none
 */
export const listWriteResults = (
    store: RowStore,
    write: RowWrite,
    faultsLeft: number,
): readonly { readonly store: RowStore; readonly observation: types.RowObservation; readonly fault: string }[] => {
    const applied = applyWrite(store, write);
    if (faultsLeft === 0) {
        return [{ ...applied, fault: "" }];
    }
    const unknown: types.RowObservation = { kind: "unknown" };
    return [
        { ...applied, fault: "" },
        { store: applied.store, observation: unknown, fault: "response lost" },
        { store, observation: unknown, fault: "write lost" },
        { store: { ...store, lateWrites: [...store.lateWrites, write] }, observation: unknown, fault: "write late" },
        { store, observation: { kind: "unavailable" }, fault: "refused" },
    ];
};

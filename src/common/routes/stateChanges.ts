/**
 * Changes of the state that all entry VMs share.
 */
import * as types from "./Types.js";

/**
 * Returns the key of the row that a change belongs to.
 *
 * @param change - the change
 * @returns the key, unique over all tables
 */
export const toRowKey = (change: types.StateChange): string => {
    switch (change.kind) {
        case "configuration":
            return "configuration";
        case "zone":
            return `zone/${change.zone}`;
        case "target":
            return `target/${change.id}`;
    }
};

/**
 * Checks whether a change removes its row.
 *
 * @param change - the change
 * @returns true if nothing is left of the row
 */
export const isRemoval = (change: types.StateChange): boolean => {
    switch (change.kind) {
        case "configuration":
            return change.configuration === undefined;
        case "zone":
            return !change.isOut;
        case "target":
            return change.registration === undefined;
    }
};

/**
 * Returns the table that a change belongs to.
 *
 * @param change - the change
 * @returns the table
 */
export const getTable = (change: types.StateChange): types.StateTable =>
    change.kind === "target" ? "targets" : "operators";

/**
 * Checks whether two changes of a row differ in their version only. Targets rewrite their rows as heartbeats.
 *
 * @param known - a change
 * @param change - another change of the row
 * @returns true if their content is the same
 */
export const isSameContent = (known: types.StateChange, change: types.StateChange): boolean =>
    JSON.stringify({ ...known, version: 0 }) === JSON.stringify({ ...change, version: 0 });

/**
 * Checks whether a change says that the run of a target, which is ready by another change of another era, is draining. A copy
 * of the store must not take that back.
 *
 * @param change - the change
 * @param other - another change of the row
 * @returns false for other changes, and for those of another run
 */
export const hasBegunDraining = (change: types.StateChange, other: types.StateChange): boolean =>
    change.kind === "target" &&
    other.kind === "target" &&
    change.registration?.state === "draining" &&
    other.registration?.state === "ready" &&
    change.registration.startedAtMs === other.registration.startedAtMs &&
    change.version.era !== other.version.era;

/**
 * Marks the removal of a target as that of a row that may merely have expired.
 *
 * @param change - a change
 * @param lapseMs - how long the target stays in use; 0 if its row has not expired
 * @returns the change, which is the same unless it removes a target
 */
export const toLapse = (change: types.StateChange, lapseMs: number): types.StateChange =>
    change.kind === "target" && change.registration === undefined && lapseMs > 0
        ? { ...change, isLapse: true, lapseMs }
        : change;

/**
 * Creates the removal of a row.
 *
 * @param change - the row's last change
 * @param version - the version of the removal
 * @param lapseMs - how long the target stays in use if the row may merely have expired; 0 if it has not
 * @returns the removal; undefined for a configuration, which is only ever replaced
 */
export const toRemoval = (
    change: types.StateChange,
    version: types.RowVersion,
    lapseMs: number,
): types.StateChange | undefined => {
    switch (change.kind) {
        case "configuration":
            return undefined;
        case "zone":
            return { kind: "zone", version, zone: change.zone, isOut: false };
        case "target":
            return toLapse({ kind: "target", version, id: change.id, registration: undefined }, lapseMs);
    }
};

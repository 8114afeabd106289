/**
 * The state that all entry VMs share: configuration, zones out of service, targets. Changes may arrive from several
 * sources and in any order; the version of a row decides which one is newer.
 */
import * as events from "../events.js";
import * as shared from "../Types.js";
import * as types from "./Types.js";

/**
 * How long a target stays in use after its row expired. The platform guarantees that a running target registers again
 * within 2 s after the store recovers; the rest is the time until the row is read.
 */
const expiryGraceMs = 2_500;

export interface SharedState {
    getConfiguration(): types.RouteConfiguration | undefined;
    isZoneOut(zone: shared.ZoneName): boolean;
    listTargets(): Iterable<types.Registration>;
    /** Number of changes that were ignored, as what they change is known in a newer version. */
    countIgnoredChanges(): number;
    /** Snapshots of all tables, for a peer that joins. */
    listSnapshots(): readonly types.StateSnapshot[];
    /**
     * Applies the changes that are newer than the known rows.
     *
     * @param changes - in any order
     * @returns the changes that had an effect
     */
    applyChanges(changes: readonly types.StateChange[]): readonly types.StateChange[];
    /**
     * Applies changes of a table that the sender has forwarded without a gap since its snapshot.
     *
     * @param update - the changes
     * @returns the changes that had an effect
     */
    applyUpdate(update: types.StateUpdate): readonly types.StateChange[];
    /**
     * Applies a whole table and removes the rows that it does not contain.
     *
     * @param snapshot - the table
     * @param isStoreUnstable - whether missing target rows may merely have expired while the store was failing
     * @returns the changes that had an effect
     */
    applySnapshot(snapshot: types.StateSnapshot, isStoreUnstable: boolean): readonly types.StateChange[];
    readonly onDidChangeConfiguration: shared.Event<types.RouteConfiguration>;
    /** Fires when a target was added, changed or removed, or a zone was taken out of service or put back. */
    readonly onDidChangeTargets: shared.Event<void>;
}

const toRowKey = (change: types.StateChange): string => {
    switch (change.kind) {
        case "configuration":
            return "configuration";
        case "zone":
            return `zone/${change.zone}`;
        case "target":
            return `target/${change.id}`;
    }
};

const isRemoval = (change: types.StateChange): boolean => {
    switch (change.kind) {
        case "configuration":
            return change.configuration === undefined;
        case "zone":
            return !change.isOut;
        case "target":
            return change.registration === undefined;
    }
};

const getTable = (change: types.StateChange): types.StateTable => (change.kind === "target" ? "targets" : "operators");

/** Targets rewrite their rows as heartbeats; then only the version differs. */
const isSameContent = (known: types.StateChange, change: types.StateChange): boolean =>
    JSON.stringify({ ...known, version: 0 }) === JSON.stringify({ ...change, version: 0 });

const toRemoval = (
    change: types.StateChange,
    version: types.RowVersion,
    isExpired: boolean,
): types.StateChange | undefined => {
    switch (change.kind) {
        case "configuration":
            // A configuration is never removed, only replaced.
            return undefined;
        case "zone":
            return { kind: "zone", version, zone: change.zone, isOut: false };
        case "target":
            return { kind: "target", version, id: change.id, registration: undefined, isLapse: isExpired };
    }
};

/**
 * Creates an empty state.
 *
 * @param options - clock, timers and the logger for changes
 * @returns the state
 */
export const createSharedState = (options: {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
}): SharedState => {
    const { scheduler, logger } = options;
    const rows = new Map<string, types.StateChange>();
    /** Targets in use: registered, or with a row that expired a short time ago. */
    const targets = new Map<shared.TargetId, types.Registration>();
    /** Versions up to which this VM knows all changes of a table. */
    const completeVersions: Record<types.StateTable, types.RowVersion> = { operators: 0, targets: 0 };
    const expiryTimers = new Map<shared.TargetId, shared.Disposable>();
    const configurationEmitter = events.createEmitter<types.RouteConfiguration>();
    const targetsEmitter = events.createEmitter<void>();
    let configuration: types.RouteConfiguration | undefined;
    let ignoredChanges = 0;

    const setTarget = (change: types.StateChange & { kind: "target" }): void => {
        expiryTimers.get(change.id)?.dispose();
        expiryTimers.delete(change.id);
        if (change.registration !== undefined) {
            targets.set(change.id, change.registration);
        } else if (change.isLapse === true && targets.has(change.id)) {
            const expire = (): void => {
                logger.info("state: target removed, its expired row was not renewed", { target: change.id });
                expiryTimers.delete(change.id);
                targets.delete(change.id);
                targetsEmitter.fire();
            };
            expiryTimers.set(change.id, scheduler.schedule(expiryGraceMs, expire));
        } else {
            targets.delete(change.id);
        }
    };

    /** Returns whether a change is newer and has an effect; for unchanged content it only records the newer version. */
    const admitChange = (change: types.StateChange): boolean => {
        const known = rows.get(toRowKey(change));
        // A row that is not known although its table is complete has been removed since.
        const knownVersion = known?.version ?? completeVersions[getTable(change)];
        if (knownVersion >= change.version) {
            if (known === undefined || !isSameContent(known, change)) {
                ignoredChanges++;
                logger.info("state: change ignored as old", {
                    row: toRowKey(change),
                    version: change.version,
                    knownVersion,
                });
            }
            return false;
        }
        if (known !== undefined && isSameContent(known, change)) {
            // Records the newer version, so that changes written in between are ignored if they arrive later.
            rows.set(toRowKey(change), change);
            return false;
        }
        if (change.kind !== "configuration") {
            return true;
        }
        return change.configuration !== undefined && change.configuration.version > (configuration?.version ?? -1);
    };

    const logChange = (change: types.StateChange): void => {
        const { version } = change;
        switch (change.kind) {
            case "configuration":
                break;
            case "zone":
                logger.info(change.isOut ? "state: zone out of service" : "state: zone back in service", {
                    zone: change.zone,
                    version,
                });
                break;
            case "target":
                logTargetChange(change);
                break;
        }
    };

    const logTargetChange = (change: types.StateChange & { kind: "target" }): void => {
        const { id, version, registration } = change;
        const known = targets.get(id);
        if (registration === undefined) {
            if (known !== undefined) {
                logger.info(change.isLapse === true ? "state: target row expired" : "state: target removed", {
                    target: id,
                    version,
                });
            }
            return;
        }
        const { service, zone, address, startedAtMs } = registration;
        const isCold = registration.coldLeftMs > 0;
        const isUnchanged =
            known?.state === registration.state && known.startedAtMs === startedAtMs && known.coldLeftMs > 0 === isCold;
        if (!isUnchanged) {
            const fields = { target: id, version, service, zone, address, startedAtMs };
            logger.info(`state: target ${registration.state}`, { ...fields, cold: isCold });
        }
    };

    const applyChange = (change: types.StateChange): void => {
        logChange(change);
        rows.set(toRowKey(change), change);
        if (change.kind === "configuration" && change.configuration !== undefined) {
            configuration = change.configuration;
            configurationEmitter.fire(configuration);
        } else if (change.kind === "target") {
            setTarget(change);
        }
    };

    const applyChanges = (changes: readonly types.StateChange[]): readonly types.StateChange[] => {
        const applied: types.StateChange[] = [];
        for (const change of changes) {
            if (admitChange(change)) {
                applyChange(change);
                applied.push(change);
            }
        }
        if (applied.some(change => change.kind !== "configuration")) {
            targetsEmitter.fire();
        }
        return applied;
    };

    const listRemovals = (snapshot: types.StateSnapshot, isStoreUnstable: boolean): types.StateChange[] => {
        const present = new Set(snapshot.changes.map(toRowKey));
        const removals: types.StateChange[] = [];
        for (const [key, row] of rows) {
            const isUnaffected = present.has(key) || isRemoval(row) || getTable(row) !== snapshot.table;
            const removal = isUnaffected ? undefined : toRemoval(row, snapshot.version, isStoreUnstable);
            if (removal !== undefined) {
                removals.push(removal);
            }
        }
        return removals;
    };

    /** Later changes may be known, too, but others before them may not. */
    const toSnapshot = (table: types.StateTable): types.StateSnapshot => ({
        table,
        version: completeVersions[table],
        changes: [...rows.values()].filter(change => getTable(change) === table && !isRemoval(change)),
    });

    const applyUpdate = ({ table, version, changes }: types.StateUpdate): readonly types.StateChange[] => {
        const applied = applyChanges(changes);
        completeVersions[table] = Math.max(completeVersions[table], version);
        return applied;
    };

    return {
        getConfiguration: () => configuration,
        isZoneOut: zone => {
            const change = rows.get(`zone/${zone}`);
            return change !== undefined && !isRemoval(change);
        },
        listTargets: () => targets.values(),
        listSnapshots: () => [toSnapshot("operators"), toSnapshot("targets")],
        countIgnoredChanges: () => ignoredChanges,
        applyChanges,
        applyUpdate,
        applySnapshot: (snapshot, isStoreUnstable) =>
            applyUpdate({
                ...snapshot,
                changes: [...snapshot.changes, ...listRemovals(snapshot, isStoreUnstable)],
            }),
        onDidChangeConfiguration: configurationEmitter.event,
        onDidChangeTargets: targetsEmitter.event,
    };
};

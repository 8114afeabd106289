/**
 * The state that all entry VMs share: configuration, zones out of service, targets. Changes may arrive from several
 * sources and in any order; the version of a row decides which one is newer. When the store has returned from a copy, what
 * it had confirmed before stays in force until it is written again.
 */
import * as events from "../events.js";
import * as shared from "../Types.js";
import * as rowVersion from "./rowVersion.js";
import * as storeOutage from "./storeOutage.js";
import * as stateChanges from "./stateChanges.js";
import * as types from "./Types.js";

/**
 * How long a row of a copy that takes back a confirmed removal or evacuation is ignored, unless it is written again. Rows of
 * targets that have left expire in this time, after three heartbeats of 1.5 s.
 */
const restoreGraceMs = 6_000;

export interface SharedState {
    getConfiguration(): types.RouteConfiguration | undefined;
    isZoneOut(zone: shared.ZoneName): boolean;
    listTargets(): Iterable<types.Registration>;
    /** Number of changes that were ignored, as what they change is known in a newer version. */
    countIgnoredChanges(): number;
    /** Rises with each change of the snapshots; undefined while they change with time. */
    getRevision(): number | undefined;
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
     * @param lapseMs - how long targets whose rows are missing stay in use, as these may merely have expired; 0 if not
     * @returns the changes that had an effect
     */
    applySnapshot(snapshot: types.StateSnapshot, lapseMs?: number): readonly types.StateChange[];
    /** The store's era by which a table is known; 0 before the first. */
    getEra(table: types.StateTable): number;
    /** Fires when rows of a copy that were ignored at first have come into force. */
    readonly onDidSettle: shared.Event<types.StateUpdate>;
    readonly onDidChangeConfiguration: shared.Event<types.RouteConfiguration>;
    /** Fires when a target was added, changed or removed, or a zone was taken out of service or put back. */
    readonly onDidChangeTargets: shared.Event<void>;
}

/** The end of the use of a target whose row has expired. */
interface PendingExpiry {
    readonly timer: shared.Disposable;
    readonly endsAtMs: number;
}

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
    const completeVersions: Record<types.StateTable, types.RowVersion> = {
        operators: rowVersion.noVersion,
        targets: rowVersion.noVersion,
    };
    /** Rows of a copy that take back what was confirmed. */
    const heldChanges: Record<types.StateTable, readonly types.StateChange[]> = { operators: [], targets: [] };
    const settleTimers = new Map<types.StateTable, shared.Disposable>();
    const settleEmitter = events.createEmitter<types.StateUpdate>();
    const pendingExpiries = new Map<shared.TargetId, PendingExpiry>();
    const configurationEmitter = events.createEmitter<types.RouteConfiguration>();
    const targetsEmitter = events.createEmitter<void>();
    let configuration: types.RouteConfiguration | undefined;
    let ignoredChanges = 0;
    let revision = 0;

    const setTarget = (change: types.StateChange & { kind: "target" }): void => {
        pendingExpiries.get(change.id)?.timer.dispose();
        pendingExpiries.delete(change.id);
        if (change.registration !== undefined) {
            targets.set(change.id, change.registration);
        } else if (change.isLapse === true && targets.has(change.id)) {
            const expire = (): void => {
                logger.info("state: target removed, its expired row was not renewed", { target: change.id });
                pendingExpiries.delete(change.id);
                targets.delete(change.id);
                targetsEmitter.fire();
            };
            // A peer's clock is not compared, and no message may keep a target in use for longer.
            const lapseMs = Math.min(change.lapseMs ?? storeOutage.expiryGraceMs, storeOutage.expiryGraceMs);
            const timer = scheduler.schedule(lapseMs, expire);
            pendingExpiries.set(change.id, { timer, endsAtMs: scheduler.now() + lapseMs });
        } else {
            targets.delete(change.id);
        }
    };

    const recordIgnored = (change: types.StateChange, knownVersion: types.RowVersion): void => {
        ignoredChanges++;
        logger.info("state: change ignored as old", {
            row: stateChanges.toRowKey(change),
            version: rowVersion.formatVersion(change.version),
            knownVersion: rowVersion.formatVersion(knownVersion),
        });
    };

    /** The operator numbers the configurations, so that their numbers hold also if the store has returned from a copy. */
    const admitConfiguration = (
        change: types.StateChange & { kind: "configuration" },
        knownVersion: types.RowVersion,
    ): boolean => {
        const comparison = rowVersion.compareVersions(change.version, knownVersion);
        const number = change.configuration?.version ?? -1;
        const knownNumber = configuration?.version ?? -1;
        // A hub of an earlier version knows no organisations and sends the same row without them.
        const isMoreComplete =
            comparison === 0 &&
            change.configuration?.organisations !== undefined &&
            configuration?.organisations === undefined;
        return number > knownNumber || (number === knownNumber && (comparison > 0 || isMoreComplete));
    };

    const admitRow = (change: types.StateChange, known: types.StateChange | undefined, isNewRow: boolean): boolean => {
        if (known !== undefined && stateChanges.hasBegunDraining(change, known)) {
            return true;
        }
        return isNewRow && (known === undefined || !stateChanges.hasBegunDraining(known, change));
    };

    /** Returns whether a change is newer and has an effect; for unchanged content it only records the newer version. */
    const admitChange = (change: types.StateChange): boolean => {
        const known = rows.get(stateChanges.toRowKey(change));
        // A row that is not known although its table is complete has been removed since.
        const knownVersion = known?.version ?? completeVersions[stateChanges.getTable(change)];
        const isNewRow = rowVersion.isNewer(change.version, knownVersion);
        if (known !== undefined && stateChanges.isSameContent(known, change)) {
            // Records the newer version, so that changes written in between are ignored if they arrive later.
            rows.set(stateChanges.toRowKey(change), isNewRow ? change : known);
            return false;
        }
        const isAdmitted =
            change.kind === "configuration"
                ? admitConfiguration(change, knownVersion)
                : admitRow(change, known, isNewRow);
        if (!isAdmitted) {
            recordIgnored(change, knownVersion);
        }
        return isAdmitted;
    };

    const logChange = (change: types.StateChange): void => {
        const version = rowVersion.formatVersion(change.version);
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
        const { id, registration } = change;
        const version = rowVersion.formatVersion(change.version);
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
        const key = stateChanges.toRowKey(change);
        const version = rowVersion.pickNewer(change.version, rows.get(key)?.version ?? change.version);
        rows.set(key, { ...change, version });
        if (change.kind === "configuration" && change.configuration !== undefined) {
            configuration = change.configuration;
            configurationEmitter.fire(configuration);
        } else if (change.kind === "target") {
            setTarget(change);
        }
    };

    const applyChanges = (changes: readonly types.StateChange[]): readonly types.StateChange[] => {
        const applied: types.StateChange[] = [];
        revision++;
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

    const listRemovals = (snapshot: types.StateSnapshot, lapseMs: number): types.StateChange[] => {
        const present = new Set(snapshot.changes.map(stateChanges.toRowKey));
        const removals: types.StateChange[] = [];
        for (const [key, row] of rows) {
            const isUnaffected =
                present.has(key) || stateChanges.isRemoval(row) || stateChanges.getTable(row) !== snapshot.table;
            const removal = isUnaffected ? undefined : stateChanges.toRemoval(row, snapshot.version, lapseMs);
            if (removal !== undefined) {
                removals.push(removal);
            }
        }
        return removals;
    };

    /** Whether a change of a copy takes back that a zone is out of service, or that a target has left. */
    const isTakenBack = (change: types.StateChange): boolean => {
        const known = rows.get(stateChanges.toRowKey(change));
        switch (change.kind) {
            case "configuration":
                return false;
            case "zone":
                return known !== undefined && !stateChanges.isRemoval(known) && stateChanges.isRemoval(change);
            case "target":
                return (
                    known?.kind === "target" &&
                    stateChanges.isRemoval(known) &&
                    known.isLapse !== true &&
                    !stateChanges.isRemoval(change)
                );
        }
    };

    const settle = (table: types.StateTable): void => {
        const changes = applyChanges(heldChanges[table]);
        heldChanges[table] = [];
        if (changes.length > 0) {
            settleEmitter.fire({ table, version: completeVersions[table], changes });
        }
    };

    /** Holds back the changes of a copy that take back what was confirmed; returns the others. */
    const holdChanges = (table: types.StateTable, changes: readonly types.StateChange[]): types.StateChange[] => {
        const held = changes.filter(isTakenBack);
        heldChanges[table] = held;
        logger.warn("state: table restored from a copy", { table, rows: changes.length, held: held.length });
        settleTimers.get(table)?.dispose();
        settleTimers.set(
            table,
            scheduler.schedule(restoreGraceMs, () => settle(table)),
        );
        return changes.filter(change => !held.includes(change));
    };

    const applySnapshot = (snapshot: types.StateSnapshot, lapseMs = 0): readonly types.StateChange[] => {
        const { table, version } = snapshot;
        const known = completeVersions[table];
        const isRestored = rowVersion.isNewer(known, rowVersion.noVersion) && version.era > known.era;
        const changes = [
            ...snapshot.changes,
            ...listRemovals(snapshot, isRestored ? storeOutage.expiryGraceMs : lapseMs),
        ];
        return applyUpdate({ ...snapshot, changes: isRestored ? holdChanges(table, changes) : changes });
    };

    /** Later changes may be known, too, but others before them may not. */
    const toSnapshot = (table: types.StateTable): types.StateSnapshot => ({
        table,
        version: completeVersions[table],
        changes: [...rows.values()].flatMap(change =>
            stateChanges.getTable(change) === table ? toSnapshotChange(change) : [],
        ),
    });

    /** Removed rows are left out, except those whose targets are still in use: the receiver may know these targets. */
    const toSnapshotChange = (change: types.StateChange): types.StateChange | [] => {
        const expiry = change.kind === "target" ? pendingExpiries.get(change.id) : undefined;
        if (expiry !== undefined) {
            return stateChanges.toLapse(change, Math.max(1, expiry.endsAtMs - scheduler.now()));
        }
        return stateChanges.isRemoval(change) ? [] : change;
    };

    const applyUpdate = ({ table, version, changes }: types.StateUpdate): readonly types.StateChange[] => {
        const applied = applyChanges(changes);
        // Also counts an update without changes, which has a newer version.
        completeVersions[table] = rowVersion.pickNewer(completeVersions[table], version);
        return applied;
    };

    return {
        getConfiguration: () => configuration,
        isZoneOut: zone => {
            const change = rows.get(`zone/${zone}`);
            return change !== undefined && !stateChanges.isRemoval(change);
        },
        listTargets: () => targets.values(),
        // Rows that have expired are described by the time that is left for their targets.
        getRevision: () => (pendingExpiries.size > 0 ? undefined : revision),
        listSnapshots: () => [toSnapshot("operators"), toSnapshot("targets")],
        countIgnoredChanges: () => ignoredChanges,
        applyChanges,
        applyUpdate,
        applySnapshot,
        getEra: table => completeVersions[table].era,
        onDidSettle: settleEmitter.event,
        onDidChangeConfiguration: configurationEmitter.event,
        onDidChangeTargets: targetsEmitter.event,
    };
};

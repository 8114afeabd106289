/**
 * Table of targets and cells, kept up to date with the configuration and the owners.
 */
import * as blackboard from "../blackboard/Types.js";
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as membership from "../membership/Types.js";
import * as shared from "../Types.js";
import * as cellEntry from "./cellEntry.js";
import * as spillOver from "./spillOver.js";
import * as targetEntry from "./targetEntry.js";

export interface ServiceEntry {
    readonly section: config.ServiceSection;
    readonly cells: readonly cellEntry.CellEntry[];
    /** The cell in the zone of this entry VM. */
    readonly homeCell: cellEntry.CellEntry | undefined;
}

/** Inputs from which the table is derived. */
export interface TableSources {
    readonly configuration: config.Configuration | undefined;
    readonly ownership: membership.Ownership;
    /** VMs of targets that the platform lists as leaving. */
    readonly leavingVms: ReadonlySet<shared.VmId>;
}

export interface CellTable {
    /** Rebuilds the table from new inputs; calls in flight and waiting calls are kept. */
    update(sources: TableSources): void;
    findService(service: shared.ServiceName): ServiceEntry | undefined;
    findTarget(target: shared.TargetId): targetEntry.TargetEntry | undefined;
    /** Lists configured targets, and removed ones that still have calls in flight. */
    listTargets(): Iterable<targetEntry.TargetEntry>;
    /** Lists configured cells, and removed ones that still have waiting calls. */
    listCells(): Iterable<cellEntry.CellEntry>;
    /** Removes a target that is no longer configured, once its last call has ended. */
    removeRetired(entry: targetEntry.TargetEntry): void;
    /** Checks whether this record belongs to a target in the configuration. */
    isConfigured(entry: targetEntry.TargetEntry): boolean;
    getDelayMs: spillOver.GetDelay;
}

const isInService = (target: config.TargetConfig, topology: config.TopologySection): boolean => {
    const zone = topology.zones.find(candidate => candidate.name === target.zone);
    return !target.out && zone?.out !== true && !topology.vmsOut.includes(target.vm);
};

/**
 * Creates an empty table.
 *
 * @param self - this entry VM
 * @param lowersSlowLimit - whether the limit of a slow target is lowered
 * @returns the table
 */
export const createCellTable = (self: blackboard.LocalVm, lowersSlowLimit: boolean): CellTable => {
    const entries = new Map<shared.TargetId, targetEntry.TargetEntry>();
    const cells = new Map<shared.CellId, cellEntry.CellEntry>();
    const configured = new Set<targetEntry.TargetEntry>();
    let services: ReadonlyMap<shared.ServiceName, ServiceEntry> = new Map();
    let getDelayMs: spillOver.GetDelay = () => 0;

    const isSelf = (member: membership.Member | undefined): boolean =>
        member?.info.incarnation === self.incarnation && member.info.vm === self.vm;

    const updateEntry = (target: config.TargetConfig, service: shared.ServiceName): targetEntry.TargetEntry => {
        const known = entries.get(target.id);
        const isSameServer = known?.config.address === target.address && known.service === service;
        const entry = known !== undefined && isSameServer ? known : targetEntry.createTargetEntry(target, service);
        entry.config = target;
        if (known !== undefined && !isSameServer) {
            // Calls in flight at the previous address still count against the slots of this target id.
            targetEntry.mergeCalls(known, entry);
        }
        entries.set(target.id, entry);
        configured.add(entry);
        return entry;
    };

    const updateCell = (
        id: shared.CellId,
        section: config.ServiceSection,
        targets: readonly targetEntry.TargetEntry[],
        ownership: membership.Ownership,
    ): cellEntry.CellEntry => {
        const zone = targets[0]?.config.zone ?? self.zone;
        const cell = cells.get(id) ?? cellEntry.createCellEntry(id, section.service, zone, lowersSlowLimit);
        cells.set(id, cell);
        cell.targets = targets;
        cell.ownedTargets = targets.filter(entry => entry.owned);
        cell.otherOwners = ownership.listCellOwners(id).filter(member => !isSelf(member));
        cell.queueLimit = section.queueLimit;
        return cell;
    };

    const updateService = (
        section: config.ServiceSection,
        topology: config.TopologySection,
        sources: TableSources,
    ): ServiceEntry => {
        const { ownership, leavingVms } = sources;
        const byCell = new Map<shared.CellId, targetEntry.TargetEntry[]>();
        for (const target of section.targets) {
            const entry = updateEntry(target, section.service);
            const mayReceive = isInService(target, topology) && !leavingVms.has(target.vm);
            entry.owned = mayReceive && isSelf(ownership.findTargetOwner(target.id));
            if (mayReceive) {
                const id = ids.toCellId(section.service, target.zone);
                byCell.set(id, [...(byCell.get(id) ?? []), entry]);
            }
        }
        const list = [...byCell].map(([id, targets]) => updateCell(id, section, targets, ownership));
        return { section, cells: list, homeCell: list.find(cell => cell.zone === self.zone) };
    };

    const removeRetired = (entry: targetEntry.TargetEntry): void => {
        if (!configured.has(entry) && entry.inFlight === 0 && entries.get(entry.config.id) === entry) {
            entries.delete(entry.config.id);
        }
    };

    const removeUnusedCells = (): void => {
        for (const [id, cell] of cells) {
            cell.targets = [];
            cell.ownedTargets = [];
            cell.otherOwners = [];
            if (cell.queue.count() === 0 && !isCellInUse(cell)) {
                cells.delete(id);
            }
        }
    };

    const isCellInUse = (cell: cellEntry.CellEntry): boolean =>
        services.get(cell.service)?.cells.includes(cell) === true;

    return {
        update: sources => {
            const configuration = sources.configuration;
            configured.clear();
            removeUnusedCells();
            const next = new Map<shared.ServiceName, ServiceEntry>();
            if (configuration !== undefined) {
                getDelayMs = spillOver.createGetDelay(configuration.topology);
                for (const section of configuration.services.values()) {
                    next.set(section.service, updateService(section, configuration.topology, sources));
                }
            }
            services = next;
            for (const entry of [...entries.values()]) {
                if (!configured.has(entry)) {
                    entry.owned = false;
                    removeRetired(entry);
                }
            }
        },
        findService: service => services.get(service),
        findTarget: target => entries.get(target),
        listTargets: () => entries.values(),
        listCells: () => cells.values(),
        removeRetired,
        isConfigured: entry => configured.has(entry),
        getDelayMs: (from, to) => getDelayMs(from, to),
    };
};

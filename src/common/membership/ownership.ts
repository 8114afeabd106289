/**
 * Computes the owners of cells and targets.
 */
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as rendezvous from "./rendezvous.js";
import * as types from "./Types.js";

interface IndexedTarget {
    readonly cell: shared.CellId;
    readonly target: config.TargetConfig;
}

interface IndexedCell {
    readonly service: config.ServiceSection;
    readonly zone: shared.ZoneName;
}

/** Data derived from a configuration alone, independent of the members. */
interface ConfigurationIndex {
    /** Cells with at least one target that may receive calls. */
    readonly cells: ReadonlyMap<shared.CellId, IndexedCell>;
    /** Targets that may receive calls. */
    readonly targets: ReadonlyMap<shared.TargetId, IndexedTarget>;
    readonly zonesOut: ReadonlySet<shared.ZoneName>;
    readonly vmsOut: ReadonlySet<shared.VmId>;
}

const indexes = new WeakMap<config.Configuration, ConfigurationIndex>();

const createIndex = (configuration: config.Configuration): ConfigurationIndex => {
    const zonesOut = new Set(configuration.topology.zones.filter(zone => zone.out).map(zone => zone.name));
    const vmsOut = new Set(configuration.topology.vmsOut);
    const cells = new Map<shared.CellId, IndexedCell>();
    const targets = new Map<shared.TargetId, IndexedTarget>();
    for (const service of configuration.services.values()) {
        for (const target of service.targets) {
            if (target.out || zonesOut.has(target.zone) || vmsOut.has(target.vm)) {
                continue;
            }
            const cell = ids.toCellId(service.service, target.zone);
            cells.set(cell, { service, zone: target.zone });
            targets.set(target.id, { cell, target });
        }
    }
    return { cells, targets, zonesOut, vmsOut };
};

const getIndex = (configuration: config.Configuration): ConfigurationIndex => {
    const known = indexes.get(configuration);
    if (known !== undefined) {
        return known;
    }
    const index = createIndex(configuration);
    indexes.set(configuration, index);
    return index;
};

const getVm = (member: types.Member): string => member.info.vm;

const noOwners: types.Ownership = { listCellOwners: () => [], findTargetOwner: () => undefined };

/**
 * Derives the owners from the members and the configuration. Equal inputs yield equal owners on every entry VM.
 *
 * @param members - live members
 * @param configuration - the configuration in use; without one nothing is owned
 * @returns the owners, each computed on first access
 */
export const computeOwnership = (
    members: ReadonlyMap<shared.VmId, types.Member>,
    configuration: config.Configuration | undefined,
): types.Ownership => {
    if (configuration === undefined) {
        return noOwners;
    }
    const index = getIndex(configuration);
    const inService = [...members.values()].filter(
        ({ info }) => !index.zonesOut.has(info.zone) && !index.vmsOut.has(info.vm),
    );
    const serving = inService.filter(({ info }) => info.state === "serving");
    // When the last serving VM leaves, it still handles calls in progress and those that arrive until it has stopped.
    const eligible = serving.length > 0 ? serving : inService.filter(({ info }) => info.state === "leaving");
    const ownersByCell = new Map<shared.CellId, readonly types.Member[]>();
    const ownerByTarget = new Map<shared.TargetId, types.Member | undefined>();

    const computeOwners = (cell: shared.CellId): readonly types.Member[] => {
        const indexed = index.cells.get(cell);
        if (indexed === undefined) {
            return [];
        }
        const inZone = eligible.filter(member => member.info.zone === indexed.zone);
        const candidates = inZone.length > 0 ? inZone : eligible;
        return rendezvous.listTopCandidates(cell, candidates, getVm, indexed.service.ownersPerZone);
    };

    const listCellOwners = (cell: shared.CellId): readonly types.Member[] => {
        const known = ownersByCell.get(cell);
        if (known !== undefined) {
            return known;
        }
        const owners = computeOwners(cell);
        ownersByCell.set(cell, owners);
        return owners;
    };

    const findTargetOwner = (target: shared.TargetId): types.Member | undefined => {
        if (ownerByTarget.has(target)) {
            return ownerByTarget.get(target);
        }
        const indexed = index.targets.get(target);
        const owners = indexed === undefined ? [] : listCellOwners(indexed.cell);
        const owner = rendezvous.listTopCandidates(target, owners, getVm, 1)[0];
        ownerByTarget.set(target, owner);
        return owner;
    };

    return { listCellOwners, findTargetOwner };
};

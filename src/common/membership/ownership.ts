/**
 * Owners of cells and targets.
 */
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as rendezvous from "./rendezvous.js";
import * as types from "./Types.js";

interface TargetPlace {
    readonly cell: shared.CellId;
    readonly target: config.TargetConfig;
}

interface CellPlace {
    readonly service: config.ServiceSection;
    readonly zone: shared.ZoneName;
}

/** What a configuration says on its own, without the members. */
interface ConfigurationIndex {
    /** Cells with at least one target that may receive work. */
    readonly cells: ReadonlyMap<shared.CellId, CellPlace>;
    /** Targets that may receive work. */
    readonly targets: ReadonlyMap<shared.TargetId, TargetPlace>;
    readonly zonesOut: ReadonlySet<shared.ZoneName>;
    readonly vmsOut: ReadonlySet<shared.VmId>;
}

const indexes = new WeakMap<config.Configuration, ConfigurationIndex>();

const createIndex = (configuration: config.Configuration): ConfigurationIndex => {
    const zonesOut = new Set(configuration.topology.zones.filter(zone => zone.out).map(zone => zone.name));
    const vmsOut = new Set(configuration.topology.vmsOut);
    const cells = new Map<shared.CellId, CellPlace>();
    const targets = new Map<shared.TargetId, TargetPlace>();
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

const noOwners: types.Ownership = { ownersOfCell: () => [], ownerOfTarget: () => undefined };

/**
 * Derives the owners from the members and the configuration. Equal inputs give equal owners on every entry VM.
 *
 * @param members - live members
 * @param configuration - the configuration in use; without one nothing is owned
 * @returns the owners, each computed when it is first asked for
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
    // When the last serving VM leaves, it still serves the calls that it holds and those that arrive until it is gone.
    const eligible = serving.length > 0 ? serving : inService.filter(({ info }) => info.state === "leaving");
    const ownersByCell = new Map<shared.CellId, readonly types.Member[]>();
    const ownerByTarget = new Map<shared.TargetId, types.Member | undefined>();

    const computeOwners = (cell: shared.CellId): readonly types.Member[] => {
        const place = index.cells.get(cell);
        if (place === undefined) {
            return [];
        }
        const inZone = eligible.filter(member => member.info.zone === place.zone);
        const candidates = inZone.length > 0 ? inZone : eligible;
        return rendezvous.listWinners(cell, candidates, getVm, place.service.ownersPerZone);
    };

    const ownersOfCell = (cell: shared.CellId): readonly types.Member[] => {
        const known = ownersByCell.get(cell);
        if (known !== undefined) {
            return known;
        }
        const owners = computeOwners(cell);
        ownersByCell.set(cell, owners);
        return owners;
    };

    const ownerOfTarget = (target: shared.TargetId): types.Member | undefined => {
        if (ownerByTarget.has(target)) {
            return ownerByTarget.get(target);
        }
        const place = index.targets.get(target);
        const owners = place === undefined ? [] : ownersOfCell(place.cell);
        const owner = rendezvous.listWinners(target, owners, getVm, 1)[0];
        ownerByTarget.set(target, owner);
        return owner;
    };

    return { ownersOfCell, ownerOfTarget };
};

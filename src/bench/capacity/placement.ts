/**
 * Measures how evenly rendezvous hashing distributes cells and targets over the entry VMs.
 */
import * as config from "../../common/config/Types.js";
import * as configuration from "../../common/config/configuration.js";
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as ownership from "../../common/membership/ownership.js";
import * as sectionFixture from "./sectionFixture.js";
import * as slopes from "./slopes.js";
import * as types from "./Types.js";

const clusterSizes = [18, 50, 100, 150, 200];
const ownerCounts = [1, 2, 4, 8, 16];
/** Sets of VM names; figures are medians over them. */
const nameSetCount = 9;

/**
 * Creates serving members, assigned to the zones in rotation.
 *
 * @param count - number of members
 * @param zones - names of the zones
 * @param nameSet - number of the name set
 * @returns members by VM
 */
export const createMembers = (
    count: number,
    zones: readonly string[],
    nameSet: number,
): ReadonlyMap<ReturnType<typeof ids.toVmId>, membership.Member> => {
    const list = Array.from({ length: count }, (_, index): membership.Member => {
        const vm = ids.toVmId(`entry-${nameSet}-${index}`);
        return {
            info: {
                vm,
                incarnation: ids.toIncarnationId(`${vm}-abcdefghijklmnop`),
                zone: ids.toZoneName(zones[index % zones.length] ?? ""),
                address: ids.toAddress(`10.0.${index >> 8}.${index & 255}:8000`),
                control: ids.toAddress(`10.0.${index >> 8}.${index & 255}:8001`),
                state: "serving",
                revision: ids.toRevision(1),
                synced: true,
                epoch: 0,
            },
            seenAtMs: 0,
        };
    });
    return new Map(list.map(member => [member.info.vm, member]));
};

/**
 * Assembles a configuration of the given size.
 *
 * @param size - the size
 * @param ownersPerZone - number of owners of each cell
 * @returns the configuration
 */
export const createConfiguration = (size: types.ConfigurationSize, ownersPerZone: number): config.Configuration => {
    const sections = sectionFixture
        .createSections(size)
        .map(section => (section.kind === "service" ? { ...section, ownersPerZone } : section));
    const { head, texts } = sectionFixture.createHead(sections, 1);
    const assembled = configuration.assembleConfiguration(head, texts);
    if (assembled.kind === "invalid") {
        throw new Error(JSON.stringify(assembled.faults));
    }
    return assembled.configuration;
};

/**
 * Computes the ratio of targets owned by the busiest entry VM to the mean, assuming equal load on all targets.
 *
 * @param current - the configuration
 * @param count - number of entry VMs
 * @param nameSet - selects the VM names
 * @returns the ratio, 1 for an even distribution
 */
export const computeImbalance = (current: config.Configuration, count: number, nameSet: number): number => {
    const zones = current.topology.zones.map(zone => zone.name);
    const owners = ownership.computeOwnership(createMembers(count, zones, nameSet), current);
    const owned = new Map<string, number>();
    let targets = 0;
    for (const service of current.services.values()) {
        for (const target of service.targets) {
            const vm = owners.findTargetOwner(target.id)?.info.vm ?? "";
            owned.set(vm, (owned.get(vm) ?? 0) + 1);
            targets++;
        }
    }
    return Math.max(...owned.values()) / (targets / count);
};

const measureOwners = (ownersPerZone: number): readonly types.Figure[] => {
    const current = createConfiguration(sectionFixture.targetSize, ownersPerZone);
    return clusterSizes.map(count => {
        const factors = Array.from({ length: nameSetCount }, (_, nameSet) => computeImbalance(current, count, nameSet));
        const name = `placement: busiest of ${count} entry VMs over the mean, ${ownersPerZone} owners per zone`;
        return { name, unit: "", value: slopes.computeMedian(factors) };
    });
};

/**
 * Computes the imbalance at the target size.
 *
 * @returns a figure for each number of entry VMs and of owners
 */
export const measurePlacement = (): types.Measurement => ({ series: [], figures: ownerCounts.flatMap(measureOwners) });

/**
 * How evenly rendezvous hashing spreads cells and targets over the entry VMs.
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
/** Sets of VM names, of which the median counts. */
const namings = 9;

/**
 * Creates serving members; the zones take turns.
 *
 * @param count - how many
 * @param zones - names of the zones
 * @param naming - part of their names
 * @returns members by VM
 */
export const createMembers = (
    count: number,
    zones: readonly string[],
    naming: number,
): ReadonlyMap<ReturnType<typeof ids.toVmId>, membership.Member> => {
    const list = Array.from({ length: count }, (_, index): membership.Member => {
        const vm = ids.toVmId(`entry-${naming}-${index}`);
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
 * Assembles the configuration of a size.
 *
 * @param size - the size
 * @param ownersPerZone - owners of each cell
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
 * Computes the targets of the busiest entry VM over the mean, as if each target got the same calls.
 *
 * @param current - the configuration
 * @param count - number of entry VMs
 * @param naming - selects the names of the VMs
 * @returns the factor, 1 for an even spread
 */
export const computeImbalance = (current: config.Configuration, count: number, naming: number): number => {
    const zones = current.topology.zones.map(zone => zone.name);
    const owners = ownership.computeOwnership(createMembers(count, zones, naming), current);
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
        const factors = Array.from({ length: namings }, (_, naming) => computeImbalance(current, count, naming));
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

/**
 * Creates configurations of a given size, as an operator could publish them.
 */
import * as sections from "../../common/config/sections.js";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as types from "./Types.js";

/** Current size of Fraserbank, and larger sizes up to the target size. */
export const configurationSizes: readonly types.ConfigurationSize[] = [
    { targets: 26, services: 3, zones: 6 },
    { targets: 115, services: 5, zones: 6 },
    { targets: 460, services: 17, zones: 6 },
    { targets: 920, services: 35, zones: 6 },
];

export const targetSize: types.ConfigurationSize = { targets: 920, services: 35, zones: 6 };

const linkDelayMs = 5;

/**
 * Lists the zones of a configuration size.
 *
 * @param size - the size
 * @returns the zone names
 */
export const listZones = (size: types.ConfigurationSize): string[] =>
    Array.from({ length: size.zones }, (_, index) => `zone-${index + 1}`);

const createTarget = (
    service: string,
    zones: readonly string[],
    index: number,
    address: string,
): config.TargetConfig => ({
    id: ids.toTargetId(`${service}-${index + 1}`),
    address: ids.toAddress(address),
    zone: ids.toZoneName(zones[index % zones.length] ?? ""),
    vm: ids.toVmId(`vm-${service}-${index + 1}`),
    slots: 4,
    coldSlots: 1,
    out: false,
});

const createTopology = (zones: readonly string[]): config.TopologySection => ({
    kind: "topology",
    zones: zones.map((name, index) => ({
        name: ids.toZoneName(name),
        region: ids.toRegionName(index * 2 < zones.length ? "region-1" : "region-2"),
        out: false,
    })),
    links: zones.flatMap((from, index) =>
        zones
            .slice(index + 1)
            .map(to => ({ from: ids.toZoneName(from), to: ids.toZoneName(to), delayMs: linkDelayMs })),
    ),
    vmsOut: [],
});

/**
 * Creates the sections of a configuration.
 *
 * @param size - numbers of targets, services and zones
 * @param addresses - an address for each target; generated if undefined
 * @returns the sections
 */
export const createSections = (size: types.ConfigurationSize, addresses?: readonly string[]): config.Section[] => {
    const zones = listZones(size);
    const services = Array.from({ length: size.services }, (_, position): config.ServiceSection => {
        const service = `service-${position + 1}`;
        const first = Math.floor((position * size.targets) / size.services);
        const end = Math.floor(((position + 1) * size.targets) / size.services);
        const toAddress = (index: number): string =>
            addresses?.[first + index] ?? `10.1.${(first + index) >> 8}.${(first + index) & 255}:9000`;
        return {
            kind: "service",
            service: ids.toServiceName(service),
            deadlineMs: 5000,
            connections: 200,
            queueLimit: 1000,
            maxBodyBytes: 1_000_000,
            ownersPerZone: 1,
            idempotent: [{ method: "PUT", path: "/items/*" }],
            nonIdempotent: [{ method: "GET", path: "/items/*/confirm" }],
            targets: Array.from({ length: end - first }, (_unused, index) =>
                createTarget(service, zones, index, toAddress(index)),
            ),
        };
    });
    return [...services, createTopology(zones)];
};

export interface StoredConfiguration {
    readonly head: config.ConfigHead;
    readonly texts: ReadonlyMap<ReturnType<typeof ids.toDigest>, string>;
}

/**
 * Creates the configuration head for sections.
 *
 * @param list - the sections
 * @param revision - number of the revision
 * @returns the head and the section texts by digest
 */
export const createHead = (list: readonly config.Section[], revision: number): StoredConfiguration => {
    const namedTexts = list.map(section => {
        const text = sections.formatSection(section);
        return { name: sections.toSectionName(section), text, digest: sections.computeSectionDigest(text) };
    });
    return {
        head: {
            revision: ids.toRevision(revision),
            sections: Object.fromEntries(namedTexts.map(({ name, digest }) => [name, digest])),
            author: "operator",
            token: "00000000-0000-4000-8000-000000000000",
        },
        texts: new Map(namedTexts.map(({ digest, text }) => [digest, text])),
    };
};

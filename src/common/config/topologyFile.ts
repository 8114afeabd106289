/**
 * The file `topology.yaml`: zones with their regions, and link delays. Which zones and VMs are out of service is not in
 * it, so that publishing an old file cannot return a zone to service.
 */
import * as zod from "zod";
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as checks from "./checks.js";
import * as config from "./Types.js";
import * as faults from "./faults.js";
import * as fields from "./fields.js";
import * as fieldParser from "./parseFields.js";

/** The measured figure of the Fraserbank deployment. */
const defaultZoneDelayMs = 5;
/** No deployment has two regions yet; this is an assumption. */
const defaultRegionDelayMs = 40;

const topologyShape = {
    zones: zod
        .record(zod.string(), zod.unknown())
        .refine(zones => Object.keys(zones).length > 0, "must name at least one zone"),
    zoneDelayMs: fields.delayMs.default(defaultZoneDelayMs),
    regionDelayMs: fields.delayMs.default(defaultRegionDelayMs),
    links: zod.array(zod.unknown()).default([]),
};

const linkShape = { from: fields.zoneName, to: fields.zoneName, delayMs: fields.delayMs };

export interface ZoneLayout {
    readonly name: types.ZoneName;
    readonly region: types.RegionName;
}

/** A topology without the zones and VMs that are out of service. */
export interface TopologyLayout {
    readonly zones: readonly ZoneLayout[];
    /** One link for each pair of zones. */
    readonly links: readonly config.LinkConfig[];
}

/** What could be read of the topology's file. */
export interface TopologyFile extends checks.CheckableTopology {
    /** Undefined if the file has faults. */
    readonly layout: TopologyLayout | undefined;
    readonly faults: readonly config.Fault[];
}

type ZoneFields = Partial<ZoneLayout>;

const parseZones = (zones: Readonly<Record<string, unknown>>, label: string) => {
    const found: config.Fault[] = [];
    const parsed = Object.entries(zones).map(([key, value]): ZoneFields => {
        const name = faults.parseValue(fields.zoneName, key, label, ["zones", key]);
        const region = faults.parseValue(fields.regionName, value, label, ["zones", key]);
        found.push(...name.faults.map(fault => ({ ...fault, message: `the name of a zone ${fault.message}` })));
        found.push(...region.faults.map(fault => ({ ...fault, message: `the region ${fault.message}` })));
        // A zone with a faulty region still exists for the checks of links and targets.
        return {
            name: name.value ?? ids.toZoneName(key),
            ...(region.value === undefined ? {} : { region: region.value }),
        };
    });
    return { zones: parsed, faults: found };
};

const parseLinks = (links: readonly unknown[], label: string) => {
    const parsed = links.map((link, index) => fieldParser.parseFields(linkShape, link, label, ["links", index]));
    return { links: parsed.map(link => link.fields), faults: parsed.flatMap(link => link.faults) };
};

const toPairKey = (left: types.ZoneName, right: types.ZoneName): string => [left, right].sort().join(" ");

const createLinks = (
    zones: readonly ZoneLayout[],
    given: readonly config.LinkConfig[],
    zoneDelayMs: number,
    regionDelayMs: number,
): config.LinkConfig[] => {
    const delays = new Map(given.map(link => [toPairKey(link.from, link.to), link.delayMs]));
    return zones.flatMap((from, index) =>
        zones.slice(index + 1).map(to => {
            const defaultMs = from.region === to.region ? zoneDelayMs : regionDelayMs;
            return { from: from.name, to: to.name, delayMs: delays.get(toPairKey(from.name, to.name)) ?? defaultMs };
        }),
    );
};

/**
 * Parses the file of the topology. Links to unknown zones are found by the checks across sections.
 *
 * @param value - the content of the file
 * @param label - path of the file, for faults
 * @returns the layout or all faults, with the valid zones and links for checks across files
 */
export const parseTopologyFile = (value: unknown, label: string): TopologyFile => {
    const { fields: given, faults: found } = fieldParser.parseFields(topologyShape, value, label);
    const zones = parseZones(given.zones ?? {}, label);
    const links = parseLinks(given.links ?? [], label);
    const all = [...found, ...zones.faults, ...links.faults];
    const { zoneDelayMs = defaultZoneDelayMs, regionDelayMs = defaultRegionDelayMs } = given;
    const createLayout = (): TopologyLayout => {
        const complete = zones.zones as readonly ZoneLayout[];
        const explicit = links.links as readonly config.LinkConfig[];
        return { zones: complete, links: createLinks(complete, explicit, zoneDelayMs, regionDelayMs) };
    };
    return {
        label,
        zones: zones.zones,
        links: links.links,
        faults: all,
        layout: all.length === 0 ? createLayout() : undefined,
    };
};

/**
 * Applies a layout to the topology in force. Zones and VMs that are out of service stay so.
 *
 * @param layout - zones, regions and links
 * @param current - the topology in force, if there is one
 * @returns the new topology
 */
export const applyLayout = (
    layout: TopologyLayout,
    current: config.TopologySection | undefined,
): config.TopologySection => {
    const out = new Set(current?.zones.filter(zone => zone.out).map(zone => zone.name));
    return {
        kind: "topology",
        zones: layout.zones.map(zone => ({ ...zone, out: out.has(zone.name) })),
        links: layout.links,
        vmsOut: current?.vmsOut ?? [],
    };
};

/** Name of the file that holds the topology. */
export const topologyFileName = "topology.yaml";

/**
 * Tells whether a file holds the topology.
 *
 * @param path - path of the file
 * @returns true if it is called `topology.yaml`
 */
export const isTopologyFile = (path: string): boolean => path.slice(path.lastIndexOf("/") + 1) === topologyFileName;

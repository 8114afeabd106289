/**
 * Parses `topology.yaml`: zones with their regions, and link delays. The file does not record which zones and VMs are
 * out of service, so that publishing an old file cannot return a zone to service.
 */
import * as zod from "zod";
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as checks from "./checks.js";
import * as config from "./Types.js";
import * as faults from "./faults.js";
import * as fields from "./fields.js";
import * as fieldParser from "./parseFields.js";

/** The delay between zones in the Fraserbank deployment. */
const defaultZoneDelayMs = 5;
/** Not taken from a deployment: no existing one spans two regions. */
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

/** A topology without the information which zones and VMs are out of service. */
export interface TopologyLayout {
    readonly zones: readonly ZoneLayout[];
    /** One link per pair of zones. */
    readonly links: readonly config.LinkConfig[];
}

/** The parts of the topology file that could be parsed, and its faults. */
export interface ParsedTopologyFile extends checks.CheckableTopology {
    /** Undefined if there are faults. */
    readonly layout: TopologyLayout | undefined;
    readonly faults: readonly config.Fault[];
}

type ParsedZone = Partial<ZoneLayout>;

const parseZones = (zones: Readonly<Record<string, unknown>>, label: string) => {
    const found: config.Fault[] = [];
    const parsed = Object.entries(zones).map(([key, value]): ParsedZone => {
        const name = faults.parseValue(fields.zoneName, key, label, ["zones", key]);
        const region = faults.parseValue(fields.regionName, value, label, ["zones", key]);
        found.push(...name.faults.map(fault => ({ ...fault, message: `the name of a zone ${fault.message}` })));
        found.push(...region.faults.map(fault => ({ ...fault, message: `the region ${fault.message}` })));
        // Keeps zones with an invalid region, so that links and targets in them aren't reported as well.
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

const toLinkKey = (left: types.ZoneName, right: types.ZoneName): string => [left, right].sort().join(" ");

const createLinks = (
    zones: readonly ZoneLayout[],
    explicitLinks: readonly config.LinkConfig[],
    zoneDelayMs: number,
    regionDelayMs: number,
): config.LinkConfig[] => {
    const delays = new Map(explicitLinks.map(link => [toLinkKey(link.from, link.to), link.delayMs]));
    return zones.flatMap((from, index) =>
        zones.slice(index + 1).map(to => {
            const defaultMs = from.region === to.region ? zoneDelayMs : regionDelayMs;
            return { from: from.name, to: to.name, delayMs: delays.get(toLinkKey(from.name, to.name)) ?? defaultMs };
        }),
    );
};

/**
 * Parses the topology file. Links to unknown zones are reported by the checks across sections.
 *
 * @param value - the parsed YAML of the file
 * @param label - path of the file, for faults
 * @returns the layout or all faults, and the valid zones and links for checks across files
 */
export const parseTopologyFile = (value: unknown, label: string): ParsedTopologyFile => {
    const { fields: parsed, faults: found } = fieldParser.parseFields(topologyShape, value, label);
    const zones = parseZones(parsed.zones ?? {}, label);
    const links = parseLinks(parsed.links ?? [], label);
    const allFaults = [...found, ...zones.faults, ...links.faults];
    const { zoneDelayMs = defaultZoneDelayMs, regionDelayMs = defaultRegionDelayMs } = parsed;
    const createLayout = (): TopologyLayout => {
        const completeZones = zones.zones as readonly ZoneLayout[];
        const explicitLinks = links.links as readonly config.LinkConfig[];
        return { zones: completeZones, links: createLinks(completeZones, explicitLinks, zoneDelayMs, regionDelayMs) };
    };
    return {
        label,
        zones: zones.zones,
        links: links.links,
        faults: allFaults,
        layout: allFaults.length === 0 ? createLayout() : undefined,
    };
};

/**
 * Applies a layout to the current topology. Zones and VMs that are out of service remain out of service.
 *
 * @param layout - zones, regions and links
 * @param current - the current topology, if any
 * @returns the new topology
 */
export const applyLayout = (
    layout: TopologyLayout,
    current: config.TopologySection | undefined,
): config.TopologySection => {
    const zonesOut = new Set(current?.zones.filter(zone => zone.out).map(zone => zone.name));
    return {
        kind: "topology",
        zones: layout.zones.map(zone => ({ ...zone, out: zonesOut.has(zone.name) })),
        links: layout.links,
        vmsOut: current?.vmsOut ?? [],
    };
};

export const topologyFileName = "topology.yaml";

/**
 * Checks whether a file is the topology file.
 *
 * @param path - path of the file
 * @returns true if the file name is `topology.yaml`
 */
export const isTopologyFile = (path: string): boolean => path.slice(path.lastIndexOf("/") + 1) === topologyFileName;

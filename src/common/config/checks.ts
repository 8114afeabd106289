/**
 * Checks across sections. They accept partial input, so that they also run on files with invalid fields.
 */
import * as types from "../Types.js";
import * as config from "./Types.js";
import * as paths from "./paths.js";

/** A service, labelled with the file or section that its faults refer to. */
export interface CheckableService {
    readonly label: string;
    readonly targets: readonly Partial<config.TargetConfig>[];
}

export interface CheckableTopology {
    readonly label: string;
    readonly zones: readonly Partial<config.ZoneConfig>[];
    readonly links: readonly Partial<config.LinkConfig>[];
}

const checkDuplicates = (
    services: readonly CheckableService[],
    field: "id" | "address",
    consequence: string,
): config.Fault[] => {
    const faults: config.Fault[] = [];
    const firstByValue = new Map<string, string>();
    for (const service of services) {
        for (const [index, target] of service.targets.entries()) {
            const value = target[field];
            if (value === undefined) {
                continue;
            }
            const path = ["targets", index, field];
            const first = firstByValue.get(value);
            if (first !== undefined) {
                faults.push(paths.createFault(service.label, path, `"${value}" is also at ${first}; ${consequence}`));
                continue;
            }
            firstByValue.set(value, `${service.label}: ${paths.formatPath(path)}`);
        }
    }
    return faults;
};

const checkTargetZones = (
    services: readonly CheckableService[],
    zones: ReadonlySet<types.ZoneName>,
): config.Fault[] => {
    const faults: config.Fault[] = [];
    for (const service of services) {
        for (const [index, target] of service.targets.entries()) {
            if (target.zone !== undefined && !zones.has(target.zone)) {
                const message = `zone "${target.zone}" does not exist; the topology has ${formatZones(zones)}`;
                faults.push(paths.createFault(service.label, ["targets", index, "zone"], message));
            }
        }
    }
    return faults;
};

const formatZones = (zones: ReadonlySet<types.ZoneName>): string =>
    zones.size === 0 ? "no zones" : [...zones].join(", ");

const checkZones = (topology: CheckableTopology): config.Fault[] => {
    const seen = new Set<types.ZoneName>();
    const faults: config.Fault[] = [];
    for (const [index, zone] of topology.zones.entries()) {
        if (zone.name === undefined) {
            continue;
        }
        if (seen.has(zone.name)) {
            faults.push(paths.createFault(topology.label, ["zones", index, "name"], `"${zone.name}" is given twice`));
        }
        seen.add(zone.name);
    }
    return faults;
};

const checkLink = (
    link: Partial<config.LinkConfig>,
    zones: ReadonlySet<types.ZoneName>,
    seen: Set<string>,
): { readonly path: paths.FieldPath; readonly message: string }[] => {
    const faults: { path: paths.FieldPath; message: string }[] = [];
    for (const field of ["from", "to"] as const) {
        const zone = link[field];
        if (zone !== undefined && !zones.has(zone)) {
            faults.push({ path: [field], message: `zone "${zone}" does not exist; there are ${formatZones(zones)}` });
        }
    }
    if (link.from === undefined || link.to === undefined) {
        return faults;
    }
    if (link.from === link.to) {
        faults.push({ path: [], message: `links zone "${link.from}" to itself` });
    }
    const key = [link.from, link.to].sort().join(" ");
    if (seen.has(key)) {
        faults.push({ path: [], message: `the link between ${key.replace(" ", " and ")} is given twice` });
    }
    seen.add(key);
    return faults;
};

const checkLinks = (topology: CheckableTopology, zones: ReadonlySet<types.ZoneName>): config.Fault[] => {
    const seen = new Set<string>();
    return topology.links.flatMap((link, index) =>
        checkLink(link, zones, seen).map(fault =>
            paths.createFault(topology.label, ["links", index, ...fault.path], fault.message),
        ),
    );
};

/**
 * Checks constraints that span several targets, services or the topology.
 *
 * @param services - the services
 * @param topology - the topology; if undefined, zones are not checked
 * @returns all faults
 */
export const checkAcrossSections = (
    services: readonly CheckableService[],
    topology: CheckableTopology | undefined,
): config.Fault[] => {
    const faults = [
        ...checkDuplicates(services, "id", "a target id names one target over all services"),
        ...checkDuplicates(services, "address", "a server's slots would be counted twice"),
    ];
    if (topology === undefined) {
        return faults;
    }
    const zones = new Set(topology.zones.map(zone => zone.name).filter(name => name !== undefined));
    return [...faults, ...checkZones(topology), ...checkLinks(topology, zones), ...checkTargetZones(services, zones)];
};

/**
 * Parsing and validation of all operators' files in a directory.
 */
import * as types from "../Types.js";
import * as config from "./Types.js";
import * as checks from "./checks.js";
import * as paths from "./paths.js";
import * as serviceFile from "./serviceFile.js";
import * as topologyFile from "./topologyFile.js";
import * as yamlText from "./yamlText.js";

export interface SourceFile {
    /** Path relative to the published directory, with `/` as separator. */
    readonly path: string;
    readonly text: string;
}

export interface ValidServiceFile {
    readonly path: string;
    readonly section: config.ServiceSection;
}

export interface ValidTopologyFile {
    readonly path: string;
    readonly layout: topologyFile.TopologyLayout;
}

export interface ConfigFiles {
    readonly services: readonly ValidServiceFile[];
    readonly topology: ValidTopologyFile | undefined;
    /** Paths of YAML files that are not configuration files of this system. */
    readonly skipped: readonly string[];
}

export type ParseFilesResult =
    | { readonly kind: "valid"; readonly files: ConfigFiles }
    | { readonly kind: "invalid"; readonly faults: readonly config.Fault[]; readonly skipped: readonly string[] };

// Matches the raw text, so that files with a syntax error or a misspelt `service` are still reported.
const serviceFilePattern = /^\{?\s*["']?(service|targets)["']?\s*:/m;

/**
 * Checks whether a file is a configuration file of this system. The directory may contain unrelated YAML files.
 *
 * @param file - the file to check
 * @returns true for `topology.yaml` and for files with a top-level field `service` or `targets`
 */
export const isConfigFile = (file: SourceFile): boolean =>
    topologyFile.isTopologyFile(file.path) || serviceFilePattern.test(file.text);

const checkServiceNames = (services: readonly serviceFile.ParsedServiceFile[]): config.Fault[] => {
    const pathByService = new Map<types.ServiceName, string>();
    const faults: config.Fault[] = [];
    for (const { service, label } of services) {
        if (service === undefined) {
            continue;
        }
        const first = pathByService.get(service);
        if (first === undefined) {
            pathByService.set(service, label);
        } else {
            faults.push(paths.createFault(label, ["service"], `"${service}" is also given in ${first}`));
        }
    }
    return faults;
};

const checkTopologyCount = (topologies: readonly topologyFile.ParsedTopologyFile[]): config.Fault[] =>
    topologies
        .slice(1)
        .map(file => paths.createFault(file.label, [], `the topology is also given in ${topologies[0]?.label}`));

const toConfigFiles = (
    services: readonly serviceFile.ParsedServiceFile[],
    topology: topologyFile.ParsedTopologyFile | undefined,
    skipped: readonly string[],
): ConfigFiles => ({
    services: services.flatMap(file =>
        file.section === undefined ? [] : [{ path: file.label, section: file.section }],
    ),
    topology: topology?.layout === undefined ? undefined : { path: topology.label, layout: topology.layout },
    skipped,
});

/**
 * Parses the operators' files. Zones of targets are checked only if the topology is among the files; otherwise the
 * publisher checks them against the current topology.
 *
 * @param sources - the YAML files of a directory
 * @returns the parsed files, or all faults of all files
 */
export const parseConfigFiles = (sources: readonly SourceFile[]): ParseFilesResult => {
    const services: serviceFile.ParsedServiceFile[] = [];
    const topologies: topologyFile.ParsedTopologyFile[] = [];
    const faults: config.Fault[] = [];
    for (const source of sources.filter(isConfigFile)) {
        const parsed = yamlText.parseYaml(source.text, source.path);
        faults.push(...parsed.faults);
        if (parsed.faults.length > 0) {
            continue;
        }
        if (topologyFile.isTopologyFile(source.path)) {
            topologies.push(topologyFile.parseTopologyFile(parsed.value, source.path));
        } else {
            services.push(serviceFile.parseServiceFile(parsed.value, source.path));
        }
    }
    faults.push(...[...topologies, ...services].flatMap(file => file.faults));
    faults.push(...checkTopologyCount(topologies), ...checkServiceNames(services));
    faults.push(...checks.checkAcrossSections(services, topologies[0]));
    const skipped = sources.filter(source => !isConfigFile(source)).map(source => source.path);
    return faults.length > 0
        ? { kind: "invalid", faults, skipped }
        : { kind: "valid", files: toConfigFiles(services, topologies[0], skipped) };
};

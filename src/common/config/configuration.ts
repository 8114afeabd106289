/**
 * Assembly of a complete configuration from a head and its sections.
 */
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as config from "./Types.js";
import * as checks from "./checks.js";
import * as paths from "./paths.js";
import * as sections from "./sections.js";

interface Parts {
    readonly digests: Map<types.SectionName, types.Digest>;
    readonly services: Map<types.ServiceName, config.ServiceSection>;
    topology: config.TopologySection | undefined;
    readonly faults: config.Fault[];
}

const parsePart = (
    name: types.SectionName,
    digest: types.Digest,
    text: string | undefined,
    label: string,
): sections.ParseSectionResult => {
    const createFailure = (message: string): sections.ParseSectionResult => ({
        kind: "invalid",
        faults: [paths.createFault(label, [], message)],
    });
    if (text === undefined) {
        return createFailure(`the text of the section with digest ${digest} is missing`);
    }
    if (sections.computeSectionDigest(text) !== digest) {
        return createFailure(`the text of the section does not have the digest ${digest}`);
    }
    const parsed = sections.parseSection(text, label);
    if (parsed.kind === "valid" && sections.toSectionName(parsed.section) !== name) {
        return createFailure(`the text of the section belongs to "${sections.toSectionName(parsed.section)}"`);
    }
    return parsed;
};

const addPart = (parts: Parts, section: config.Section): void => {
    if (section.kind === "topology") {
        parts.topology = section;
    } else {
        parts.services.set(section.service, section);
    }
};

const checkParts = (parts: Parts, toLabel: (name: types.SectionName) => string): config.Fault[] => {
    const services = [...parts.services.values()].map(service => ({
        label: toLabel(sections.toSectionName(service)),
        targets: service.targets,
    }));
    const label = toLabel(sections.topologySectionName);
    return checks.checkAcrossSections(
        services,
        parts.topology === undefined ? undefined : { ...parts.topology, label },
    );
};

/**
 * Builds a configuration, with operators' names for the sections in the faults.
 *
 * @param head - the head
 * @param texts - texts of the sections by digest; further ones are ignored
 * @param toLabel - names a section in faults, as by the file it comes from
 * @returns the configuration, or all faults of all sections
 */
export const assembleLabelled = (
    head: config.ConfigHead,
    texts: ReadonlyMap<types.Digest, string>,
    toLabel: (name: types.SectionName) => string,
): config.AssembleResult => {
    const parts: Parts = { digests: new Map(), services: new Map(), topology: undefined, faults: [] };
    for (const [key, digest] of Object.entries(head.sections)) {
        const name = ids.toSectionName(key);
        const parsed = parsePart(name, digest, texts.get(digest), toLabel(name));
        parts.digests.set(name, digest);
        if (parsed.kind === "valid") {
            addPart(parts, parsed.section);
        } else {
            parts.faults.push(...parsed.faults);
        }
    }
    if (head.sections[sections.topologySectionName] === undefined) {
        parts.faults.push(paths.createFault(toLabel(sections.topologySectionName), [], "the topology is missing"));
    }
    parts.faults.push(...checkParts(parts, toLabel));
    if (parts.faults.length > 0 || parts.topology === undefined) {
        return { kind: "invalid", faults: parts.faults };
    }
    const { digests, topology, services } = parts;
    return { kind: "valid", configuration: { revision: head.revision, digests, topology, services } };
};

/**
 * Builds a configuration from a head and the texts of its sections by digest.
 *
 * @param head - the head
 * @param texts - texts of the sections by digest; further ones are ignored
 * @returns the configuration, or all faults of all sections
 */
export const assembleConfiguration: config.AssembleConfiguration = (head, texts) =>
    assembleLabelled(head, texts, name => name);

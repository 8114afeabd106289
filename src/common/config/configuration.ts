/**
 * Assembles a complete configuration from a head and its sections.
 */
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as config from "./Types.js";
import * as checks from "./checks.js";
import * as paths from "./paths.js";
import * as sections from "./sections.js";

interface ParsedSections {
    readonly digests: Map<types.SectionName, types.Digest>;
    readonly services: Map<types.ServiceName, config.ServiceSection>;
    topology: config.TopologySection | undefined;
    readonly faults: config.Fault[];
}

const parseStoredSection = (
    name: types.SectionName,
    digest: types.Digest,
    text: string | undefined,
    label: string,
): sections.ParseSectionResult => {
    const createInvalidResult = (message: string): sections.ParseSectionResult => ({
        kind: "invalid",
        faults: [paths.createFault(label, [], message)],
    });
    if (text === undefined) {
        return createInvalidResult(`the text of the section with digest ${digest} is missing`);
    }
    if (sections.computeSectionDigest(text) !== digest) {
        return createInvalidResult(`the text of the section does not have the digest ${digest}`);
    }
    const parsed = sections.parseSection(text, label);
    if (parsed.kind === "valid" && sections.toSectionName(parsed.section) !== name) {
        return createInvalidResult(`the text of the section belongs to "${sections.toSectionName(parsed.section)}"`);
    }
    return parsed;
};

const addSection = (parsedSections: ParsedSections, section: config.Section): void => {
    if (section.kind === "topology") {
        parsedSections.topology = section;
    } else {
        parsedSections.services.set(section.service, section);
    }
};

const checkParsedSections = (
    parsedSections: ParsedSections,
    toLabel: (name: types.SectionName) => string,
): config.Fault[] => {
    const services = [...parsedSections.services.values()].map(service => ({
        label: toLabel(sections.toSectionName(service)),
        targets: service.targets,
    }));
    const label = toLabel(sections.topologySectionName);
    return checks.checkAcrossSections(
        services,
        parsedSections.topology === undefined ? undefined : { ...parsedSections.topology, label },
    );
};

/**
 * Assembles a configuration, with custom labels for the sections in faults.
 *
 * @param head - the head
 * @param texts - texts of the sections by digest; further ones are ignored
 * @param toLabel - returns the label of a section, for example the path of its file
 * @returns the configuration, or all faults of all sections
 */
export const assembleWithLabels = (
    head: config.ConfigHead,
    texts: ReadonlyMap<types.Digest, string>,
    toLabel: (name: types.SectionName) => string,
): config.AssembleResult => {
    const parsedSections: ParsedSections = { digests: new Map(), services: new Map(), topology: undefined, faults: [] };
    for (const [key, digest] of Object.entries(head.sections)) {
        const name = ids.toSectionName(key);
        const parsed = parseStoredSection(name, digest, texts.get(digest), toLabel(name));
        parsedSections.digests.set(name, digest);
        if (parsed.kind === "valid") {
            addSection(parsedSections, parsed.section);
        } else {
            parsedSections.faults.push(...parsed.faults);
        }
    }
    if (head.sections[sections.topologySectionName] === undefined) {
        parsedSections.faults.push(
            paths.createFault(toLabel(sections.topologySectionName), [], "the topology is missing"),
        );
    }
    parsedSections.faults.push(...checkParsedSections(parsedSections, toLabel));
    if (parsedSections.faults.length > 0 || parsedSections.topology === undefined) {
        return { kind: "invalid", faults: parsedSections.faults };
    }
    const { digests, topology, services } = parsedSections;
    return { kind: "valid", configuration: { revision: head.revision, digests, topology, services } };
};

/**
 * Assembles a configuration from a head and the texts of its sections, keyed by digest.
 *
 * @param head - the head
 * @param texts - texts of the sections by digest; further ones are ignored
 * @returns the configuration, or all faults of all sections
 */
export const assembleConfiguration: config.AssembleConfiguration = (head, texts) =>
    assembleWithLabels(head, texts, name => name);

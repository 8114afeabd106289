/**
 * Serialization of sections: canonical JSON, its digest, and parsing.
 */
import * as crypto from "node:crypto";
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as config from "./Types.js";
import * as faults from "./faults.js";
import * as paths from "./paths.js";
import * as schema from "./schema.js";

export type ParseSectionResult =
    | { readonly kind: "valid"; readonly section: config.Section }
    | { readonly kind: "invalid"; readonly faults: readonly config.Fault[] };

export const topologySectionName = ids.toSectionName("topology");

/**
 * Returns the name of the section of a service.
 *
 * @param service - the service
 * @returns `service/<name>`
 */
export const toServiceSectionName = (service: types.ServiceName): types.SectionName =>
    ids.toSectionName(`service/${service}`);

/**
 * Returns the name of a section.
 *
 * @param section - the section
 * @returns the name under which a head lists it
 */
export const toSectionName = (section: config.Section): types.SectionName =>
    section.kind === "topology" ? topologySectionName : toServiceSectionName(section.service);

const compareTexts = (left: string, right: string): number => {
    if (left === right) {
        return 0;
    }
    return left < right ? -1 : 1;
};

const toSorted = <T>(items: readonly T[], toKey: (item: T) => string): T[] =>
    [...items].sort((left, right) => compareTexts(toKey(left), toKey(right)));

const toCanonicalLink = (link: config.LinkConfig): config.LinkConfig =>
    link.from <= link.to ? link : { ...link, from: link.to, to: link.from };

const toPatternKey = (pattern: config.RequestPattern): string => `${pattern.method} ${pattern.path}`;

const toCanonical = (section: config.Section): config.Section => {
    switch (section.kind) {
        case "service":
            return {
                ...section,
                idempotent: toSorted(section.idempotent, toPatternKey),
                nonIdempotent: toSorted(section.nonIdempotent, toPatternKey),
                targets: toSorted(section.targets, target => target.id),
            };
        case "topology":
            return {
                ...section,
                zones: toSorted(section.zones, zone => zone.name),
                links: toSorted(section.links.map(toCanonicalLink), link => `${link.from} ${link.to}`),
                vmsOut: toSorted([...new Set(section.vmsOut)], vm => vm),
            };
    }
};

const toSortedKeys = (_key: string, value: unknown): unknown => {
    if (typeof value !== "object" || value === null || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(toSorted(Object.entries(value), ([key]) => key));
};

/**
 * Formats a section as canonical JSON, independent of the order of fields, targets, zones, links and patterns.
 *
 * @param section - the section
 * @returns JSON, identical for equivalent sections
 */
export const formatSection = (section: config.Section): string => JSON.stringify(toCanonical(section), toSortedKeys);

/**
 * Parses the text of a section. `assembleConfiguration` performs the checks across sections.
 *
 * @param text - JSON written by {@link formatSection}
 * @param label - name of the section, for faults
 * @returns the section, or all of its faults
 */
export const parseSection = (text: string, label = "section"): ParseSectionResult => {
    let value: unknown;
    try {
        value = JSON.parse(text);
    } catch {
        return { kind: "invalid", faults: [paths.createFault(label, [], "is not JSON")] };
    }
    const checked = faults.parseValue(schema.sectionSchema, value, label);
    return checked.value === undefined
        ? { kind: "invalid", faults: checked.faults }
        : { kind: "valid", section: checked.value };
};

/**
 * Computes the digest under which the object store holds a section.
 *
 * @param text - the text of the section
 * @returns SHA-256 of the text encoded as UTF-8
 */
export const computeSectionDigest = (text: string): types.Digest =>
    ids.toDigest(crypto.createHash("sha256").update(text, "utf8").digest("hex"));

/**
 * Parses the value of the row `config/head` or `config/revision/<n>`.
 *
 * @param value - the value of the row
 * @returns the head, or undefined if the value is invalid
 */
export const parseHead = (value: unknown): config.ConfigHead | undefined => {
    const result = schema.headSchema.safeParse(value);
    return result.success ? result.data : undefined;
};

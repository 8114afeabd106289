/**
 * Computes the sections that a change writes or removes.
 */
import * as paths from "../../common/config/paths.js";
import * as sections from "../../common/config/sections.js";
import * as topologyFile from "../../common/config/topologyFile.js";
import * as config from "../../common/config/Types.js";
import * as types from "../../common/Types.js";
import * as publish from "./Types.js";

/** New texts by section; undefined removes the section. */
export type SectionWrites = ReadonlyMap<types.SectionName, string | undefined>;

export type ApplyResult =
    | { readonly kind: "applied"; readonly writes: SectionWrites }
    | { readonly kind: "refused"; readonly faults: readonly config.Fault[] };

const createRefusal = (label: string, message: string): ApplyResult => ({
    kind: "refused",
    faults: [paths.createFault(label, [], message)],
});

type TopologyUpdate = (current: config.TopologySection) => config.TopologySection | config.Fault;

/**
 * Applies an update to the topology in force. A topology with fields unknown to this version is not rewritten, because
 * the fields of the newer version would be lost.
 */
const updateTopology = (text: string | undefined, update: TopologyUpdate): ApplyResult => {
    const label = sections.topologySectionName;
    if (text === undefined) {
        return createRefusal(label, "no topology has been published yet");
    }
    const parsed = sections.parseSection(text, label);
    if (parsed.kind === "invalid") {
        return { kind: "refused", faults: parsed.faults };
    }
    if (parsed.section.kind !== "topology" || sections.formatSection(parsed.section) !== text) {
        return createRefusal(label, "was written by a newer version of tarragonpath; use that version");
    }
    const updated = update(parsed.section);
    if ("where" in updated) {
        return { kind: "refused", faults: [updated] };
    }
    return { kind: "applied", writes: new Map([[label, sections.formatSection(updated)]]) };
};

const setTopology = (text: string | undefined, layout: topologyFile.TopologyLayout): ApplyResult => {
    if (text !== undefined) {
        return updateTopology(text, current => topologyFile.applyLayout(layout, current));
    }
    const created = topologyFile.applyLayout(layout, undefined);
    return { kind: "applied", writes: new Map([[sections.topologySectionName, sections.formatSection(created)]]) };
};

const setZoneOut =
    (zone: types.ZoneName, out: boolean): TopologyUpdate =>
    current => {
        if (!current.zones.some(item => item.name === zone)) {
            const known = current.zones.map(item => item.name).join(", ");
            return { where: `zone ${zone}`, message: `does not exist; the topology has ${known}` };
        }
        return { ...current, zones: current.zones.map(item => (item.name === zone ? { ...item, out } : item)) };
    };

const setVmOut =
    (vm: types.VmId, out: boolean): TopologyUpdate =>
    current => {
        const others = current.vmsOut.filter(item => item !== vm);
        return { ...current, vmsOut: out ? [...others, vm] : others };
    };

/**
 * Applies a change to the configuration in force, without validation across sections.
 *
 * @param change - the change
 * @param topologyText - the topology in force, if there is one
 * @returns the sections to write, some of which may be unchanged
 */
export const applyChange = (change: publish.Change, topologyText: string | undefined): ApplyResult => {
    switch (change.kind) {
        case "publishFiles": {
            const writes = new Map<types.SectionName, string | undefined>();
            for (const { section } of change.services) {
                writes.set(sections.toSectionName(section), sections.formatSection(section));
            }
            if (change.topology === undefined) {
                return { kind: "applied", writes };
            }
            const result = setTopology(topologyText, change.topology.layout);
            return result.kind === "refused"
                ? result
                : { kind: "applied", writes: new Map([...writes, ...result.writes]) };
        }
        case "removeService":
            return {
                kind: "applied",
                writes: new Map([[sections.toServiceSectionName(change.service), undefined]]),
            };
        case "setZoneOut":
            return updateTopology(topologyText, setZoneOut(change.zone, change.out));
        case "setVmOut":
            return updateTopology(topologyText, setVmOut(change.vm, change.out));
    }
};

/**
 * Creates the labels that faults use for sections: the path of the file, or the section name without a file.
 *
 * @param change - the change
 * @returns a function from section name to label
 */
export const createSectionLabels = (change: publish.Change): ((name: types.SectionName) => string) => {
    if (change.kind !== "publishFiles") {
        return name => name;
    }
    const labels = new Map<types.SectionName, string>(
        change.services.map(({ section, path }) => [sections.toSectionName(section), path]),
    );
    if (change.topology !== undefined) {
        labels.set(sections.topologySectionName, change.topology.path);
    }
    return name => labels.get(name) ?? name;
};

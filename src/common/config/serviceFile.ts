/**
 * Parses service files, `<service>.yaml`. `docs/configuration-files.md` documents the format for operators.
 */
import * as zod from "zod";
import * as types from "../Types.js";
import * as checks from "./checks.js";
import * as config from "./Types.js";
import * as fields from "./fields.js";
import * as fieldParser from "./parseFields.js";
import * as paths from "./paths.js";
import * as vmName from "./vmName.js";

const defaultDeadlineMs = 10_000;
/** Both existing deployments keep 200 to 250 connections to a target. */
const defaultConnections = 200;
const defaultQueueLimit = 100;
/** Photo bundles are tens of MB. Bodies are streamed, so a large limit costs no memory. */
const defaultMaxBodyBytes = 256 * 1024 * 1024;
const defaultOwnersPerZone = 1;
/** The lower slot count of the two existing deployments. */
const defaultSlots = 2;
const defaultColdSlots = 1;

const serviceShape = {
    service: fields.serviceName,
    deadlineMs: fields.deadlineMs.default(defaultDeadlineMs),
    connections: fields.connections.default(defaultConnections),
    queueLimit: fields.queueLimit.default(defaultQueueLimit),
    maxBodyBytes: fields.maxBodyBytes.default(defaultMaxBodyBytes),
    ownersPerZone: fields.ownersPerZone.default(defaultOwnersPerZone),
    idempotent: zod.array(fields.patternText).default([]),
    nonIdempotent: zod.array(fields.patternText).default([]),
    slots: fields.slots.default(defaultSlots),
    coldSlots: fields.coldSlots.default(defaultColdSlots),
    targets: zod.array(zod.unknown()).min(1, "must name at least one target"),
};

const targetShape = {
    id: fields.targetId,
    address: fields.address,
    zone: fields.zoneName,
    vm: fields.vmId.optional(),
    slots: fields.slots.optional(),
    coldSlots: fields.coldSlots.optional(),
    out: fields.flag.default(false),
};

type ServiceFields = fieldParser.ParsedFields<typeof serviceShape>;
type TargetFields = fieldParser.ParsedFields<typeof targetShape>;

/** The parts of a service file that could be parsed, and its faults. */
export interface ParsedServiceFile extends checks.CheckableService {
    readonly service: types.ServiceName | undefined;
    /** Undefined if there are faults. */
    readonly section: config.ServiceSection | undefined;
    readonly faults: readonly config.Fault[];
}

const checkSlots = (
    label: string,
    path: paths.FieldPath,
    overrides: { readonly slots?: number | undefined; readonly coldSlots?: number | undefined },
    service: ServiceFields,
): config.Fault[] => {
    const slots = overrides.slots ?? service.slots;
    const coldSlots = overrides.coldSlots ?? service.coldSlots;
    if (slots === undefined || coldSlots === undefined || coldSlots <= slots) {
        return [];
    }
    return [paths.createFault(label, [...path, "coldSlots"], `is ${coldSlots}, more than slots, which is ${slots}`)];
};

const checkTarget = (label: string, index: number, target: TargetFields, service: ServiceFields): config.Fault[] =>
    target.slots === undefined && target.coldSlots === undefined
        ? []
        : checkSlots(label, ["targets", index], target, service);

const toTarget = (target: TargetFields, service: ServiceFields): Partial<config.TargetConfig> => {
    const { id, address, zone, out } = target;
    const vm = target.vm ?? (address === undefined ? undefined : vmName.toVmFromIp(address));
    const slots = target.slots ?? service.slots;
    const coldSlots = target.coldSlots ?? service.coldSlots;
    const targetFields = { id, address, zone, vm, slots, coldSlots, out };
    return Object.fromEntries(Object.entries(targetFields).filter(([, value]) => value !== undefined));
};

const checkFileName = (label: string, service: types.ServiceName | undefined): config.Fault[] => {
    const name = label.slice(label.lastIndexOf("/") + 1);
    if (service === undefined || name === `${service}.yaml`) {
        return [];
    }
    return [paths.createFault(label, ["service"], `is "${service}"; the file must be called "${service}.yaml"`)];
};

/** Creates the section of a file without faults; all fields are present in such a file. */
const createSection = (
    parsed: ServiceFields,
    targets: readonly Partial<config.TargetConfig>[],
): config.ServiceSection => {
    const { service, deadlineMs, connections, queueLimit, maxBodyBytes, ownersPerZone } = parsed;
    const { idempotent, nonIdempotent } = parsed;
    const section = { service, deadlineMs, connections, queueLimit, maxBodyBytes, ownersPerZone, targets };
    return { kind: "service", ...section, idempotent, nonIdempotent } as config.ServiceSection;
};

/**
 * Parses a service file.
 *
 * @param value - the parsed YAML of the file
 * @param label - path of the file, for faults
 * @returns the section or all faults, and the valid targets for checks across files
 */
export const parseServiceFile = (value: unknown, label: string): ParsedServiceFile => {
    const { fields: parsed, faults: found } = fieldParser.parseFields(serviceShape, value, label);
    const faults = [...found, ...checkFileName(label, parsed.service), ...checkSlots(label, [], parsed, parsed)];
    const targets: Partial<config.TargetConfig>[] = [];
    for (const [index, item] of (parsed.targets ?? []).entries()) {
        const target = fieldParser.parseFields(targetShape, item, label, ["targets", index]);
        faults.push(...target.faults, ...checkTarget(label, index, target.fields, parsed));
        targets.push(toTarget(target.fields, parsed));
    }
    const section = faults.length === 0 ? createSection(parsed, targets) : undefined;
    return { label, service: parsed.service, targets, section, faults };
};

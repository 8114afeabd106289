/**
 * The file of a service, `<service>.yaml`. `docs/configuration-files.md` describes it for operators.
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
/** Both current deployments keep 200 to 250 connections to a target. */
const defaultConnections = 200;
const defaultQueueLimit = 100;
/** Photo bundles have tens of MB. Bodies are streamed, so a large limit costs no memory. */
const defaultMaxBodyBytes = 256 * 1024 * 1024;
const defaultOwnersPerZone = 1;
/** The smaller figure of the two current deployments. */
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

/** What could be read of a service's file. */
export interface ServiceFile extends checks.CheckableService {
    readonly service: types.ServiceName | undefined;
    /** Undefined if the file has faults. */
    readonly section: config.ServiceSection | undefined;
    readonly faults: readonly config.Fault[];
}

const checkSlots = (
    label: string,
    path: paths.FieldPath,
    given: { readonly slots?: number | undefined; readonly coldSlots?: number | undefined },
    service: ServiceFields,
): config.Fault[] => {
    const slots = given.slots ?? service.slots;
    const coldSlots = given.coldSlots ?? service.coldSlots;
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
    const all = { id, address, zone, vm, slots, coldSlots, out };
    return Object.fromEntries(Object.entries(all).filter(([, value]) => value !== undefined));
};

const checkFileName = (label: string, service: types.ServiceName | undefined): config.Fault[] => {
    const name = label.slice(label.lastIndexOf("/") + 1);
    if (service === undefined || name === `${service}.yaml`) {
        return [];
    }
    return [paths.createFault(label, ["service"], `is "${service}"; the file must be called "${service}.yaml"`)];
};

/** Makes the section of a file without faults, in which all fields are therefore present. */
const createSection = (
    given: ServiceFields,
    targets: readonly Partial<config.TargetConfig>[],
): config.ServiceSection => {
    const { service, deadlineMs, connections, queueLimit, maxBodyBytes, ownersPerZone } = given;
    const { idempotent, nonIdempotent } = given;
    const section = { service, deadlineMs, connections, queueLimit, maxBodyBytes, ownersPerZone, targets };
    return { kind: "service", ...section, idempotent, nonIdempotent } as config.ServiceSection;
};

/**
 * Parses the file of a service.
 *
 * @param value - the content of the file
 * @param label - path of the file, for faults
 * @returns the section or all faults, with the valid targets for checks across files
 */
export const parseServiceFile = (value: unknown, label: string): ServiceFile => {
    const { fields: given, faults: found } = fieldParser.parseFields(serviceShape, value, label);
    const faults = [...found, ...checkFileName(label, given.service), ...checkSlots(label, [], given, given)];
    const targets: Partial<config.TargetConfig>[] = [];
    for (const [index, item] of (given.targets ?? []).entries()) {
        const target = fieldParser.parseFields(targetShape, item, label, ["targets", index]);
        faults.push(...target.faults, ...checkTarget(label, index, target.fields, given));
        targets.push(toTarget(target.fields, given));
    }
    const section = faults.length === 0 ? createSection(given, targets) : undefined;
    return { label, service: given.service, targets, section, faults };
};

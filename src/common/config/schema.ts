/**
 * Schemas for stored data: the head row and the sections.
 *
 * Unknown fields are ignored, so that an older daemon can adopt a configuration written by a newer publisher.
 * Operators' files are checked strictly before they are converted to sections.
 */
import * as zod from "zod";
import * as ids from "../ids.js";
import * as config from "./Types.js";
import * as fields from "./fields.js";

const target = zod
    .object({
        id: fields.targetId,
        address: fields.address,
        zone: fields.zoneName,
        vm: fields.vmId,
        slots: fields.slots,
        coldSlots: fields.coldSlots,
        out: fields.flag,
    })
    .refine(value => value.coldSlots <= value.slots, { message: "must be at most slots", path: ["coldSlots"] });

const service = zod.object({
    kind: zod.literal("service"),
    service: fields.serviceName,
    deadlineMs: fields.deadlineMs,
    connections: fields.connections,
    queueLimit: fields.queueLimit,
    maxBodyBytes: fields.maxBodyBytes,
    ownersPerZone: fields.ownersPerZone,
    idempotent: zod.array(fields.pattern),
    nonIdempotent: zod.array(fields.pattern),
    targets: zod.array(target),
});

const topology = zod.object({
    kind: zod.literal("topology"),
    zones: zod.array(zod.object({ name: fields.zoneName, region: fields.regionName, out: fields.flag })),
    links: zod.array(zod.object({ from: fields.zoneName, to: fields.zoneName, delayMs: fields.delayMs })),
    vmsOut: zod.array(fields.vmId),
});

export const sectionSchema: zod.ZodType<config.Section> = zod.discriminatedUnion("kind", [service, topology]);

const digest = zod.string().refine(ids.isDigest, "must be a SHA-256 digest").transform(ids.toDigest);

export const headSchema: zod.ZodType<config.ConfigHead> = zod.object({
    revision: zod.int().min(1).transform(ids.toRevision),
    sections: zod.record(zod.string(), digest),
    author: zod.string(),
    token: zod.string(),
});

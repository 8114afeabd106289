/**
 * Schemas for individual fields, shared by stored sections and operators' files.
 */
import * as net from "node:net";
import * as zod from "zod";
import * as ids from "../ids.js";
import * as types from "../Types.js";
import * as requestPattern from "./requestPattern.js";

const nameMessage = "must be 1 to 63 lower-case letters, digits, dots, hyphens or underscores";

/** The header `Tarragon-Deadline-Ms` has the same limit. */
const maxDeadlineMs = 600_000;
const maxSlots = 10_000;
const maxConnections = 100_000;
const maxQueueLimit = 1_000_000;
const maxOwnersPerZone = 16;
const maxDelayMs = 10_000;

/**
 * Checks whether a string is a numeric IP address with a port from 1 to 65535, without leading zeros in the port.
 *
 * @param text - the string to check
 * @returns true if a connection can be opened to the address as written
 */
export const isNumericAddress = (text: string): boolean => {
    const separator = text.lastIndexOf(":");
    const host = text.slice(0, separator).replace(/^\[|\]$/g, "");
    const port = text.slice(separator + 1);
    return ids.isAddress(text) && net.isIP(host) !== 0 && String(Number(port)) === port;
};

/** Normalizes an address, so that different spellings of an IPv6 address compare equal. */
const toCanonicalAddress = (text: string): types.Address => {
    const separator = text.lastIndexOf(":");
    return ids.toAddress(new URL(`http://${text.slice(0, separator)}`).hostname + text.slice(separator));
};

const nameSchema = zod.string().refine(ids.isName, nameMessage);

const createInteger = (min: number, max: number): zod.ZodInt => {
    const message = `must be a whole number from ${min} to ${max}`;
    return zod.int(message).min(min, message).max(max, message);
};

export const serviceName = nameSchema.transform(ids.toServiceName);
export const targetId = nameSchema.transform(ids.toTargetId);
export const vmId = nameSchema.transform(ids.toVmId);
export const zoneName = nameSchema.transform(ids.toZoneName);
export const regionName = nameSchema.transform(ids.toRegionName);
export const flag = zod.boolean();
export const address = zod
    .string()
    .refine(isNumericAddress, 'must be "ip:port" with a port from 1 to 65535, an IPv6 address in brackets')
    .transform(toCanonicalAddress);

export const slots = createInteger(1, maxSlots);
export const coldSlots = createInteger(1, maxSlots);
export const deadlineMs = createInteger(1, maxDeadlineMs);
export const connections = createInteger(1, maxConnections);
export const queueLimit = createInteger(0, maxQueueLimit);
export const maxBodyBytes = createInteger(0, Number.MAX_SAFE_INTEGER);
export const ownersPerZone = createInteger(1, maxOwnersPerZone);
export const delayMs = zod
    .number()
    .min(0, `must be from 0 to ${maxDelayMs}`)
    .max(maxDelayMs, `must be from 0 to ${maxDelayMs}`);

/** A request pattern as stored in sections. */
export const pattern = zod.object({ method: zod.string(), path: zod.string() }).superRefine((value, context) => {
    const message = requestPattern.checkRequestPattern(value);
    if (message !== undefined) {
        context.addIssue({ code: "custom", message });
    }
});

/** A request pattern as written in operators' files. */
export const patternText = zod.string().transform((text, context) => {
    const value = requestPattern.parseRequestPattern(text);
    const message =
        value === undefined
            ? `"${text}" is not a method and a path with one space between them`
            : requestPattern.checkRequestPattern(value);
    if (value === undefined || message !== undefined) {
        context.addIssue({ code: "custom", message: message ?? "" });
        return zod.NEVER;
    }
    return value;
});

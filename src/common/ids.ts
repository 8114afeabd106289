/**
 * Conversions to branded ids, and checks of their format. The conversions do not validate.
 */
import * as types from "./Types.js";

const namePattern = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const digestPattern = /^[0-9a-f]{64}$/;
const addressPattern = /^(\[[0-9a-f:]+\]|\d{1,3}(\.\d{1,3}){3}):(\d{1,5})$/i;

/**
 * Checks whether a string is a valid name of a service, target, VM, zone or region.
 *
 * @param text - the string to check
 * @returns true for 1 to 63 lower-case letters, digits, dots, hyphens and underscores
 */
export const isName = (text: string): boolean => namePattern.test(text);

/**
 * Checks whether a string is an IP address with a port.
 *
 * @param text - the string to check
 * @returns true for `ip:port` with a port from 1 to 65535
 */
export const isAddress = (text: string): boolean => {
    const match = addressPattern.exec(text);
    if (match === null) {
        return false;
    }
    const port = Number(match[3]);
    return port >= 1 && port <= 65535;
};

/**
 * Splits an address into host and port.
 *
 * @param address - `ip:port`, with an IPv6 address in brackets
 * @returns host without brackets, and port
 */
export const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator).replace(/^\[|\]$/g, ""), port: Number(address.slice(separator + 1)) };
};

/**
 * Checks whether a string is a SHA-256 digest.
 *
 * @param text - the string to check
 * @returns true for 64 lower-case hexadecimal digits
 */
export const isDigest = (text: string): boolean => digestPattern.test(text);

export const toServiceName = (text: string): types.ServiceName => text as types.ServiceName;
export const toTargetId = (text: string): types.TargetId => text as types.TargetId;
export const toVmId = (text: string): types.VmId => text as types.VmId;
export const toIncarnationId = (text: string): types.IncarnationId => text as types.IncarnationId;
export const toZoneName = (text: string): types.ZoneName => text as types.ZoneName;
export const toRegionName = (text: string): types.RegionName => text as types.RegionName;
export const toOrganisationName = (text: string): types.OrganisationName => text as types.OrganisationName;
export const toKeyDigest = (text: string): types.KeyDigest => text as types.KeyDigest;
export const toCallId = (text: string): types.CallId => text as types.CallId;
export const toAttemptId = (text: string): types.AttemptId => text as types.AttemptId;
export const toBootId = (text: string): types.BootId => text as types.BootId;
export const toSectionName = (text: string): types.SectionName => text as types.SectionName;
export const toDigest = (text: string): types.Digest => text as types.Digest;
export const toAddress = (text: string): types.Address => text as types.Address;
export const toRevision = (value: number): types.Revision => value as types.Revision;

/**
 * Returns the id of the cell of a service in a zone.
 *
 * @param service - the service
 * @param zone - the zone
 * @returns `service/zone`
 */
export const toCellId = (service: types.ServiceName, zone: types.ZoneName): types.CellId =>
    `${service}/${zone}` as types.CellId;

/**
 * Computes fingerprints that identify equal requests.
 */
import * as crypto from "node:crypto";
import * as types from "./Types.js";

/** Bytes of the body that the fingerprint covers. */
export const fingerprintBodyBytes = 64 * 1024;

/**
 * Computes the fingerprint of a request.
 *
 * @param parts - parts that identify the request
 * @returns SHA-256 in lower-case hexadecimal
 */
export const computeFingerprint = (parts: types.FingerprintParts): string => {
    const common = [parts.addressee, parts.method, parts.path, parts.query, String(parts.bodyLength)];
    // VMs of earlier versions know no organisations and must compute the same for requests without one.
    const fields = parts.organisation === undefined ? common : [...common, parts.organisation];
    // JSON delimits the fields, so that moving a character from one field to the next changes the fingerprint.
    return crypto
        .createHash("sha256")
        .update(JSON.stringify(fields))
        .update(parts.bodyStart.subarray(0, fingerprintBodyBytes))
        .digest("hex");
};

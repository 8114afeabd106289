/**
 * Form of idempotency keys, and the identifiers derived from them.
 */
import * as crypto from "node:crypto";
import * as errors from "../errors/errors.js";
import * as shared from "../Types.js";
import * as packedKeys from "./packedKeys.js";
import * as types from "./Types.js";

/** Longest key, in characters. */
export const maxKeyLength = 200;

const keyPattern = /^[\x20-\x7e]+$/;
const incarnationPattern = /^[A-Za-z0-9_-]{1,64}$/;
// Nine digits of minutes are more than a thousand years and stay within the small integers of the engine.
const issuedPattern = /^([A-Za-z0-9_-]{1,64})\.(0|[1-9]\d{0,8})\.(.*)$/;

/**
 * Finds out who decides on a key.
 *
 * @param key - the value of the `Idempotency-Key` header
 * @returns the incarnation and epoch of an issued key, or `foreign`
 * @throws a call error of kind `bad_request` if the key is malformed
 */
export const parseKeyOrigin = (key: string): types.KeyOrigin => {
    if (key.length > maxKeyLength || !keyPattern.test(key)) {
        throw errors.createCallError(
            "bad_request",
            `An idempotency key has 1 to ${maxKeyLength} printable ASCII characters.`,
        );
    }
    const match = issuedPattern.exec(key);
    if (match === null) {
        return { kind: "foreign" };
    }
    const [, incarnation = "", epoch = "", own] = match;
    if (own === "") {
        // A caller that sends the bare prefix would use one key for all its calls.
        throw errors.createCallError("bad_request", "An idempotency key must not end after the issued prefix.");
    }
    return { kind: "issued", incarnation: incarnation as shared.IncarnationId, epoch: Number(epoch) };
};

/**
 * Formats the prefix of the keys that an incarnation issues in an epoch.
 *
 * @param incarnation - the arbiter; letters, digits, hyphens and underscores
 * @param epoch - the arbiter's epoch
 * @returns the prefix, to which a caller appends its own unique text
 */
export const formatKeyPrefix = (incarnation: shared.IncarnationId, epoch: number): string => {
    if (!incarnationPattern.test(incarnation)) {
        throw new Error(`incarnation ${incarnation} cannot stand in a key prefix`);
    }
    return `${incarnation}.${epoch}.`;
};

// `toString` with a range copies only these characters, whereas `slice` on a string would keep the whole digest alive.
const computeShortHash = (text: string, bytes: number): string =>
    crypto.hash("sha256", text, "buffer").toString("base64url", 0, bytes);

/**
 * Computes the short identifier of a key, which keeps long keys out of memory. 128 bits exclude accidental collisions.
 *
 * @param service - the service that the call goes to
 * @param key - the key, already checked by {@link parseKeyOrigin}
 * @returns the identifier
 */
export const computeKeyId = (service: shared.ServiceName, key: string): types.KeyId =>
    computeShortHash(`${service}\n${key}`, packedKeys.keyIdBytes) as types.KeyId;

/**
 * Computes what two requests with the same key must have in common. A collision only hides that a key was reused for
 * another request, so 48 bits are ample.
 *
 * @param method - the HTTP method
 * @param path - the path with its query
 * @param bodyLength - the declared length of the body, or undefined for a chunked body
 * @returns the signature
 */
export const computeSignature = (
    method: string,
    path: string,
    bodyLength: number | undefined,
): types.RequestSignature =>
    computeShortHash(
        `${method}\n${path}\n${bodyLength ?? "chunked"}`,
        packedKeys.signatureBytes,
    ) as types.RequestSignature;

/**
 * Names the row of the table service that holds the claim of a foreign key.
 *
 * @param service - the service that the call goes to
 * @param key - the key, already checked by {@link parseKeyOrigin}
 * @returns the key of the row
 */
export const formatClaimRowKey = (service: shared.ServiceName, key: string): string =>
    `claim/${service}/${crypto.hash("sha256", key, "hex")}`;

/**
 * Format of idempotency keys and the identifiers derived from them.
 */
import * as crypto from "node:crypto";
import * as errors from "../errors/errors.js";
import * as shared from "../Types.js";
import * as packedKeys from "./packedKeys.js";
import * as types from "./Types.js";

/** Maximum length of a key, in characters. */
export const maxKeyLength = 200;

const keyPattern = /^[\x20-\x7e]+$/;
const incarnationPattern = /^[A-Za-z0-9_-]{1,64}$/;
// Nine digits of minutes cover more than a thousand years and fit in the engine's small integers.
const issuedPattern = /^([A-Za-z0-9_-]{1,64})\.(0|[1-9]\d{0,8})\.(.*)$/;

/**
 * Parses the origin of a key, which determines its arbiter.
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
    const [, incarnation = "", epoch = "", suffix] = match;
    if (suffix === "") {
        // A caller that sends only the prefix would use the same key for all its calls.
        throw errors.createCallError("bad_request", "An idempotency key must not end after the issued prefix.");
    }
    return { kind: "issued", incarnation: incarnation as shared.IncarnationId, epoch: Number(epoch) };
};

/**
 * Formats the prefix of the keys that an incarnation issues in an epoch.
 *
 * @param incarnation - the incarnation that is the arbiter; letters, digits, hyphens and underscores
 * @param epoch - the current epoch of the arbiter
 * @returns the prefix, to which a caller appends its own unique text
 */
export const formatKeyPrefix = (incarnation: shared.IncarnationId, epoch: number): string => {
    if (!incarnationPattern.test(incarnation)) {
        throw new Error(`incarnation ${incarnation} is not valid in a key prefix`);
    }
    return `${incarnation}.${epoch}.`;
};

// `toString` with a range copies only these characters; `slice` on a string would retain the whole digest.
const computeShortHash = (text: string, bytes: number): string =>
    crypto.hash("sha256", text, "buffer").toString("base64url", 0, bytes);

/**
 * Computes the short identifier of a key, which keeps long keys out of memory. 128 bits exclude accidental collisions.
 *
 * @param service - the service that the call goes to
 * @param key - the idempotency key, already validated by {@link parseKeyOrigin}
 * @returns the identifier
 */
export const computeKeyId = (service: shared.ServiceName, key: string): types.KeyId =>
    computeShortHash(`${service}\n${key}`, packedKeys.keyIdBytes) as types.KeyId;

/**
 * Computes the signature that requests with the same key must share. A collision only hides that a key was reused for
 * another request, so 48 bits are enough.
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
 * Formats the key of the table service row that holds the claim of a foreign key.
 *
 * @param service - the service that the call goes to
 * @param key - the idempotency key, already validated by {@link parseKeyOrigin}
 * @returns the key of the row
 */
export const formatClaimRowKey = (service: shared.ServiceName, key: string): string =>
    `claim/${service}/${crypto.hash("sha256", key, "hex")}`;

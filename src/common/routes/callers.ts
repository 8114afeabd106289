/**
 * Identifies the callers of requests: finds the organisation that holds a caller's key.
 */
import * as crypto from "node:crypto";
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** The organisation that a request counts for, and the key that showed it. */
export interface Caller {
    readonly organisation: types.Organisation;
    readonly key: shared.KeyDigest;
}

/** Statement of another VM that it has identified the caller of a request that it passes on. */
export interface CallerStatement {
    readonly organisation: shared.OrganisationName;
    /** See `computeProof`. */
    readonly proof: string;
}

/** What a request says about its caller. */
export interface CallerClaim {
    readonly requestId: string;
    /** Digests of the keys that the request carries. */
    readonly keys: readonly shared.KeyDigest[];
    /** Undefined for requests of clients. */
    readonly statement: CallerStatement | undefined;
}

/** Why a request has no known caller; a key is ambiguous if several organisations hold it, or a request has several keys. */
export type KeyFault = "missing" | "unknown" | "ambiguous";

export type Identification =
    /** The request needs no key. */
    | { readonly kind: "anonymous" }
    | { readonly kind: "identified"; readonly caller: Caller }
    | { readonly kind: "refused"; readonly fault: KeyFault };

export interface CallerTable {
    /**
     * Checks whether an organisation holds a key, which targets then must not see.
     *
     * @param key - the key's digest
     * @returns true also if several organisations hold it
     */
    isHeld(key: shared.KeyDigest): boolean;
    /**
     * Identifies the caller of a request.
     *
     * @param route - the request's route
     * @param claim - what the request says about its caller
     * @returns the caller, if the request needs one and it is known
     */
    identify(route: types.Route, claim: CallerClaim): Identification;
}

/**
 * Computes what shows another VM that the sender knows a key of the organisation that it names.
 *
 * @param requestId - the request that the statement is about
 * @param key - the digest of the key, in base64url
 * @returns HMAC-SHA256 of the request's id in lower-case hexadecimal
 */
export const computeProof = (requestId: string, key: shared.KeyDigest): string =>
    crypto.createHmac("sha256", Buffer.from(key, "base64url")).update(requestId).digest("hex");

const isSameProof = (left: string, right: string): boolean =>
    left.length === right.length && crypto.timingSafeEqual(Buffer.from(left, "latin1"), Buffer.from(right, "latin1"));

/** Finds the holder of each key; null for a key that identifies nobody, as its holder is not unique or has no name. */
const createHolders = (
    organisations: readonly types.Organisation[],
): ReadonlyMap<shared.KeyDigest, types.Organisation | null> => {
    const holders = new Map<shared.KeyDigest, types.Organisation | null>();
    for (const organisation of organisations) {
        for (const key of organisation.keys) {
            const other = holders.get(key);
            const isUnique = other === undefined || other === organisation;
            holders.set(key, isUnique && organisation.name !== "" ? organisation : null);
        }
    }
    return holders;
};

/**
 * Creates the table of the callers that a configuration knows.
 *
 * @param organisations - all organisations; undefined if callers need no keys
 * @returns the table
 */
export const createCallerTable = (organisations: readonly types.Organisation[] | undefined): CallerTable => {
    const holders = createHolders(organisations ?? []);
    const byName = new Map((organisations ?? []).map(organisation => [organisation.name, organisation]));

    const identifyByKey = (keys: readonly shared.KeyDigest[]): Identification => {
        const [key] = keys;
        if (key === undefined) {
            return { kind: "refused", fault: "missing" };
        }
        const organisation = holders.get(key);
        if (organisation === null || keys.some(other => other !== key)) {
            return { kind: "refused", fault: "ambiguous" };
        }
        return organisation === undefined
            ? { kind: "refused", fault: "unknown" }
            : { kind: "identified", caller: { organisation, key } };
    };

    const verifyStatement = (requestId: string, statement: CallerStatement): Identification => {
        const organisation = byName.get(statement.organisation);
        const key = organisation?.keys.find(
            held => holders.get(held) === organisation && isSameProof(computeProof(requestId, held), statement.proof),
        );
        return organisation === undefined || key === undefined
            ? { kind: "refused", fault: "unknown" }
            : { kind: "identified", caller: { organisation, key } };
    };

    return {
        isHeld: key => holders.has(key),
        identify: (route, { requestId, keys, statement }) => {
            if (organisations === undefined || route.isPublic === true) {
                return { kind: "anonymous" };
            }
            return statement === undefined ? identifyByKey(keys) : verifyStatement(requestId, statement);
        },
    };
};

/**
 * Returns the status of the response to a request without a known caller. Clients never repeat a request after 401, so that
 * a VM which may not know the newest organisations responds with 503.
 *
 * @param fault - why the caller is not known
 * @param view - whether this VM is in touch with the store, and whether another VM has a newer configuration
 * @returns the status
 */
export const pickRefusalStatus = (
    fault: KeyFault,
    view: { readonly isInTouch: boolean; readonly isOutdated: boolean },
): 401 | 503 => (view.isOutdated || (!view.isInTouch && fault !== "missing") ? 503 : 401);

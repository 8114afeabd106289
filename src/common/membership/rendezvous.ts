/**
 * Rendezvous hashing: each key ranks all candidates, so adding or removing one moves only its own keys.
 */
import * as crypto from "node:crypto";

/** Cached hashes by name. SHA-256 takes about a microsecond, so pairs are mixed from the cached hashes instead. */
const hashes = new Map<string, number>();

/** More than the 920 targets, 210 cells and 100 VMs of the largest intended system; a full cache is cleared. */
const maxCachedHashes = 10_000;

/**
 * Computes a 32-bit hash of a name, which is the same in every process.
 *
 * @param name - the name
 * @returns the first four bytes of its SHA-256 digest
 */
export const computeHash = (name: string): number => {
    const known = hashes.get(name);
    if (known !== undefined) {
        return known;
    }
    if (hashes.size >= maxCachedHashes) {
        hashes.clear();
    }
    const hash = crypto.createHash("sha256").update(name).digest().readUInt32LE(0);
    hashes.set(name, hash);
    return hash;
};

/** Finalizer of MurmurHash3, which spreads each input bit over all output bits. */
const mixBits = (value: number): number => {
    let mixed = value ^ (value >>> 16);
    mixed = Math.imul(mixed, 0x85ebca6b);
    mixed ^= mixed >>> 13;
    mixed = Math.imul(mixed, 0xc2b2ae35);
    mixed ^= mixed >>> 16;
    return mixed >>> 0;
};

/**
 * Computes the score of a candidate for a key, which is the same in every process.
 *
 * @param key - the item to assign
 * @param candidate - a possible owner of the item
 * @returns a 32-bit number; the highest score ranks first
 */
export const computeScore = (key: string, candidate: string): number =>
    mixBits(mixBits(computeHash(key)) ^ computeHash(candidate));

/**
 * Lists the candidates with the highest scores for a key.
 *
 * @param key - the item to assign
 * @param candidates - the possible owners of the item
 * @param getId - returns the id of a candidate; equal scores are ordered by id
 * @param count - maximum number of candidates to return
 * @returns the candidates, highest score first
 */
export const listTopCandidates = <T>(
    key: string,
    candidates: readonly T[],
    getId: (candidate: T) => string,
    count: number,
): readonly T[] => {
    const scored = candidates.map(candidate => {
        const id = getId(candidate);
        return { candidate, id, score: computeScore(key, id) };
    });
    scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
    return scored.slice(0, count).map(entry => entry.candidate);
};

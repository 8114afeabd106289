/**
 * Rendezvous hashing: each key ranks all candidates, and a candidate that comes or goes moves only its own keys.
 */
import * as crypto from "node:crypto";

/** Names hashed so far. SHA-256 costs about a microsecond, so each name is hashed once and pairs are mixed cheaply. */
const hashes = new Map<string, number>();

/** Above the 920 targets, 210 cells and 100 VMs of the target size; a full cache is emptied. */
const maxCachedHashes = 10_000;

/**
 * Hashes a name to 32 bits, the same in every process.
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
 * Computes the score of a candidate for a key. It is the same in every process.
 *
 * @param key - what is assigned
 * @param candidate - to whom it may be assigned
 * @returns a 32-bit number; the greatest score wins
 */
export const computeScore = (key: string, candidate: string): number =>
    mixBits(mixBits(computeHash(key)) ^ computeHash(candidate));

/**
 * Lists the candidates with the greatest scores for a key.
 *
 * @param key - what is assigned
 * @param candidates - to whom it may be assigned
 * @param getId - names a candidate; equal scores are ordered by this name
 * @param count - how many to return at most
 * @returns the winners, best first
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

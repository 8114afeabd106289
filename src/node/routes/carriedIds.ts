/**
 * The ids of the requests that a connection has carried.
 */

/** Requests after which the connection is closed; bounds the memory of the record and the time of a search. */
const maxRequests = 1_000;

export interface CarriedIds {
    /**
     * Records a request.
     *
     * @param id - its id; undefined for probes
     */
    record(id: string | undefined): void;
    /**
     * Checks whether the connection may have carried a request.
     *
     * @param id - its id
     * @returns false if it has not; rarely true for another id with the same hash
     */
    has(id: string): boolean;
    /** Whether there was a probe, whose response has no id. */
    hasProbe(): boolean;
    /** Whether no more ids are to be recorded. */
    isFull(): boolean;
}

/** FNV-1a. Ids may be as long as a head, so that the record keeps their hashes only. */
const computeHash = (id: string): number => {
    let hash = 0x811c9dc5;
    for (let index = 0; index < id.length; index++) {
        hash = Math.imul(hash ^ id.charCodeAt(index), 0x01000193);
    }
    return hash;
};

/**
 * Creates the record of a new connection.
 *
 * @returns the record
 */
export const createCarriedIds = (): CarriedIds => {
    const hashes: number[] = [];
    let hasProbe = false;
    return {
        record: id => {
            if (id === undefined) {
                hasProbe = true;
            } else {
                hashes.push(computeHash(id));
            }
        },
        has: id => hashes.includes(computeHash(id)),
        hasProbe: () => hasProbe,
        isFull: () => hashes.length >= maxRequests,
    };
};

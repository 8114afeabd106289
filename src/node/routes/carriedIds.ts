/**
 * The ids of the requests that a connection has carried.
 */

/** Bytes of ids after which the connection is closed. */
const maxBytes = 16 * 1024;

export interface CarriedIds {
    /**
     * Records a request.
     *
     * @param id - its id; undefined for probes
     */
    record(id: string | undefined): void;
    has(id: string): boolean;
    /** Whether no more ids are to be recorded. */
    isFull(): boolean;
}

/**
 * Creates the record of a new connection.
 *
 * @returns the record
 */
export const createCarriedIds = (): CarriedIds => {
    const ids = new Set<string>();
    let bytes = 0;
    return {
        record: id => {
            if (id !== undefined) {
                ids.add(id);
                bytes += id.length;
            }
        },
        has: id => ids.has(id),
        isFull: () => bytes >= maxBytes,
    };
};

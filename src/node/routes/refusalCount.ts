/**
 * Counts the attempts of one request that targets did not run, and bounds them.
 */

/** A request is refused after this many targets have refused it; the others are usually full, too. */
const maxRefusals = 2;
/** Each such attempt costs a way to the target and back, and draws on the retry budget. */
const maxMisdirections = 4;

export interface RefusalCount {
    /**
     * Records an attempt that was not run.
     *
     * @param isMisdirected - whether another target has responded, which says nothing about free slots
     */
    record(isMisdirected: boolean): void;
    /** Number of attempts that were not run. */
    count(): number;
    /** Whether the request may be offered to another target. */
    mayGoOn(): boolean;
}

/**
 * Creates the count of a new request.
 *
 * @returns the count
 */
export const createRefusalCount = (): RefusalCount => {
    let refusals = 0;
    let misdirections = 0;
    return {
        record: isMisdirected => {
            refusals += isMisdirected ? 0 : 1;
            misdirections += isMisdirected ? 1 : 0;
        },
        count: () => refusals + misdirections,
        mayGoOn: () => refusals < maxRefusals && misdirections < maxMisdirections,
    };
};

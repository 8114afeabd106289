/**
 * Selection of the load changes that are worth a message.
 */
import * as types from "./Types.js";

/** The number of binary digits: a value has to double or halve to change its bucket for certain. */
const computeBucket = (value: number): number => 32 - Math.clz32(value);

/** The longest deadline of a call. A cell without capacity has an endless wait, which JSON cannot express. */
const longestWaitMs = 600_000;

/**
 * Prepares the loads of the cells that this entry VM owns for sending.
 *
 * @param loads - the loads as measured
 * @returns the loads in whole numbers, ordered by cell
 */
export const toPublishedLoads = (loads: readonly types.CellLoad[]): readonly types.PublishedLoad[] =>
    loads
        .map(load => ({
            cell: load.cell,
            freeSlots: Math.max(0, Math.round(load.freeSlots)),
            queued: Math.max(0, Math.round(load.queued)),
            expectedWaitMs: Math.min(longestWaitMs, Math.max(0, Math.round(load.expectedWaitMs))),
        }))
        .sort((a, b) => (a.cell < b.cell ? -1 : 1));

/**
 * Tells whether loads differ enough from the ones sent last.
 *
 * Free slots and waits change with every call. Spill-over compares waits between cells, for which the order of magnitude
 * is enough.
 *
 * @param published - the loads sent last
 * @param current - the loads now
 * @returns true if a cell came or went, or a number moved to another power of two
 */
export const hasChangedMuch = (
    published: readonly types.PublishedLoad[],
    current: readonly types.PublishedLoad[],
): boolean => {
    if (published.length !== current.length) {
        return true;
    }
    return current.some((load, index) => {
        const before = published[index];
        return (
            before === undefined ||
            before.cell !== load.cell ||
            computeBucket(before.freeSlots) !== computeBucket(load.freeSlots) ||
            computeBucket(before.queued) !== computeBucket(load.queued) ||
            computeBucket(before.expectedWaitMs) !== computeBucket(load.expectedWaitMs)
        );
    });
};

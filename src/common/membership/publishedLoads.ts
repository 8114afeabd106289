/**
 * Compact encoding of the loads of an owner's cells.
 *
 * A load takes five bytes: two for the index of the cell in the configuration, and one each for the free slots, the
 * queue and the wait, on a logarithmic scale with steps of 9 %. That is precise enough to compare waits for spill-over.
 */
import * as config from "../config/Types.js";
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as types from "./Types.js";

const bytesPerLoad = 5;
const stepsPerDoubling = 8;
const maxStep = 255;

const cellLists = new WeakMap<config.Configuration, readonly shared.CellId[]>();

/**
 * Lists the cells of a configuration in the same order on every entry VM.
 *
 * @param configuration - the configuration
 * @returns all cells, including those out of service
 */
export const listCells = (configuration: config.Configuration): readonly shared.CellId[] => {
    const known = cellLists.get(configuration);
    if (known !== undefined) {
        return known;
    }
    const cells = new Set<shared.CellId>();
    for (const service of configuration.services.values()) {
        service.targets.forEach(target => cells.add(ids.toCellId(service.service, target.zone)));
    }
    const sorted = [...cells].sort();
    cellLists.set(configuration, sorted);
    return sorted;
};

const toLogStep = (value: number): number =>
    Math.min(maxStep, Math.round(stepsPerDoubling * Math.log2(1 + Math.max(0, value))));

const fromLogStep = (step: number): number => Math.round(2 ** (step / stepsPerDoubling) - 1);

/**
 * Formats loads for a message.
 *
 * @param configuration - the configuration in use; the reader needs the same one
 * @param loads - the measured loads
 * @returns the loads in Base64, in the order of the cells
 */
export const formatLoads = (configuration: config.Configuration, loads: readonly types.CellLoad[]): string => {
    const indexes = new Map(listCells(configuration).map((cell, index) => [cell, index]));
    const entries = loads
        .map(load => ({ load, index: indexes.get(load.cell) }))
        .filter((entry): entry is { load: types.CellLoad; index: number } => entry.index !== undefined)
        .sort((a, b) => a.index - b.index);
    const buffer = Buffer.alloc(entries.length * bytesPerLoad);
    entries.forEach(({ load, index }, position) => {
        const offset = buffer.writeUInt16LE(index, position * bytesPerLoad);
        buffer[offset] = toLogStep(load.freeSlots);
        buffer[offset + 1] = toLogStep(load.queued);
        buffer[offset + 2] = toLogStep(load.expectedWaitMs);
    });
    return buffer.toString("base64");
};

/**
 * Reads loads from a message.
 *
 * @param configuration - the configuration with which they were formatted
 * @param text - the result of {@link formatLoads}
 * @returns the loads of the cells that the configuration has
 */
export const parseLoads = (configuration: config.Configuration, text: string): readonly types.PublishedLoad[] => {
    const cells = listCells(configuration);
    const buffer = Buffer.from(text, "base64");
    const loads: types.PublishedLoad[] = [];
    for (let offset = 0; offset + bytesPerLoad <= buffer.length; offset += bytesPerLoad) {
        const cell = cells[buffer.readUInt16LE(offset)];
        if (cell !== undefined) {
            loads.push({
                cell,
                freeSlots: fromLogStep(buffer[offset + 2] ?? 0),
                queued: fromLogStep(buffer[offset + 3] ?? 0),
                expectedWaitMs: fromLogStep(buffer[offset + 4] ?? 0),
            });
        }
    }
    return loads;
};

/**
 * Checks whether loads differ enough from the last published ones to be published again. Free slots and waits change
 * slightly with every call.
 *
 * @param published - the encoded loads that were published last
 * @param current - the current loads in encoded form
 * @returns true if a cell was added or removed, or a value changed to or from zero or by a factor of about two
 */
export const hasSignificantChange = (published: string, current: string): boolean => {
    if (published === current) {
        return false;
    }
    const before = Buffer.from(published, "base64");
    const after = Buffer.from(current, "base64");
    if (before.length !== after.length) {
        return true;
    }
    return after.some((step, position) => {
        const old = before[position] ?? 0;
        const isIndex = position % bytesPerLoad < 2;
        return old !== step && (isIndex || old === 0 || step === 0 || Math.abs(step - old) >= stepsPerDoubling);
    });
};

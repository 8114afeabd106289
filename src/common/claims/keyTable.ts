/**
 * In-memory table of the arbiter: key states by epoch, and responses stored for replay.
 */
import * as arbiter from "./arbiter.js";
import * as packedKeys from "./packedKeys.js";
import * as types from "./Types.js";

/** Maximum size of a stored response, headers included. */
export const maxKeptResponseBytes = 64 * 1024;

// Memory of the objects, strings and table slot for one stored response or header; V8 object sizes, rounded up.
const responseOverheadBytes = 256;
const headerOverheadBytes = 96;

export interface KeyTableLimits {
    readonly maxKeys: number;
    readonly keptAnswerBytes: number;
}

export interface KeyTable {
    /** Returns the state of a key whose epoch is known. */
    get(epoch: number, key: types.KeyId): types.KeyState;
    /** Returns the epoch under which a key is stored, or undefined if it is absent. */
    findEpoch(key: types.KeyId): number | undefined;
    /** Stores the state of a key; `notRun` removes the key. */
    set(epoch: number, key: types.KeyId, state: types.KeyState): void;
    hasRoom(): boolean;
    /** Stores a response if it is small enough, and evicts the oldest ones beyond the byte limit. */
    addResponse(epoch: number, key: types.KeyId, response: types.KeptResponse): void;
    findResponse(key: types.KeyId): types.KeptResponse | undefined;
    /** Removes all keys of epochs before `epoch` and returns their number. */
    removeEpochsBefore(epoch: number): number;
    measure(): { readonly keys: number; readonly keptBytes: number };
}

/**
 * Computes the memory that a stored response takes.
 *
 * @param response - the response
 * @returns the size in bytes, including the estimated object overhead
 */
export const computeResponseBytes = (response: types.KeptResponse): number => {
    let bytes = responseOverheadBytes + (response.body?.byteLength ?? 0);
    for (const [name, value] of response.headers) {
        bytes += headerOverheadBytes + name.length + value.length;
    }
    return bytes;
};

/** Keys of one epoch. */
interface EpochKeys {
    /** Running keys, and ended keys that do not fit the packed format. */
    readonly unpacked: Map<types.KeyId, types.KeyState>;
    readonly packed: packedKeys.PackedKeys;
}

interface StoredResponse {
    readonly epoch: number;
    readonly response: types.KeptResponse;
}

/**
 * Creates an empty table.
 *
 * @param limits - limits on the number of keys and on the bytes of stored responses
 * @returns the table
 */
export const createKeyTable = (limits: KeyTableLimits): KeyTable => {
    const epochs = new Map<number, EpochKeys>();
    // A Map iterates in insertion order, so the first entry is the oldest.
    const responses = new Map<types.KeyId, StoredResponse>();
    let keyCount = 0;
    let keptBytes = 0;

    const removeResponse = (key: types.KeyId): void => {
        const stored = responses.get(key);
        if (stored === undefined) {
            return;
        }
        keptBytes -= computeResponseBytes(stored.response);
        responses.delete(key);
    };

    const getEpochKeys = (epoch: number): EpochKeys => {
        const found = epochs.get(epoch);
        if (found !== undefined) {
            return found;
        }
        const created: EpochKeys = { unpacked: new Map(), packed: packedKeys.createPackedKeys() };
        epochs.set(epoch, created);
        return created;
    };

    const getState = (keys: EpochKeys | undefined, key: types.KeyId): types.KeyState =>
        keys?.unpacked.get(key) ?? keys?.packed.get(key) ?? arbiter.notRunState;

    return {
        get: (epoch, key) => getState(epochs.get(epoch), key),
        findEpoch: key => {
            for (const [epoch, keys] of epochs) {
                if (getState(keys, key).kind !== "notRun") {
                    return epoch;
                }
            }
            return undefined;
        },
        set: (epoch, key, state) => {
            const keys = getEpochKeys(epoch);
            const countBefore = countKeys(keys);
            keys.unpacked.delete(key);
            setState(keys, key, state);
            keyCount += countKeys(keys) - countBefore;
        },
        hasRoom: () => keyCount < limits.maxKeys,
        addResponse: (epoch, key, response) => {
            const bytes = computeResponseBytes(response);
            if (response.body === undefined || bytes > maxKeptResponseBytes + responseOverheadBytes) {
                return;
            }
            removeResponse(key);
            responses.set(key, { epoch, response: { ...response, body: toOwnBytes(response.body) } });
            keptBytes += bytes;
            for (const oldest of responses.keys()) {
                if (keptBytes <= limits.keptAnswerBytes) {
                    break;
                }
                removeResponse(oldest);
            }
        },
        findResponse: key => responses.get(key)?.response,
        removeEpochsBefore: epoch => {
            const countBefore = keyCount;
            for (const [key, stored] of responses) {
                if (stored.epoch < epoch) {
                    removeResponse(key);
                }
            }
            for (const [stored, keys] of epochs) {
                if (stored < epoch) {
                    keyCount -= countKeys(keys);
                    epochs.delete(stored);
                }
            }
            return countBefore - keyCount;
        },
        measure: () => ({ keys: keyCount, keptBytes }),
    };
};

// Copies a view of a larger buffer, because it would keep the whole buffer in memory.
const toOwnBytes = (body: Uint8Array): Uint8Array =>
    body.byteLength < body.buffer.byteLength ? new Uint8Array(body) : body;

const countKeys = (keys: EpochKeys): number => keys.unpacked.size + keys.packed.count();

const setState = (keys: EpochKeys, key: types.KeyId, state: types.KeyState): void => {
    switch (state.kind) {
        case "notRun":
            return;
        case "running":
            keys.unpacked.set(key, state);
            return;
        case "done":
        case "mayHaveRun":
            if (!keys.packed.add(key, state)) {
                keys.unpacked.set(key, state);
            }
            return;
    }
};

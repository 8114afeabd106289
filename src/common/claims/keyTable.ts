/**
 * Memory of the arbiter: the states of keys by epoch, and the answers kept for resends.
 */
import * as arbiter from "./arbiter.js";
import * as packedKeys from "./packedKeys.js";
import * as types from "./Types.js";

/** Largest answer that is kept, headers included. */
export const maxKeptAnswerBytes = 64 * 1024;

// Objects, strings and the table slot around one kept answer or header; rounded up from the sizes of V8 objects.
const answerOverheadBytes = 256;
const headerOverheadBytes = 96;

export interface KeyTableLimits {
    readonly maxKeys: number;
    readonly keptAnswerBytes: number;
}

export interface KeyTable {
    /** State of a key of a known epoch. */
    get(epoch: number, key: types.KeyId): types.KeyState;
    /** Epoch under which a key is stored, or undefined if the table does not hold it. */
    findEpoch(key: types.KeyId): number | undefined;
    /** Stores a state; `notRun` removes the key. */
    set(epoch: number, key: types.KeyId, state: types.KeyState): void;
    hasRoom(): boolean;
    /** Keeps an answer if it is small enough, and drops the oldest ones beyond the byte limit. */
    addAnswer(epoch: number, key: types.KeyId, answer: types.KeptAnswer): void;
    findAnswer(key: types.KeyId): types.KeptAnswer | undefined;
    /** Forgets all keys of epochs before `epoch` and returns how many these were. */
    removeBefore(epoch: number): number;
    measure(): { readonly keys: number; readonly keptBytes: number };
}

/**
 * Computes the memory that a kept answer takes.
 *
 * @param answer - the answer
 * @returns bytes, with an allowance for the objects around the content
 */
export const computeAnswerBytes = (answer: types.KeptAnswer): number => {
    let bytes = answerOverheadBytes + (answer.body?.byteLength ?? 0);
    for (const [name, value] of answer.headers) {
        bytes += headerOverheadBytes + name.length + value.length;
    }
    return bytes;
};

/** Keys of one epoch. */
interface EpochKeys {
    /** Keys that run, and ended ones that do not fit the packed format. */
    readonly running: Map<types.KeyId, types.KeyState>;
    readonly ended: packedKeys.PackedKeys;
}

interface StoredAnswer {
    readonly epoch: number;
    readonly answer: types.KeptAnswer;
}

/**
 * Creates an empty table.
 *
 * @param limits - bounds in keys and in bytes of answers
 * @returns the table
 */
export const createKeyTable = (limits: KeyTableLimits): KeyTable => {
    const epochs = new Map<number, EpochKeys>();
    // In the order of insertion, so the first one is the oldest.
    const answers = new Map<types.KeyId, StoredAnswer>();
    let keyCount = 0;
    let keptBytes = 0;

    const removeAnswer = (key: types.KeyId): void => {
        const stored = answers.get(key);
        if (stored === undefined) {
            return;
        }
        keptBytes -= computeAnswerBytes(stored.answer);
        answers.delete(key);
    };

    const getEpoch = (epoch: number): EpochKeys => {
        const found = epochs.get(epoch);
        if (found !== undefined) {
            return found;
        }
        const created: EpochKeys = { running: new Map(), ended: packedKeys.createPackedKeys() };
        epochs.set(epoch, created);
        return created;
    };

    const getState = (keys: EpochKeys | undefined, key: types.KeyId): types.KeyState =>
        keys?.running.get(key) ?? keys?.ended.get(key) ?? arbiter.notRunState;

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
            const keys = getEpoch(epoch);
            const countBefore = countKeys(keys);
            keys.running.delete(key);
            setState(keys, key, state);
            keyCount += countKeys(keys) - countBefore;
        },
        hasRoom: () => keyCount < limits.maxKeys,
        addAnswer: (epoch, key, answer) => {
            const bytes = computeAnswerBytes(answer);
            if (answer.body === undefined || bytes > maxKeptAnswerBytes + answerOverheadBytes) {
                return;
            }
            removeAnswer(key);
            answers.set(key, { epoch, answer: { ...answer, body: toOwnBytes(answer.body) } });
            keptBytes += bytes;
            for (const oldest of answers.keys()) {
                if (keptBytes <= limits.keptAnswerBytes) {
                    break;
                }
                removeAnswer(oldest);
            }
        },
        findAnswer: key => answers.get(key)?.answer,
        removeBefore: epoch => {
            const countBefore = keyCount;
            for (const [key, stored] of answers) {
                if (stored.epoch < epoch) {
                    removeAnswer(key);
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

// A view would keep the whole buffer in memory that it is a part of.
const toOwnBytes = (body: Uint8Array): Uint8Array =>
    body.byteLength < body.buffer.byteLength ? new Uint8Array(body) : body;

const countKeys = (keys: EpochKeys): number => keys.running.size + keys.ended.count();

const setState = (keys: EpochKeys, key: types.KeyId, state: types.KeyState): void => {
    switch (state.kind) {
        case "notRun":
            return;
        case "running":
            keys.running.set(key, state);
            return;
        case "done":
        case "mayHaveRun":
            if (!keys.ended.add(key, state)) {
                keys.running.set(key, state);
            }
            return;
    }
};

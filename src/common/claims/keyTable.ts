/**
 * Memory of the arbiter: the states of keys by epoch, and the answers kept for resends.
 */
import * as arbiter from "./arbiter.js";
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
    addAnswer(key: types.KeyId, answer: types.KeptAnswer): void;
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

/**
 * Creates an empty table.
 *
 * @param limits - bounds in keys and in bytes of answers
 * @returns the table
 */
export const createKeyTable = (limits: KeyTableLimits): KeyTable => {
    const epochs = new Map<number, Map<types.KeyId, types.KeyState>>();
    // In the order of insertion, so the first one is the oldest.
    const answers = new Map<types.KeyId, types.KeptAnswer>();
    let keyCount = 0;
    let keptBytes = 0;

    const removeAnswer = (key: types.KeyId): void => {
        const answer = answers.get(key);
        if (answer === undefined) {
            return;
        }
        keptBytes -= computeAnswerBytes(answer);
        answers.delete(key);
    };

    const removeKey = (epoch: number, key: types.KeyId): void => {
        if (epochs.get(epoch)?.delete(key) === true) {
            keyCount--;
        }
    };

    const removeEpoch = (epoch: number, keys: ReadonlyMap<types.KeyId, types.KeyState>): void => {
        for (const key of keys.keys()) {
            removeAnswer(key);
        }
        keyCount -= keys.size;
        epochs.delete(epoch);
    };

    return {
        get: (epoch, key) => epochs.get(epoch)?.get(key) ?? arbiter.notRunState,
        findEpoch: key => {
            for (const [epoch, keys] of epochs) {
                if (keys.has(key)) {
                    return epoch;
                }
            }
            return undefined;
        },
        set: (epoch, key, state) => {
            if (state.kind === "notRun") {
                removeKey(epoch, key);
                return;
            }
            let keys = epochs.get(epoch);
            if (keys === undefined) {
                keys = new Map();
                epochs.set(epoch, keys);
            }
            keyCount += keys.has(key) ? 0 : 1;
            keys.set(key, state);
        },
        hasRoom: () => keyCount < limits.maxKeys,
        addAnswer: (key, answer) => {
            const bytes = computeAnswerBytes(answer);
            if (answer.body === undefined || bytes > maxKeptAnswerBytes + answerOverheadBytes) {
                return;
            }
            removeAnswer(key);
            answers.set(key, answer);
            keptBytes += bytes;
            for (const oldest of answers.keys()) {
                if (keptBytes <= limits.keptAnswerBytes) {
                    break;
                }
                removeAnswer(oldest);
            }
        },
        findAnswer: key => answers.get(key),
        removeBefore: epoch => {
            const countBefore = keyCount;
            for (const [stored, keys] of epochs) {
                if (stored < epoch) {
                    removeEpoch(stored, keys);
                }
            }
            return countBefore - keyCount;
        },
        measure: () => ({ keys: keyCount, keptBytes }),
    };
};

/**
 * Open-addressing hash table of ended keys in one typed array. It takes 30 to 46 bytes per key, a map of objects about
 * 158, which matters at 200,000 keys in a 64 MB daemon. Keys are never removed: the table is dropped with its epoch.
 */
import * as errorTable from "../errors/errorTable.js";
import * as errors from "../errors/Types.js";
import * as types from "./Types.js";

type EndedState = Extract<types.KeyState, { kind: "done" | "mayHaveRun" }>;

export interface PackedKeys {
    count(): number;
    get(key: types.KeyId): EndedState | undefined;
    /** Adds a key; returns false if the key or its state does not fit the packed format. */
    add(key: types.KeyId, state: EndedState): boolean;
}

/** Size in bytes of a key identifier and of a signature, before base64url encoding. */
export const keyIdBytes = 16;
export const signatureBytes = 6;

// Layout of a slot: 16 bytes of key, 6 bytes of signature, 2 bits of kind and 14 bits of detail. Kind 0 is a free slot.
const wordsPerSlot = 6;
const wordsPerKey = keyIdBytes / 4;
const endOffset = keyIdBytes + signatureBytes;
const doneKind = 1;
const mayHaveRunKind = 2;
const detailBits = 14;
const maxDetail = (1 << detailBits) - 1;

const initialSlotCount = 16;
const growthFactor = 1.5;
const maxLoadFactor = 0.8;

const errorKinds = Object.keys(errorTable.errorTable) as errors.ErrorKind[];

// Scratch slot shared by all conversions, which are synchronous: words to compare and copy, bytes to encode.
const scratchSlot = new Uint32Array(wordsPerSlot);
const scratchBytes = Buffer.from(scratchSlot.buffer);

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export const createPackedKeys = (): PackedKeys => {
    let slotCount = initialSlotCount;
    let words = new Uint32Array(slotCount * wordsPerSlot);
    let count = 0;

    // Returns the offset of the slot that holds the key at `source[from]`, or of the free slot where it belongs.
    const findOffset = (source: Uint32Array, from: number): number => {
        let index = source[from]! % slotCount;
        for (;;) {
            const offset = index * wordsPerSlot;
            if (isFree(words, offset) || isSameKey(words, offset, source, from)) {
                return offset;
            }
            index = index + 1 === slotCount ? 0 : index + 1;
        }
    };

    const grow = (): void => {
        const oldWords = words;
        slotCount = Math.ceil(slotCount * growthFactor);
        words = new Uint32Array(slotCount * wordsPerSlot);
        for (let offset = 0; offset < oldWords.length; offset += wordsPerSlot) {
            if (!isFree(oldWords, offset)) {
                words.set(oldWords.subarray(offset, offset + wordsPerSlot), findOffset(oldWords, offset));
            }
        }
    };

    return {
        count: () => count,
        get: key => {
            if (!writeKey(key)) {
                return undefined;
            }
            const offset = findOffset(scratchSlot, 0);
            return isFree(words, offset) ? undefined : readState(words, offset);
        },
        add: (key, state) => {
            if (count + 1 > slotCount * maxLoadFactor) {
                grow();
            }
            if (!writeKey(key) || !writeState(state)) {
                return false;
            }
            const offset = findOffset(scratchSlot, 0);
            count += isFree(words, offset) ? 1 : 0;
            words.set(scratchSlot, offset);
            return true;
        },
    };
};

// Independent of byte order: the last word of a free slot is zero, that of an occupied slot never is.
const isFree = (words: Uint32Array, offset: number): boolean => words[offset + wordsPerSlot - 1] === 0;

const isSameKey = (words: Uint32Array, offset: number, otherWords: Uint32Array, from: number): boolean => {
    for (let word = 0; word < wordsPerKey; word++) {
        if (words[offset + word] !== otherWords[from + word]) {
            return false;
        }
    }
    return true;
};

const writeKey = (key: types.KeyId): boolean => scratchBytes.write(key, 0, "base64url") === keyIdBytes;

const writeState = (state: EndedState): boolean => {
    const end = toEndBits(state);
    if (end === undefined || scratchBytes.write(state.signature, keyIdBytes, "base64url") !== signatureBytes) {
        return false;
    }
    // A signature that is not canonical base64url would be read back changed.
    if (scratchBytes.toString("base64url", keyIdBytes, endOffset) !== state.signature) {
        return false;
    }
    scratchBytes.writeUInt16LE(end, endOffset);
    return true;
};

const toEndBits = (state: EndedState): number | undefined => {
    switch (state.kind) {
        case "done":
            return Number.isInteger(state.status) && state.status >= 0 && state.status <= maxDetail
                ? (doneKind << detailBits) | state.status
                : undefined;
        case "mayHaveRun":
            return (mayHaveRunKind << detailBits) | errorKinds.indexOf(state.error);
    }
};

const readState = (words: Uint32Array, offset: number): EndedState => {
    scratchSlot.set(words.subarray(offset, offset + wordsPerSlot));
    const signature = scratchBytes.toString("base64url", keyIdBytes, endOffset) as types.RequestSignature;
    const end = scratchBytes.readUInt16LE(endOffset);
    const detail = end & maxDetail;
    if (end >>> detailBits === doneKind) {
        return { kind: "done", signature, status: detail };
    }
    return { kind: "mayHaveRun", signature, error: errorKinds[detail]! };
};

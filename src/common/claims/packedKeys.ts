/**
 * Ended keys in one typed array. A map of objects takes about 158 bytes for each key, this one 30 to 46, which matters
 * at 200,000 keys in a daemon of 64 MB. Keys are only added: the whole table is dropped with its epoch.
 */
import * as errorTable from "../errors/errorTable.js";
import * as errors from "../errors/Types.js";
import * as types from "./Types.js";

type EndedState = Extract<types.KeyState, { kind: "done" | "mayHaveRun" }>;

export interface PackedKeys {
    count(): number;
    get(key: types.KeyId): EndedState | undefined;
    /** Returns false if the key or the state does not fit the format. */
    add(key: types.KeyId, state: EndedState): boolean;
}

/** Bytes of a key identifier, and of a signature, before their encoding as base64url. */
export const keyIdBytes = 16;
export const signatureBytes = 6;

// A slot: 16 bytes of key, 6 bytes of signature, 2 bits of kind and 14 bits of detail. Kind 0 is a free slot.
const slotWords = 6;
const keyWords = keyIdBytes / 4;
const endOffset = keyIdBytes + signatureBytes;
const doneKind = 1;
const mayHaveRunKind = 2;
const detailBits = 14;
const maxDetail = (1 << detailBits) - 1;

const initialSlots = 16;
const growth = 1.5;
const maxLoad = 0.8;

const errorKinds = Object.keys(errorTable.errorTable) as errors.ErrorKind[];

// One slot for all conversions, which are synchronous: as words to compare and copy, as bytes to encode.
const slot = new Uint32Array(slotWords);
const slotBytes = Buffer.from(slot.buffer);

/**
 * Creates an empty table.
 *
 * @returns the table
 */
export const createPackedKeys = (): PackedKeys => {
    let slots = initialSlots;
    let words = new Uint32Array(slots * slotWords);
    let count = 0;

    // Returns the position of the slot of the key at `from`, or of the free slot where it belongs.
    const findOffset = (source: Uint32Array, from: number): number => {
        let index = source[from]! % slots;
        for (;;) {
            const offset = index * slotWords;
            if (isFree(words, offset) || isSameKey(words, offset, source, from)) {
                return offset;
            }
            index = index + 1 === slots ? 0 : index + 1;
        }
    };

    const grow = (): void => {
        const old = words;
        slots = Math.ceil(slots * growth);
        words = new Uint32Array(slots * slotWords);
        for (let offset = 0; offset < old.length; offset += slotWords) {
            if (!isFree(old, offset)) {
                words.set(old.subarray(offset, offset + slotWords), findOffset(old, offset));
            }
        }
    };

    return {
        count: () => count,
        get: key => {
            if (!writeKey(key)) {
                return undefined;
            }
            const offset = findOffset(slot, 0);
            return isFree(words, offset) ? undefined : readState(words, offset);
        },
        add: (key, state) => {
            if (count + 1 > slots * maxLoad) {
                grow();
            }
            if (!writeKey(key) || !writeState(state)) {
                return false;
            }
            const offset = findOffset(slot, 0);
            count += isFree(words, offset) ? 1 : 0;
            words.set(slot, offset);
            return true;
        },
    };
};

// Works for either byte order, because a free slot is all zeros and an ended state never is.
const isFree = (words: Uint32Array, offset: number): boolean => words[offset + slotWords - 1] === 0;

const isSameKey = (words: Uint32Array, offset: number, other: Uint32Array, from: number): boolean => {
    for (let word = 0; word < keyWords; word++) {
        if (words[offset + word] !== other[from + word]) {
            return false;
        }
    }
    return true;
};

const writeKey = (key: types.KeyId): boolean => slotBytes.write(key, 0, "base64url") === keyIdBytes;

const writeState = (state: EndedState): boolean => {
    const end = toEndBits(state);
    if (end === undefined || slotBytes.write(state.signature, keyIdBytes, "base64url") !== signatureBytes) {
        return false;
    }
    // A text that is not the canonical encoding would come back changed.
    if (slotBytes.toString("base64url", keyIdBytes, endOffset) !== state.signature) {
        return false;
    }
    slotBytes.writeUInt16LE(end, endOffset);
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
    slot.set(words.subarray(offset, offset + slotWords));
    const signature = slotBytes.toString("base64url", keyIdBytes, endOffset) as types.RequestSignature;
    const end = slotBytes.readUInt16LE(endOffset);
    const detail = end & maxDetail;
    if (end >>> detailBits === doneKind) {
        return { kind: "done", signature, status: detail };
    }
    return { kind: "mayHaveRun", signature, error: errorKinds[detail]! };
};

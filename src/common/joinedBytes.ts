/**
 * Collects bytes that arrive in pieces. What is held grows with the bytes and not with the number of pieces, as a piece of one
 * byte would be held as an object of its own, together with all bytes that it arrived with.
 */

/** Smaller pieces are copied; a larger one is held as it is, with at most four times its size. */
const minHeldPieceBytes = 16 * 1024;
const firstBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;

export interface JoinedBytes {
    /** Adds a piece, which must not be changed afterwards. */
    add(piece: Buffer): void;
    /** Number of bytes that are held. */
    count(): number;
    /** Returns the bytes, and holds none afterwards. */
    take(): Buffer;
    /** Drops the bytes. */
    drop(): void;
}

/**
 * Creates an empty collection.
 *
 * @returns the collection
 */
export const createJoinedBytes = (): JoinedBytes => {
    let parts: Buffer[] = [];
    let block: Buffer | undefined;
    let blockUsed = 0;
    let nextBlockBytes = firstBlockBytes;
    let total = 0;

    const closeBlock = (): void => {
        if (block !== undefined) {
            parts.push(block.subarray(0, blockUsed));
        }
        block = undefined;
        blockUsed = 0;
    };

    const addCopy = (piece: Buffer): void => {
        if (block === undefined || blockUsed + piece.length > block.length) {
            closeBlock();
            block = Buffer.allocUnsafe(Math.max(piece.length, nextBlockBytes));
            nextBlockBytes = Math.min(maxBlockBytes, 2 * nextBlockBytes);
        }
        piece.copy(block, blockUsed);
        blockUsed += piece.length;
    };

    const drop = (): void => {
        parts = [];
        block = undefined;
        blockUsed = 0;
        nextBlockBytes = firstBlockBytes;
        total = 0;
    };

    return {
        add: piece => {
            total += piece.length;
            if (piece.length < minHeldPieceBytes) {
                addCopy(piece);
            } else {
                closeBlock();
                parts.push(piece);
            }
        },
        count: () => total,
        take: () => {
            closeBlock();
            const [first, ...others] = parts;
            const joined = first !== undefined && others.length === 0 ? first : Buffer.concat(parts);
            drop();
            return joined;
        },
        drop,
    };
};

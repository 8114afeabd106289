/**
 * Collects copies of the bytes that arrive in pieces, so that nothing else of what they arrived with is held. If their number is
 * known before, they are collected in one block: joining several of them takes their size twice for a moment. A block costs
 * nothing where it has not been written to.
 */

const firstBlockBytes = 1024;
const maxBlockBytes = 1024 * 1024;

export interface GrowingBytes {
    /** Adds a copy of a piece. */
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
 * @param expectedBytes - number of bytes that will come; undefined if not known
 * @returns the collection
 */
export const createGrowingBytes = (expectedBytes: number | undefined): GrowingBytes => {
    let full: Buffer[] = [];
    let block: Buffer = Buffer.alloc(0);
    let used = 0;
    let nextBlockBytes = expectedBytes ?? firstBlockBytes;
    let total = 0;

    const drop = (): void => {
        full = [];
        block = Buffer.alloc(0);
        used = 0;
        total = 0;
    };
    const openBlock = (): void => {
        if (used > 0) {
            full.push(block);
        }
        block = Buffer.allocUnsafeSlow(Math.max(nextBlockBytes, firstBlockBytes));
        used = 0;
        nextBlockBytes = Math.min(maxBlockBytes, 2 * block.length);
    };

    return {
        add: piece => {
            for (let copied = 0; copied < piece.length;) {
                if (used === block.length) {
                    openBlock();
                }
                const bytes = piece.copy(block, used, copied);
                copied += bytes;
                used += bytes;
            }
            total += piece.length;
        },
        count: () => total,
        take: () => {
            const last = block.subarray(0, used);
            if (full.length === 0) {
                drop();
                return last;
            }
            const joined = Buffer.concat([...full, last]);
            drop();
            return joined;
        },
        drop,
    };
};

/**
 * Keeps the texts of sections by digest and fetches missing ones from the object store or from peers.
 */
import * as crypto from "node:crypto";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as peers from "../peers/Types.js";
import * as platform from "../platform/Types.js";
import * as timeouts from "./timeouts.js";

/** Timeout for the object store or for one peer; either may not respond at all. */
const sourceTimeoutMs = 2000;

/** Limits the load on the object store when many VMs restart at the same time. */
const maxConcurrentReads = 8;

/** Maximum number of peers asked per fetch of a head. */
const maxPeers = 3;

export interface SectionStore {
    /** Adds a text; a text that does not match the digest is discarded. */
    add(digest: shared.Digest, text: string): void;
    get(digest: shared.Digest): string | undefined;
    /**
     * Fetches the texts of a head that are not in memory.
     *
     * @param head - the head whose sections are needed
     * @param listPeers - control addresses of peers that may have the texts, best first
     * @param isStillNeeded - returns false once the result is no longer needed
     * @returns the digests that are still missing
     */
    fetch(
        head: config.ConfigHead,
        listPeers: () => readonly shared.Address[],
        isStillNeeded: () => boolean,
    ): Promise<readonly shared.Digest[]>;
    /** Removes all texts that none of the heads refers to. */
    removeUnused(heads: readonly (config.ConfigHead | undefined)[]): void;
}

export interface SectionStoreOptions {
    readonly objects: platform.ObjectStore;
    readonly rpcClient: peers.RpcClient;
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
}

const computeDigest = (text: string): string => crypto.createHash("sha256").update(text, "utf8").digest("hex");

/**
 * Creates an empty section store.
 *
 * @param options - sources of texts, timers and the log
 * @returns the store
 */
export const createSectionStore = (options: SectionStoreOptions): SectionStore => {
    const { objects, rpcClient, scheduler, logger } = options;
    const texts = new Map<shared.Digest, string>();

    const add = (digest: shared.Digest, text: string): void => {
        if (computeDigest(text) !== digest) {
            logger.warn("config: discarded a section whose text does not match its digest", { digest });
            return;
        }
        texts.set(digest, text);
    };

    const listMissing = (head: config.ConfigHead): readonly shared.Digest[] =>
        [...new Set(Object.values(head.sections))].filter(digest => !texts.has(digest));

    /** Returns false if the object store is unavailable, so that further reads are pointless. */
    const readObject = async (digest: shared.Digest): Promise<boolean> => {
        const result = await timeouts.waitWithTimeout(scheduler, objects.get(digest), sourceTimeoutMs);
        if (result?.kind === "found") {
            add(digest, result.content);
        }
        return result !== undefined && result.kind !== "unavailable";
    };

    const readObjects = async (digests: readonly shared.Digest[], isStillNeeded: () => boolean): Promise<void> => {
        for (let start = 0; start < digests.length && isStillNeeded(); start += maxConcurrentReads) {
            const areAvailable = await Promise.all(digests.slice(start, start + maxConcurrentReads).map(readObject));
            if (areAvailable.includes(false)) {
                return;
            }
        }
    };

    const requestSections = async (control: shared.Address, digests: readonly shared.Digest[]): Promise<void> => {
        const call = rpcClient.call(control, "config.getSections", { digests }, sourceTimeoutMs);
        const result = await timeouts.waitWithTimeout(scheduler, call, sourceTimeoutMs);
        if (result?.kind !== "answered") {
            return;
        }
        for (const digest of digests) {
            const text: unknown = result.result?.sections?.[digest];
            if (typeof text === "string") {
                add(digest, text);
            }
        }
    };

    return {
        add,
        get: digest => texts.get(digest),
        fetch: async (head, listPeers, isStillNeeded) => {
            await readObjects(listMissing(head), isStillNeeded);
            for (const control of listPeers().slice(0, maxPeers)) {
                const missing = listMissing(head);
                if (missing.length === 0 || !isStillNeeded()) {
                    break;
                }
                await requestSections(control, missing);
            }
            return listMissing(head);
        },
        removeUnused: heads => {
            const used = new Set(heads.flatMap(head => Object.values(head?.sections ?? {})));
            for (const digest of texts.keys()) {
                if (!used.has(ids.toDigest(digest))) {
                    texts.delete(digest);
                }
            }
        },
    };
};

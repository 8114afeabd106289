/**
 * Texts of sections by digest: from memory, the object store or peers.
 */
import * as crypto from "node:crypto";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as peers from "../peers/Types.js";
import * as platform from "../platform/Types.js";
import * as waiting from "./waiting.js";

/** Longest wait for the object store or one peer; either may be silent. */
const stepTimeoutMs = 2000;

/** Objects read at a time, so that a restart of many VMs does not flood the store. */
const readsAtOnce = 8;

/** Peers asked for one head before the next attempt. */
const maxPeers = 3;

export interface SectionStore {
    /** Adds a text unless its digest is another one. */
    add(digest: shared.Digest, text: string): void;
    get(digest: shared.Digest): string | undefined;
    /**
     * Fetches the texts of a head that are not in memory.
     *
     * @param head - the head
     * @param listPeers - control addresses of peers that may have the texts, best first
     * @param isWanted - false as soon as the result is of no more use
     * @returns the digests that are still missing
     */
    fetch(
        head: config.ConfigHead,
        listPeers: () => readonly shared.Address[],
        isWanted: () => boolean,
    ): Promise<readonly shared.Digest[]>;
    /** Forgets all texts that none of the heads refers to. */
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
 * Creates a store without texts.
 *
 * @param options - sources of texts, timers and the log
 * @returns the store
 */
export const createSectionStore = (options: SectionStoreOptions): SectionStore => {
    const { objects, rpcClient, scheduler, logger } = options;
    const texts = new Map<shared.Digest, string>();

    const add = (digest: shared.Digest, text: string): void => {
        if (computeDigest(text) !== digest) {
            logger.warn("config: discarded a section whose text does not have its digest", { digest });
            return;
        }
        texts.set(digest, text);
    };

    const listMissing = (head: config.ConfigHead): readonly shared.Digest[] =>
        [...new Set(Object.values(head.sections))].filter(digest => !texts.has(digest));

    /** Returns false if the store did not answer, so that asking it for more is of no use. */
    const readObject = async (digest: shared.Digest): Promise<boolean> => {
        const result = await waiting.waitAtMost(scheduler, objects.get(digest), stepTimeoutMs);
        if (result?.kind === "found") {
            add(digest, result.content);
        }
        return result !== undefined && result.kind !== "unavailable";
    };

    const readObjects = async (digests: readonly shared.Digest[], isWanted: () => boolean): Promise<void> => {
        for (let start = 0; start < digests.length && isWanted(); start += readsAtOnce) {
            const answered = await Promise.all(digests.slice(start, start + readsAtOnce).map(readObject));
            if (answered.includes(false)) {
                return;
            }
        }
    };

    const requestSections = async (control: shared.Address, digests: readonly shared.Digest[]): Promise<void> => {
        const call = rpcClient.call(control, "config.getSections", { digests }, stepTimeoutMs);
        const result = await waiting.waitAtMost(scheduler, call, stepTimeoutMs);
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
        fetch: async (head, listPeers, isWanted) => {
            await readObjects(listMissing(head), isWanted);
            for (const control of listPeers().slice(0, maxPeers)) {
                const missing = listMissing(head);
                if (missing.length === 0 || !isWanted()) {
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

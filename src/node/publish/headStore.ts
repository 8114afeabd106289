/**
 * Reads the head, earlier revisions and the texts of sections.
 */
import * as sections from "../../common/config/sections.js";
import * as storageNames from "../../common/config/storageNames.js";
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";

/** The head with the version of its row; revision 0 and version 0 while there is none. */
export interface HeadSnapshot {
    readonly version: number;
    readonly head: config.ConfigHead;
}

export interface ReadFailure {
    readonly kind: "failed";
    readonly cause: string;
}

export type HeadSnapshotResult = { readonly kind: "read"; readonly snapshot: HeadSnapshot } | ReadFailure;
export type HeadResult =
    { readonly kind: "read"; readonly head: config.ConfigHead } | { readonly kind: "absent" } | ReadFailure;
export type SectionTextsResult =
    { readonly kind: "read"; readonly texts: ReadonlyMap<types.Digest, string> } | ReadFailure;

const emptyHead: config.ConfigHead = { revision: ids.toRevision(0), sections: {}, author: "", token: "" };

const readHeadRow = async (table: platform.TableService, key: string) => {
    const result = await table.read(key);
    switch (result.kind) {
        case "unavailable":
            return { kind: "failed", cause: `the table service is unavailable: ${result.cause}` } as const;
        case "absent":
            return result;
        case "found": {
            const head = sections.parseHead(result.row.value);
            return head === undefined
                ? ({ kind: "failed", cause: `the row ${key} has an unknown format` } as const)
                : ({ kind: "read", head, version: result.row.version } as const);
        }
    }
};

/**
 * Reads the newest head.
 *
 * @param table - the table service
 * @returns the head with the version of its row
 */
export const readHeadSnapshot = async (table: platform.TableService): Promise<HeadSnapshotResult> => {
    const result = await readHeadRow(table, storageNames.headKey);
    switch (result.kind) {
        case "failed":
            return result;
        case "absent":
            return { kind: "read", snapshot: { version: 0, head: emptyHead } };
        case "read":
            return { kind: "read", snapshot: { version: result.version, head: result.head } };
    }
};

/**
 * Reads the head of one revision.
 *
 * @param table - the table service
 * @param revision - the revision
 * @returns the head, or `absent` if there is no such revision
 */
export const readRevision = async (table: platform.TableService, revision: types.Revision): Promise<HeadResult> =>
    revision === emptyHead.revision
        ? { kind: "read", head: emptyHead }
        : readHeadRow(table, storageNames.toRevisionKey(revision));

/**
 * Fetches the texts of sections.
 *
 * @param objects - the object store
 * @param digests - digests of the sections
 * @returns all texts, or the cause if one of them could not be read
 */
export const fetchSectionTexts = async (
    objects: platform.ObjectStore,
    digests: readonly types.Digest[],
): Promise<SectionTextsResult> => {
    const results = await Promise.all(digests.map(digest => objects.get(storageNames.toSectionObjectName(digest))));
    const texts = new Map<types.Digest, string>();
    for (const [index, digest] of digests.entries()) {
        const result = results[index];
        if (result?.kind !== "found") {
            const cause = result?.kind === "unavailable" ? `unavailable: ${result.cause}` : `missing section ${digest}`;
            return { kind: "failed", cause: `the object store is ${cause}` };
        }
        texts.set(digest, result.content);
    }
    return { kind: "read", texts };
};

/**
 * Lists the sections in which two heads differ.
 *
 * @param from - the earlier head
 * @param to - the later head
 * @returns sorted names of the sections that were added, changed or removed
 */
export const listChangedSections = (from: config.ConfigHead, to: config.ConfigHead): types.SectionName[] => {
    const names = new Set([...Object.keys(from.sections), ...Object.keys(to.sections)]);
    return [...names]
        .filter(name => from.sections[name] !== to.sections[name])
        .sort()
        .map(ids.toSectionName);
};

/**
 * Keys and object names under which the configuration is stored on the platform.
 */
import * as types from "../Types.js";

/** Key of the table row that holds the newest head. */
export const headKey = "config/head";

/**
 * Returns the key of the row that holds the head of a revision.
 *
 * @param revision - the revision
 * @returns the key of the row
 */
export const toRevisionKey = (revision: types.Revision): string => `config/revision/${revision}`;

/**
 * Returns the name of the object that holds a section.
 *
 * @param digest - digest of the text of the section
 * @returns the name in the object store
 */
export const toSectionObjectName = (digest: types.Digest): string => digest;

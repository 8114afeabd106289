/**
 * Names under which the platform's services hold the configuration.
 */
import * as types from "../Types.js";

/** Row of the table service with the newest head. */
export const headKey = "config/head";

/**
 * Names the row that holds the head of one revision.
 *
 * @param revision - the revision
 * @returns the key of the row
 */
export const toRevisionKey = (revision: types.Revision): string => `config/revision/${revision}`;

/**
 * Names the object that holds a section.
 *
 * @param digest - digest of the section's text
 * @returns the name in the object store
 */
export const toSectionObject = (digest: types.Digest): string => digest;

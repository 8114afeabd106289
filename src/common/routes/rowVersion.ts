/**
 * Versions of rows in the store. The store counts them up, but goes back when it returns from a copy, and then begins a new
 * era, so that a version means something only together with its era.
 */
import * as types from "./Types.js";

/** Older than all versions of the store. */
export const noVersion: types.RowVersion = { era: 0, sequence: 0 };

/**
 * Compares two versions.
 *
 * @param left - a version
 * @param right - a version
 * @returns a negative number if `left` is older, a positive one if it is newer, 0 if they are equal
 */
export const compareVersions = (left: types.RowVersion, right: types.RowVersion): number =>
    left.era - right.era || left.sequence - right.sequence;

/**
 * Checks whether a version is newer than another one.
 *
 * @param version - the version
 * @param other - the version that it is compared with
 * @returns false if it is older or equal
 */
export const isNewer = (version: types.RowVersion, other: types.RowVersion): boolean =>
    compareVersions(version, other) > 0;

/**
 * Picks the newer one of two versions.
 *
 * @param left - a version
 * @param right - a version
 * @returns `left` if they are equal
 */
export const pickNewer = (left: types.RowVersion, right: types.RowVersion): types.RowVersion =>
    isNewer(right, left) ? right : left;

/**
 * Formats a version for logs.
 *
 * @param version - the version
 * @returns for example `2/31`: version 31 of era 2
 */
export const formatVersion = ({ era, sequence }: types.RowVersion): string => `${era}/${sequence}`;

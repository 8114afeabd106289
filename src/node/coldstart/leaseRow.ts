/**
 * The row `cold/<target>` of the table service.
 */
import * as zod from "zod";
import * as lease from "../../common/coldstart/Types.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";
import * as platform from "../platform/Types.js";

const rowSchema = zod.object({ holder: zod.string().optional(), token: zod.string() });

/**
 * Names the row of a target.
 *
 * @param target - the target
 * @returns the key
 */
export const toKey = (target: types.TargetId): string => `cold/${target}`;

/**
 * Parses a row that was read.
 *
 * @param row - the row
 * @returns its content; content of an unknown form counts as held by an unknown holder, so that it is waited for
 */
export const parseRow = (row: platform.Row): lease.ReadRow => {
    const parsed = rowSchema.safeParse(row.value);
    if (!parsed.success) {
        return { version: row.version, row: { holder: ids.toIncarnationId("unknown"), token: "" } };
    }
    const { holder, token } = parsed.data;
    return {
        version: row.version,
        row: { holder: holder === undefined ? undefined : ids.toIncarnationId(holder), token },
    };
};

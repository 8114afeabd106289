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
 * Returns the key of a target's row.
 *
 * @param target - the target
 * @returns the row key
 */
export const toRowKey = (target: types.TargetId): string => `cold/${target}`;

/**
 * Parses a row of the table service.
 *
 * @param row - the row
 * @returns its version and content; malformed content counts as a lease of an unknown holder, so that contenders wait
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

/**
 * Tables for people.
 */

/**
 * Formats a table with aligned columns.
 *
 * @param header - names of the columns
 * @param rows - the cells
 * @returns one line for the header and each row
 */
export const formatTable = (header: readonly string[], rows: readonly (readonly string[])[]): string => {
    const all = [header, ...rows];
    const widths = header.map((_, index) => Math.max(...all.map(row => row[index]?.length ?? 0)));
    const lines = all.map(row =>
        row
            .map((cell, index) => cell.padEnd(widths[index] ?? 0))
            .join("  ")
            .trimEnd(),
    );
    return lines.join("\n");
};

/**
 * Formats an age.
 *
 * @param ageMs - the age, if it is known
 * @returns the age in seconds, or a hyphen
 */
export const formatAge = (ageMs: number | undefined): string =>
    ageMs === undefined ? "-" : `${(ageMs / 1000).toFixed(1)} s`;

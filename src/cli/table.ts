/**
 * Formats tables and cells for the terminal.
 */

/**
 * Formats a table with aligned columns.
 *
 * @param header - column names
 * @param rows - cells of each row
 * @returns the header line and one line for each row
 */
export const formatTable = (header: readonly string[], rows: readonly (readonly string[])[]): string => {
    const allRows = [header, ...rows];
    const widths = header.map((_, index) => Math.max(...allRows.map(row => row[index]?.length ?? 0)));
    const lines = allRows.map(row =>
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
 * @param ageMs - the age in milliseconds, or undefined if unknown
 * @returns the age in seconds, or a hyphen if unknown
 */
export const formatAge = (ageMs: number | undefined): string =>
    ageMs === undefined ? "-" : `${(ageMs / 1000).toFixed(1)} s`;

/**
 * Tables for people.
 */

/**
 * Formats a table with a line under its head. Columns of numbers are aligned to the right.
 *
 * @param head - titles of the columns
 * @param rows - the cells
 * @returns the lines
 */
export const formatTable = (head: readonly string[], rows: readonly (readonly (string | number)[])[]): string => {
    const isNumeric = head.map((_, column) => rows.every(row => typeof row[column] === "number"));
    const texts = [head, ...rows].map(row =>
        row.map(cell => (typeof cell === "number" && !Number.isInteger(cell) ? cell.toFixed(3) : String(cell))),
    );
    const widths = head.map((_, column) => Math.max(...texts.map(row => row[column]?.length ?? 0)));
    const toLine = (row: readonly string[]): string =>
        row
            .map((cell, column) =>
                isNumeric[column] === true ? cell.padStart(widths[column] ?? 0) : cell.padEnd(widths[column] ?? 0),
            )
            .join("  ")
            .trimEnd();
    const [first = [], ...rest] = texts;
    return [toLine(first), widths.map(width => "-".repeat(width)).join("  "), ...rest.map(toLine)].join("\n");
};

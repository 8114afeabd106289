/**
 * Plain-text tables for terminal output.
 */

/**
 * Formats a table with a rule below the header. Columns of numbers are aligned to the right.
 *
 * @param head - column titles
 * @param rows - cells by row
 * @returns the table as text
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

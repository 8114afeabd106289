/**
 * Generates the page `docs/settings.md` from the definitions.
 */
import * as definitions from "./definitions.js";

const introduction = `# Settings of the entry daemon

\`tarragonpath entry\` takes its settings from flags and environment variables. A flag takes precedence over its
variable, and the variable over the default. An empty variable counts as not set. All settings are checked before the
daemon opens a port or contacts another system. A wrong one ends the daemon with exit code 1 and a message with the flag
or variable, its value and what is allowed.

\`--head-poll-ms\` must be less than \`--freshness-ms\`, \`--gossip-interval-ms\` less than \`--member-timeout-ms\`, and
\`--control\` must differ from \`--listen\`.

This page is generated: \`npm run --silent build && node out/node/settings/printSettingsPage.js > docs/settings.md\`.
`;

type Row = readonly string[];

const formatRow = (row: Row, widths: readonly number[]): string =>
    `| ${row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(" | ")} |`;

/** Pads the cells as prettier does, so that formatting the page does not change it. */
const formatMarkdownTable = (header: Row, rows: readonly Row[]): string => {
    const widths = header.map((_, index) => Math.max(3, ...[header, ...rows].map(row => row[index]?.length ?? 0)));
    const separator = widths.map(width => "-".repeat(width));
    return [header, separator, ...rows].map(row => formatRow(row, widths)).join("\n");
};

const formatDefault = (field: definitions.SettingField): string => {
    const { defaultText, defaultNote = "" } = definitions.definitions[field];
    return defaultText === undefined ? defaultNote : `\`${defaultText}\``;
};

const toRow = (field: definitions.SettingField): Row => {
    const { unit, kind } = definitions.definitions[field];
    return [`\`${definitions.toFlag(field)}\``, formatDefault(field), unit, kind.allowed];
};

/**
 * Formats the settings page.
 *
 * @returns the page as Markdown
 */
export const formatSettingsPage = (): string => {
    const fields = definitions.listSettingFields();
    const table = formatMarkdownTable(["flag", "default", "unit", "allowed"], fields.map(toRow));
    const descriptions = fields.map(
        field =>
            `- \`${definitions.toFlag(field)}\` (\`${definitions.toVariable(field)}\`): ${definitions.definitions[field].description}`,
    );
    return [introduction, "## Values", "", table, "", "## Meanings", "", ...descriptions, ""].join("\n");
};

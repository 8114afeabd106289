/**
 * Formats results and comparisons of two results as tables.
 */
import * as tables from "../testing/load/tables.js";
import * as types from "./Types.js";

/**
 * Formats the metrics of a result. A metric `group.name` is placed in row `name` and column `group`.
 *
 * @param metrics - metric values by name
 * @returns a table
 */
export const formatMetrics = (metrics: types.Metrics): string => {
    const nameParts = Object.keys(metrics).map(name => ({
        group: name.split(".")[0] ?? "",
        rest: name.slice(name.indexOf(".") + 1),
    }));
    const groups = [...new Set(nameParts.map(name => name.group))];
    const rows = [...new Set(nameParts.map(name => name.rest))];
    return tables.formatTable(
        ["metric", ...groups],
        rows.map(row => [row, ...groups.map(group => metrics[`${group}.${row}`] ?? "")]),
    );
};

/**
 * Formats a comparison of two results.
 *
 * @param before - the earlier result
 * @param after - the later result
 * @returns a table with the change in percent
 */
export const formatComparison = (before: types.BenchResult, after: types.BenchResult): string => {
    const names = [...new Set([...Object.keys(before.metrics), ...Object.keys(after.metrics)])];
    const rows = names.map(name => {
        const [left, right] = [before.metrics[name], after.metrics[name]];
        const isComparable = left !== undefined && right !== undefined && left !== 0;
        const percent = isComparable ? `${(((right - left) / Math.abs(left)) * 100).toFixed(1)} %` : "";
        return [name, left ?? "", right ?? "", percent];
    });
    return tables.formatTable(["metric", "before", "after", "change"], rows);
};

/**
 * Lists differences that make two results hard to compare.
 *
 * @param before - the earlier result
 * @param after - the later result
 * @returns one sentence for each difference
 */
export const checkComparable = (before: types.BenchResult, after: types.BenchResult): string[] => {
    const differences: string[] = [];
    if (JSON.stringify(before.scenario) !== JSON.stringify(after.scenario)) {
        differences.push("The scenarios differ.");
    }
    if (before.node !== after.node) {
        differences.push(`Node.js was ${before.node} and is ${after.node}.`);
    }
    if (before.cpus !== after.cpus) {
        differences.push(`The machine had ${before.cpus} processors and has ${after.cpus}.`);
    }
    return differences;
};

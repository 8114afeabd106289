/**
 * Tables of results and of the difference between two results.
 */
import * as tables from "../testing/load/tables.js";
import * as types from "./Types.js";

/**
 * Formats the metrics of a result. Names of the form `group.name` become rows by name and columns by group.
 *
 * @param metrics - the numbers
 * @returns a table
 */
export const formatMetrics = (metrics: types.Metrics): string => {
    const split = Object.keys(metrics).map(name => ({
        group: name.split(".")[0] ?? "",
        rest: name.slice(name.indexOf(".") + 1),
    }));
    const groups = [...new Set(split.map(name => name.group))];
    const rows = [...new Set(split.map(name => name.rest))];
    return tables.formatTable(
        ["metric", ...groups],
        rows.map(row => [row, ...groups.map(group => metrics[`${group}.${row}`] ?? "")]),
    );
};

/**
 * Formats the difference between two results.
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
 * Lists what makes two results hard to compare.
 *
 * @param before - the earlier result
 * @param after - the later result
 * @returns one sentence each
 */
export const checkComparable = (before: types.BenchResult, after: types.BenchResult): string[] => {
    const faults: string[] = [];
    if (JSON.stringify(before.scenario) !== JSON.stringify(after.scenario)) {
        faults.push("The scenarios differ.");
    }
    if (before.node !== after.node) {
        faults.push(`Node.js was ${before.node} and is ${after.node}.`);
    }
    if (before.cpus !== after.cpus) {
        faults.push(`The machine had ${before.cpus} processors and has ${after.cpus}.`);
    }
    return faults;
};

/**
 * Measures the figures that docs/CAPACITY.md extrapolates: `node out/bench/capacity/main.js --out result.json`.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as commander from "commander";
import * as tables from "../../testing/load/tables.js";
import * as callCost from "./callCost.js";
import * as configurationCost from "./configurationCost.js";
import * as controlCost from "./controlCost.js";
import * as gossipCost from "./gossipCost.js";
import * as idleCost from "./idleCost.js";
import * as placement from "./placement.js";
import * as slopes from "./slopes.js";
import * as smallCosts from "./smallCosts.js";
import * as storeCost from "./storeCost.js";
import * as types from "./Types.js";

type Measure = () => types.Measurement | Promise<types.Measurement>;

const parts: Readonly<Record<string, Measure>> = {
    call: callCost.measureCallCost,
    control: controlCost.measureControlCost,
    idle: idleCost.measureIdleCost,
    gossip: gossipCost.measureGossipCost,
    configuration: configurationCost.measureConfigurationCost,
    store: storeCost.measureStoreCost,
    small: smallCosts.measureSmallCosts,
    placement: placement.measurePlacement,
};

interface Options {
    readonly out?: string;
    readonly part?: readonly string[];
}

const print = (text: string): void => void process.stdout.write(`${text}\n`);

const toRow = (series: types.Series): (string | number)[] => {
    const { intercept, slope, atTarget, reach, worstResidual } = slopes.computeEstimate(series);
    const samples = series.samples.map(({ size, value }) => `${size}: ${Number(value.toPrecision(4))}`).join(", ");
    const line = [intercept, slope, atTarget].map(value => String(Number(value.toPrecision(4))));
    const fitQuality = [`${reach.toFixed(1)}x`, `${(worstResidual * 100).toFixed(0)} %`];
    return [series.name, series.unit, series.by, samples, ...line, String(series.targetSize), ...fitQuality];
};

const formatMeasurement = ({ series, figures }: types.Measurement): string => {
    const columns = ["figure", "unit", "by", "samples", "at 0", "slope", "at target", "target", "reach", "residual"];
    const table = series.length === 0 ? "" : tables.formatTable(columns, series.map(toRow));
    const lines = figures.map(({ name, unit, value }) => `${name}: ${Number(value.toPrecision(4))} ${unit}`);
    return [table, ...lines].filter(text => text !== "").join("\n");
};

const run = async (options: Options): Promise<void> => {
    const startedAt = new Date().toISOString();
    const results: Record<string, types.Measurement> = {};
    for (const name of options.part ?? Object.keys(parts)) {
        const measure = parts[name];
        if (measure === undefined) {
            throw new Error(`unknown part ${name}; available parts: ${Object.keys(parts).join(", ")}`);
        }
        const startedAtMs = performance.now();
        const result = await measure();
        results[name] = result;
        print(`\n${name}, ${((performance.now() - startedAtMs) / 1000).toFixed(0)} s\n${formatMeasurement(result)}`);
    }
    const machine = { node: process.version, cpus: os.availableParallelism(), startedAt };
    if (options.out !== undefined) {
        const estimates = Object.values(results)
            .flatMap(result => result.series)
            .map(series => ({ name: series.name, by: series.by, ...slopes.computeEstimate(series) }));
        await fs.writeFile(options.out, `${JSON.stringify({ ...machine, results, estimates }, undefined, 2)}\n`);
    }
};

await new commander.Command("capacity")
    .description("measure the slopes from which docs/CAPACITY.md extrapolates")
    .option("--out <file>", "write the result as JSON")
    .option("--part <name...>", `measure only these parts: ${Object.keys(parts).join(", ")}`)
    .action(run)
    .parseAsync();

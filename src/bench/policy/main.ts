/**
 * Command that runs the experiments: `node out/bench/policy/main.js [--experiment policy] [--seeds 5] [--json]`.
 */
import * as commander from "commander";
import * as runs from "./runScenario.js";
import * as scenarios from "./scenarios.js";
import * as policyTypes from "./Types.js";

interface Row {
    readonly labels: readonly string[];
    readonly calls: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    /** Lowest and highest 99th percentile over the seeds. */
    readonly p99RangeMs: readonly [number, number];
    readonly refused: number;
    readonly late: number;
    readonly beyondSlots: number;
    readonly beyondColdSlots: number;
    /** Mean over the seeds; undefined if it was not reached with every seed. */
    readonly allWarmAtMs: number | undefined;
}

const computePercentile = (sorted: readonly number[], share: number): number => {
    const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
    return Math.round(value * 10) / 10;
};

const toSorted = (values: readonly number[]): readonly number[] => [...values].sort((a, b) => a - b);

const computeRow = (labels: readonly string[], results: readonly policyTypes.RunResult[]): Row => {
    const all = toSorted(results.flatMap(result => result.latenciesMs));
    const p99BySeed = results.map(result => computePercentile(toSorted(result.latenciesMs), 0.99));
    const computeSum = (read: (result: policyTypes.RunResult) => number): number =>
        results.reduce((total, result) => total + read(result), 0);
    const warmTimesMs = results.map(result => result.allWarmAtMs).filter(atMs => atMs !== undefined);
    return {
        labels,
        calls: computeSum(result => result.calls),
        p50Ms: computePercentile(all, 0.5),
        p99Ms: computePercentile(all, 0.99),
        p999Ms: computePercentile(all, 0.999),
        p99RangeMs: [Math.min(...p99BySeed), Math.max(...p99BySeed)],
        refused: computeSum(result => result.refused),
        late: computeSum(result => result.late),
        beyondSlots: computeSum(result => result.beyondSlots),
        beyondColdSlots: computeSum(result => result.beyondColdSlots),
        allWarmAtMs:
            warmTimesMs.length === results.length && warmTimesMs.length > 0
                ? Math.round(warmTimesMs.reduce((total, atMs) => total + atMs, 0) / warmTimesMs.length)
                : undefined,
    };
};

const printTable = (experiment: scenarios.Experiment, rows: readonly Row[]): void => {
    const isCold = experiment.name === "cold";
    const cold = isCold ? ["beyond cold slots", "all warm at s"] : [];
    const measures = ["calls", "p50 ms", "p99 ms", "p99 by seed", "p99.9 ms", "refused", "late", "beyond slots"];
    const columns = [...experiment.columns, ...measures, ...cold];
    const lines = rows.map(row => {
        const warmAt = row.allWarmAtMs === undefined ? "never" : (row.allWarmAtMs / 1_000).toFixed(1);
        const cells = [
            ...row.labels,
            row.calls,
            row.p50Ms,
            row.p99Ms,
            row.p99RangeMs.join(" to "),
            row.p999Ms,
            row.refused,
            row.late,
            row.beyondSlots,
            ...(isCold ? [row.beyondColdSlots, warmAt] : []),
        ];
        return `| ${cells.join(" | ")} |`;
    });
    const rule = `| ${columns.map(() => "---").join(" | ")} |`;
    console.log([`\n${experiment.name}\n`, `| ${columns.join(" | ")} |`, rule, ...lines].join("\n"));
};

const runExperiment = async (experiment: scenarios.Experiment, seeds: readonly number[]): Promise<readonly Row[]> => {
    const rows: Row[] = [];
    for (const { labels, scenario } of experiment.rows) {
        const results: policyTypes.RunResult[] = [];
        for (const seed of seeds) {
            results.push(await runs.runScenario(scenario, seed));
        }
        rows.push(computeRow(labels, results));
    }
    return rows;
};

const program = new commander.Command("policy")
    .description("compares target selection policies in virtual time")
    .option("--experiment <name>", "policy, spill, slow or cold (default: all)")
    .option("--seeds <count>", "number of seeds, starting with 1", "5")
    .option("--json", "print JSON after the tables")
    .action(async (options: { experiment?: string; seeds: string; json?: boolean }) => {
        const seeds = Array.from({ length: Number(options.seeds) }, (_, index) => index + 1);
        const chosen = scenarios.experiments.filter(({ name }) => (options.experiment ?? name) === name);
        const report: Record<string, readonly Row[]> = {};
        for (const experiment of chosen) {
            const rows = await runExperiment(experiment, seeds);
            report[experiment.name] = rows;
            printTable(experiment, rows);
        }
        if (options.json === true) {
            console.log(JSON.stringify({ seeds, report }));
        }
    });

await program.parseAsync();

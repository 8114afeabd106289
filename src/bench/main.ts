/**
 * Benchmark command: `node out/bench/main.js run <scenario>`, `compare <a.json> <b.json>`.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as commander from "commander";
import * as processes from "../testing/system/processes.js";
import * as overhead from "./overhead.js";
import * as policy from "./policy.js";
import * as report from "./report.js";
import * as scenarioFile from "./scenarioFile.js";
import * as types from "./Types.js";

const scenarioFolder = path.resolve(processes.outFolder, "../src/bench/scenarios");
const maxPrintedViolations = 20;

const print = (text: string): void => void process.stdout.write(`${text}\n`);

const readScenario = async (nameOrPath: string): Promise<types.Scenario> => {
    const file = nameOrPath.endsWith(".yaml") ? nameOrPath : path.join(scenarioFolder, `${nameOrPath}.yaml`);
    return scenarioFile.parseScenario(await fs.readFile(file, "utf8"));
};

const runScenario = async (scenario: types.Scenario): Promise<policy.PolicyResult> => {
    switch (scenario.kind) {
        case "overhead":
            return { metrics: await overhead.runOverhead(scenario), violations: [] };
        case "policy":
            return policy.runPolicy(scenario);
    }
};

const run = async (nameOrPath: string, options: { readonly out?: string }): Promise<void> => {
    const scenario = await readScenario(nameOrPath);
    const startedAt = new Date().toISOString();
    const { metrics, violations } = await runScenario(scenario);
    const result: types.BenchResult = {
        scenario,
        node: process.version,
        cpus: os.availableParallelism(),
        startedAt,
        metrics,
        violations,
    };
    print(`${scenario.name}, seed ${scenario.seed}\n\n${report.formatMetrics(metrics)}`);
    violations.slice(0, maxPrintedViolations).forEach(violation => print(`violation: ${violation}`));
    if (options.out !== undefined) {
        await fs.writeFile(options.out, `${JSON.stringify(result, undefined, 2)}\n`);
    }
    process.exitCode = violations.length === 0 ? 0 : 1;
};

const readResult = async (file: string): Promise<types.BenchResult> =>
    JSON.parse(await fs.readFile(file, "utf8")) as types.BenchResult;

const compare = async (beforeFile: string, afterFile: string): Promise<void> => {
    const [before, after] = await Promise.all([readResult(beforeFile), readResult(afterFile)]);
    report.checkComparable(before, after).forEach(difference => print(`warning: ${difference}`));
    print(report.formatComparison(before, after));
};

const listScenarios = async (): Promise<void> => {
    const names = (await fs.readdir(scenarioFolder)).filter(name => name.endsWith(".yaml"));
    names.forEach(name => print(name.replace(/\.yaml$/, "")));
};

const program = new commander.Command("bench").description("load benchmarks and experiments on this machine");
program
    .command("run <scenario>")
    .description("run a scenario by name or by the path of its YAML file")
    .option("--out <file>", "write the result as JSON")
    .action(run);
program.command("compare <before> <after>").description("compare two results").action(compare);
program.command("list").description("list the scenarios of the repository").action(listScenarios);
await program.parseAsync();

/**
 * Runs one scenario: `node out/testing/failure/main.js <name> --seed <n> [--unsafe <switch>]`.
 */
import * as commander from "commander";
import * as switches from "../../node/entry/unsafeSwitches.js";
import * as runScenarios from "./runScenario.js";
import * as scenarioList from "./scenarioList.js";
import * as types from "./Types.js";

const print = (text: string): void => void process.stdout.write(`${text}\n`);

const printHistory = (result: types.ScenarioResult): void => {
    const events = [...result.history.targets, ...result.history.callers].sort((left, right) => left.atMs - right.atMs);
    events.forEach(event => print(JSON.stringify(event)));
    result.history.removals.forEach(removal => print(JSON.stringify(removal)));
    for (const [name, lines] of Object.entries(result.logs)) {
        lines.forEach(line => print(`${name}: ${line}`));
    }
};

interface Options {
    readonly seed?: string;
    readonly unsafe?: string;
    readonly print?: boolean;
}

const run = async (name: string, options: Options): Promise<void> => {
    const scenario = scenarioList.scenarios.find(item => item.name === name);
    if (scenario === undefined) {
        throw new Error(
            `unknown scenario ${name}; available scenarios: ${scenarioList.scenarios.map(item => item.name).join(", ")}`,
        );
    }
    const seed = Number(options.seed ?? scenario.seed);
    const unsafe = (options.unsafe ?? "").split(",").filter(item => item !== "") as switches.UnsafeSwitch[];
    const result = await runScenarios.runScenario(scenario, seed, unsafe);
    const hasPassed = result.violations.length === 0 && result.error === undefined;
    if (!hasPassed || options.print === true) {
        printHistory(result);
    }
    const started = result.history.targets.filter(event => event.kind === "started").length;
    const responseEvents = result.history.callers.filter(event => event.kind === "answered");
    const ran = responseEvents.filter(event => event.outcome === "ran").length;
    result.notes.forEach(text => print(text));
    print(
        `${name} with seed ${seed}: ${responseEvents.length} requests, ${ran} reported as run, ${started} starts at targets`,
    );
    print(`violations: ${result.violations.length}`);
    result.violations.slice(0, 10).forEach(violation => print(`  ${violation.rule}: ${violation.message}`));
    if (result.error !== undefined) {
        print(`not finished: ${result.error.message}`);
    }
    // Cut links can keep the event loop alive; all child processes have ended by now.
    process.exit(hasPassed ? 0 : 1);
};

await new commander.Command("failure")
    .argument("<name>", "name of the scenario")
    .option("--seed <number>", "seed (default: that of the scenario)")
    .option("--unsafe <switches>", "safety mechanisms to switch off, separated by commas")
    .option("--print", "print the history also if there are no violations")
    .action(run)
    .parseAsync();

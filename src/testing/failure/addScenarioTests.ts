/**
 * Adds the tests of a scenario: one with all safety mechanisms, and one without each mechanism that it covers.
 */
import * as ava from "ava";
import * as runScenarios from "./runScenario.js";
import * as types from "./Types.js";

const maxPrintedViolations = 5;

const maxPrintedLogLines = 60;
/** Request ids as created by callers: a name, the number of the call and the number of the try. */
const requestIds = /\b[\w-]+-\d+\.\d+\b/g;

const formatViolations = (result: types.ScenarioResult): string => {
    const lines = result.violations
        .slice(0, maxPrintedViolations)
        .map(violation => `${violation.rule}: ${violation.message}`);
    const ids = lines.flatMap(line => line.match(requestIds) ?? []);
    const logged = Object.entries(result.logs).flatMap(([name, log]) =>
        log.filter(line => line.includes("life:") || ids.some(id => line.includes(id))).map(line => `${name}: ${line}`),
    );
    return [...lines, ...result.notes, ...logged.slice(0, maxPrintedLogLines)].join("\n");
};

/**
 * Adds the tests of a scenario to a test file.
 *
 * @param test - ava's test function
 * @param scenario - the scenario
 */
export const addScenarioTests = (test: ava.TestFn, scenario: types.Scenario): void => {
    const { name, seed, requirements } = scenario;
    test.serial(`${name}: ${requirements.join(", ")} hold`, async t => {
        const result = await runScenarios.runScenario(scenario, seed);
        t.is(result.error, undefined, formatViolations(result));
        t.log(`${result.history.callers.length} caller events, ${result.history.targets.length} target events`);
        t.is(result.violations.length, 0, formatViolations(result));
    });
    for (const { unsafe, rules } of scenario.negativeControls) {
        test.serial(`${name}: without the mechanism (${unsafe}), the check finds ${rules.join(" or ")}`, async t => {
            const result = await runScenarios.runScenario(scenario, seed, [unsafe]);
            t.is(result.error, undefined, formatViolations(result));
            t.true(
                result.violations.some(violation => rules.includes(violation.rule)),
                `no violation of ${rules.join(", ")} was found; found were:\n${formatViolations(result)}`,
            );
        });
    }
};

import test from "ava";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as processes from "../testing/system/processes.js";
import * as report from "./report.js";
import * as scenarioFile from "./scenarioFile.js";
import * as types from "./Types.js";

const createResult = (metrics: types.Metrics): types.BenchResult => ({
    scenario: scenarioFile.parseScenario(policyText),
    node: "v20",
    cpus: 4,
    startedAt: "",
    metrics,
    violations: [],
});

const policyText = `
kind: policy
name: p
seed: 1
deployment: mareeba
durationMs: 1000
loads: [{ service: tally-desk, ratePerSecond: 1, path: /a, isIdempotent: true }]
`;

test("the scenarios of the repository are valid", async t => {
    const folder = path.resolve(processes.outFolder, "../src/bench/scenarios");
    const names = await fs.readdir(folder);
    t.true(names.includes("overhead.yaml"));
    for (const name of names) {
        const scenario = scenarioFile.parseScenario(await fs.readFile(path.join(folder, name), "utf8"));
        t.is(`${scenario.name}.yaml`, name);
    }
});

test("an unknown scenario field is rejected by name", t => {
    t.throws(() => scenarioFile.parseScenario(policyText.replace("durationMs", "duration")), { message: /duration/ });
});

test("a comparison shows the change in percent and warns if the scenarios differ", t => {
    const before = createResult({ "entry.p99Ms": 2 });
    const after = createResult({ "entry.p99Ms": 3 });
    t.regex(report.formatComparison(before, after), /entry\.p99Ms\s+2\s+3\s+50\.0 %/);
    t.deepEqual(report.checkComparable(before, after), []);
    t.is(report.checkComparable(before, { ...after, scenario: { ...after.scenario, seed: 2 } }).length, 1);
});

test("metrics are formatted with a row for each name and a column for each path", t => {
    const text = report.formatMetrics({ "direct.p50Ms": 1, "entry.p50Ms": 2, "entry.added.p50Ms": 1 });
    t.regex(text, /metric\s+direct\s+entry/);
    t.regex(text, /added\.p50Ms\s+1/);
});

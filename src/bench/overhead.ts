/**
 * Measures what the entry daemon and a minimal forwarder add to a direct call, in the same run.
 */
import * as processes from "../testing/system/processes.js";
import * as system from "../testing/system/system.js";
import * as systemTypes from "../testing/system/Types.js";
import * as loadProcess from "./loadProcess.js";
import * as types from "./Types.js";

/** Route from the load generator to the target. */
interface CallPath {
    readonly name: "direct" | "forwarder" | "entry";
    readonly url: string;
    /** Process between them; undefined for direct calls. */
    readonly process: systemTypes.ManagedProcess | undefined;
}

const slots = 200;
const startTimeoutMs = 30_000;
const latencyNames = ["p50Ms", "p99Ms", "p999Ms"] as const;

const createPlan = (): systemTypes.DeploymentPlan => ({
    name: "overhead",
    region: "region",
    zones: ["zone-a"],
    linkDelayMs: 1,
    entries: 1,
    services: [
        {
            service: "bench",
            targets: 1,
            slots,
            coldSlots: 1,
            connections: slots,
            serviceTime: { kind: "fixed", ms: 0 },
            deadlineMs: 10_000,
            maxBodyBytes: 1_000_000,
            idempotent: [],
            nonIdempotent: [],
        },
    ],
});

const computeMedian = (values: readonly number[]): number => {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[(sorted.length - 1) >> 1] ?? NaN;
};

/** Takes medians over the rounds, so that one outlier round does not distort the result. */
const mergeRounds = (rounds: readonly types.Metrics[]): Record<string, number> =>
    Object.fromEntries(
        Object.keys(rounds[0] ?? {}).map(name => [name, computeMedian(rounds.map(round => round[name] ?? NaN))]),
    );

const measureRound = async (
    path: CallPath,
    scenario: types.OverheadScenario,
    round: number,
): Promise<types.Metrics> => {
    const { ratePerSecond, warmUpMs, durationMs } = scenario;
    const beforeMs = path.process === undefined ? NaN : await loadProcess.readCpuMs(path.process);
    const job = {
        kind: "open",
        url: path.url,
        ratePerSecond,
        warmUpMs,
        durationMs,
        seed: scenario.seed + round,
    } as const;
    const open = await loadProcess.runLoadProcess(job, warmUpMs + durationMs);
    const afterMs = path.process === undefined ? NaN : await loadProcess.readCpuMs(path.process);
    const sent = (ratePerSecond * (warmUpMs + durationMs)) / 1000;
    const closedJob = {
        kind: "closed",
        url: path.url,
        connections: scenario.closedLoopConnections,
        durationMs: scenario.closedLoopMs,
    } as const;
    const closed = await loadProcess.runLoadProcess(closedJob, scenario.closedLoopMs);
    return {
        ...open,
        ...(path.process === undefined ? {} : { cpuUsPerCall: ((afterMs - beforeMs) * 1000) / sent }),
        closedCallsPerSecond: closed["callsPerSecond"] ?? NaN,
        closedFailed: closed["failed"] ?? NaN,
    };
};

const addDifferences = (
    name: string,
    metrics: Record<string, number>,
    direct: Record<string, number>,
): [string, number][] => [
    ...Object.entries(metrics).map(([metric, value]): [string, number] => [`${name}.${metric}`, value]),
    ...(name === "direct"
        ? []
        : latencyNames.map((metric): [string, number] => [
              `${name}.added.${metric}`,
              (metrics[metric] ?? NaN) - (direct[metric] ?? NaN),
          ])),
];

const startForwarder = async (target: string): Promise<CallPath> => {
    const started = processes.startProcess("forwarder", "bench/forwarderMain.js", ["--target", target]);
    const addresses = await processes.waitForReady(started, startTimeoutMs);
    return { name: "forwarder", url: `http://${addresses["forwarder"]}/call/bench/a`, process: started };
};

const startEntryPath = async (runningSystem: system.System): Promise<CallPath> => {
    const published = await runningSystem.publish();
    const entry = runningSystem.entries[0];
    if (published.exitCode !== 0 || entry === undefined) {
        throw new Error(`publish exited with code ${published.exitCode}: ${published.lines.join("\n")}`);
    }
    await runningSystem.waitForHealth(entry);
    return { name: "entry", url: `http://${entry.listen}/call/bench/a`, process: entry.process };
};

/**
 * Runs the scenario with target, forwarder, daemon and load generators in separate processes.
 *
 * @param scenario - rate, durations and rounds
 * @returns metrics of each path, and the latency that it adds to the direct path
 */
export const runOverhead = async (scenario: types.OverheadScenario): Promise<types.Metrics> => {
    const runningSystem = await system.startSystem({
        plan: createPlan(),
        seed: scenario.seed,
        entryArgs: ["--log-level", scenario.logLevel],
        targetSpec: { recordsHistory: false, serviceTime: scenario.serviceTime },
    });
    const target = runningSystem.targets["bench-1"] ?? "";
    const forwarder = await startForwarder(target);
    try {
        const direct: CallPath = { name: "direct", url: `http://${target}/a`, process: undefined };
        const paths = [direct, forwarder, await startEntryPath(runningSystem)];
        const rounds = new Map<CallPath, types.Metrics[]>(paths.map(path => [path, []]));
        for (let round = 0; round < scenario.rounds; round++) {
            for (const path of paths) {
                rounds.get(path)?.push(await measureRound(path, scenario, round));
            }
        }
        const merged = paths.map(path => ({ name: path.name, metrics: mergeRounds(rounds.get(path) ?? []) }));
        const directMetrics = merged[0]?.metrics ?? {};
        return Object.fromEntries(merged.flatMap(({ name, metrics }) => addDifferences(name, metrics, directMetrics)));
    } finally {
        if (forwarder.process !== undefined) {
            await processes.stopProcess(forwarder.process);
        }
        await runningSystem.close();
    }
};

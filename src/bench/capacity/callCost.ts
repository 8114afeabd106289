/**
 * Measures the processor time of a real daemon for a call, for its log lines and for a lookup.
 */
import * as httpServer from "../../testing/http/httpServer.js";
import * as loadProcess from "../loadProcess.js";
import * as harnesses from "./harness.js";
import * as slopes from "./slopes.js";
import * as types from "./Types.js";

const ratesPerSecond = [250, 500, 1000, 2000];
const rounds = 3;
const warmUpMs = 500;
const durationMs = 2000;
const seed = 11;
/** Load before the first round that lets the JIT compile the daemon's code. */
const jitWarmUpRatePerSecond = 1000;
const jitWarmUpMs = 3000;

/** Call rate of the busiest process at the target size, derived in docs/CAPACITY.md. */
const targetRatePerSecond = 2800;

const size: types.ConfigurationSize = { targets: 6, services: 1, zones: 1 };

interface CallPath {
    readonly name: string;
    readonly logLevel: string;
    readonly path: string;
}

const callPaths: readonly CallPath[] = [
    { name: "call, log level info", logLevel: "info", path: "/call/service-1/a" },
    { name: "call, log level warn", logLevel: "warn", path: "/call/service-1/a" },
];
const lookupPath: CallPath = { name: "lookup", logLevel: "warn", path: "/lookup/service-1?zone=zone-1" };

interface Round {
    readonly cpuMsPerSecond: number;
    readonly p50Ms: number;
    readonly failed: number;
}

const measureRound = async (daemon: harnesses.Daemon, path: CallPath, ratePerSecond: number): Promise<Round> => {
    const url = `http://${daemon.listen}${path.path}`;
    const beforeMs = await loadProcess.readCpuMs(daemon.process);
    const job = { kind: "open", url, ratePerSecond, warmUpMs, durationMs, seed } as const;
    const metrics = await loadProcess.runLoadProcess(job, warmUpMs + durationMs);
    const usedMs = (await loadProcess.readCpuMs(daemon.process)) - beforeMs;
    return {
        cpuMsPerSecond: (usedMs * 1000) / (warmUpMs + durationMs),
        p50Ms: metrics["p50Ms"] ?? NaN,
        failed: metrics["failed"] ?? NaN,
    };
};

const measurePath = async (path: CallPath): Promise<types.Measurement> => {
    const harness = await harnesses.startHarness(size.targets);
    try {
        await harness.storeConfiguration(size, 1);
        const daemon = await harness.startDaemon(1, "zone-1", ["--log-level", path.logLevel]);
        const url = `http://${daemon.listen}${path.path}`;
        const jitWarmUp = {
            kind: "open",
            url,
            ratePerSecond: jitWarmUpRatePerSecond,
            warmUpMs: 0,
            durationMs: jitWarmUpMs,
            seed,
        };
        await loadProcess.runLoadProcess({ ...jitWarmUp, kind: "open" }, jitWarmUpMs);
        await httpServer.waitMs(durationMs);
        const byRate = new Map<number, Round[]>(ratesPerSecond.map(rate => [rate, []]));
        for (let round = 0; round < rounds; round++) {
            for (const rate of ratesPerSecond) {
                byRate.get(rate)?.push(await measureRound(daemon, path, rate));
            }
        }
        return toMeasurement(path, byRate, await harnesses.readResidentBytes(daemon.process));
    } finally {
        await harness.close();
    }
};

const toMeasurement = (
    path: CallPath,
    byRate: ReadonlyMap<number, readonly Round[]>,
    residentBytes: number,
): types.Measurement => {
    const toSamples = (get: (round: Round) => number): types.Sample[] =>
        [...byRate].map(([rate, list]) => ({ size: rate, value: slopes.computeMedian(list.map(get)) }));
    const failed = [...byRate.values()].flat().reduce((sum, round) => sum + round.failed, 0);
    const shared = { by: "calls per second", targetSize: targetRatePerSecond };
    return {
        series: [
            { ...shared, name: `${path.name}: CPU`, unit: "ms/s", samples: toSamples(round => round.cpuMsPerSecond) },
            { ...shared, name: `${path.name}: median latency`, unit: "ms", samples: toSamples(round => round.p50Ms) },
        ],
        figures: [
            { name: `${path.name}: failed`, unit: "calls", value: failed },
            { name: `${path.name}: resident after the load`, unit: "bytes", value: residentBytes },
        ],
    };
};

/**
 * Measures a daemon that owns one cell. The two log levels are measured concurrently, so that other work on the machine
 * affects both.
 *
 * @returns series by calls per second
 */
export const measureCallCost = async (): Promise<types.Measurement> => {
    const calls = await Promise.all(callPaths.map(measurePath));
    const lookups = await measurePath(lookupPath);
    const parts = [...calls, lookups];
    return { series: parts.flatMap(part => part.series), figures: parts.flatMap(part => part.figures) };
};

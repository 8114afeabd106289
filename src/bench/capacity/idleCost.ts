/**
 * Measures memory and processor time of a daemon without calls, by number of targets.
 */
import * as harnesses from "./harness.js";
import * as sectionFixture from "./sectionFixture.js";
import * as slopes from "./slopes.js";
import * as types from "./Types.js";

const rounds = 3;
const settleMs = 3000;
const windowMs = 4000;
const timeoutMs = 60_000;

type Metrics = Readonly<Record<string, number>>;

/** Runs a daemon in a child process that measures its own heap. */
const runIdleDaemon = async (harness: harnesses.Harness): Promise<Metrics> => {
    const times = ["--settle-ms", String(settleMs), "--window-ms", String(windowMs)];
    const child = harness.startProgram("bench/capacity/idleMain.js", [
        "--platform",
        harness.platformUrl,
        "--zone",
        "zone-1",
        ...times,
    ]);
    const line = await child.waitForLine(text => text.startsWith('{"kind":"metrics"'), timeoutMs);
    return (JSON.parse(line) as { metrics: Metrics }).metrics;
};

const measureSize = async (size: types.ConfigurationSize): Promise<readonly Metrics[]> => {
    const harness = await harnesses.startHarness(size.targets);
    try {
        await harness.storeConfiguration(size, 1);
        return await Promise.all(Array.from({ length: rounds }, () => runIdleDaemon(harness)));
    } finally {
        await harness.close();
    }
};

const createSeries = (
    metricsBySize: ReadonlyMap<number, readonly Metrics[]>,
    metric: string,
    name: string,
    unit: string,
) => ({
    name,
    unit,
    by: "targets",
    targetSize: sectionFixture.targetSize.targets,
    samples: [...metricsBySize].map(([size, list]) => ({
        size,
        value: slopes.computeMedian(list.map(metrics => metrics[metric] ?? NaN)),
    })),
});

/**
 * Measures daemons that own all targets and receive no calls. The window begins a few seconds after the start, while
 * targets are still unknown, so that the work for cold leases and probes is at its peak. The rounds of one size run
 * concurrently; their daemons are unaware of each other.
 *
 * @returns series by the number of targets
 */
export const measureIdleCost = async (): Promise<types.Measurement> => {
    const metricsBySize = new Map<number, readonly Metrics[]>();
    for (const size of sectionFixture.configurationSizes) {
        metricsBySize.set(size.targets, await measureSize(size));
    }
    const all = [...metricsBySize.values()].flat();
    const getMedian = (metric: string): number => slopes.computeMedian(all.map(metrics => metrics[metric] ?? NaN));
    return {
        series: [
            createSeries(metricsBySize, "heapBytes", "idle daemon: heap", "bytes"),
            createSeries(metricsBySize, "residentBytes", "idle daemon: resident", "bytes"),
            createSeries(
                metricsBySize,
                "cpuMsPerSecond",
                "lone daemon just after its start, all targets its own: CPU",
                "ms/s",
            ),
        ],
        figures: [
            { name: "process before the daemon is created: heap", unit: "bytes", value: getMedian("emptyHeapBytes") },
            {
                name: "process before the daemon is created: resident",
                unit: "bytes",
                value: getMedian("emptyResidentBytes"),
            },
        ],
    };
};

/**
 * Memory and processor time of a daemon without calls by the number of targets.
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

/** Runs one daemon in a process that reads its own heap. */
const runIdle = async (harness: harnesses.Harness): Promise<Metrics> => {
    const times = ["--settle-ms", String(settleMs), "--window-ms", String(windowMs)];
    const child = harness.start("bench/capacity/idleMain.js", [
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
        return await Promise.all(Array.from({ length: rounds }, () => runIdle(harness)));
    } finally {
        await harness.close();
    }
};

const createSeries = (bySize: ReadonlyMap<number, readonly Metrics[]>, metric: string, name: string, unit: string) => ({
    name,
    unit,
    by: "targets",
    targetSize: sectionFixture.targetSize.targets,
    samples: [...bySize].map(([size, list]) => ({
        size,
        value: slopes.computeMedian(list.map(metrics => metrics[metric] ?? NaN)),
    })),
});

/**
 * Measures daemons that own all targets and get no calls. The window begins a few seconds after the start, while targets
 * are still unknown, so that cold leases and probes are at their height. The rounds of one size run at the same time;
 * none knows of the others.
 *
 * @returns series by the number of targets
 */
export const measureIdleCost = async (): Promise<types.Measurement> => {
    const bySize = new Map<number, readonly Metrics[]>();
    for (const size of sectionFixture.sizes) {
        bySize.set(size.targets, await measureSize(size));
    }
    const all = [...bySize.values()].flat();
    const getMedian = (metric: string): number => slopes.computeMedian(all.map(metrics => metrics[metric] ?? NaN));
    return {
        series: [
            createSeries(bySize, "heapBytes", "idle daemon: heap", "bytes"),
            createSeries(bySize, "residentBytes", "idle daemon: resident", "bytes"),
            createSeries(
                bySize,
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

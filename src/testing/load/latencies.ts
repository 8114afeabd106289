/**
 * Latency statistics in HDR histograms.
 */
import * as hdr from "hdr-histogram-js";

export interface LatencySummary {
    readonly count: number;
    readonly meanMs: number;
    readonly p50Ms: number;
    readonly p90Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
    readonly maxMs: number;
}

export interface Latencies {
    readonly record: (latencyMs: number) => void;
    readonly toSummary: () => LatencySummary;
}

/** Longer latencies are recorded as this value. */
const highestMs = 600_000;
const microsecondsPerMs = 1000;

/**
 * Creates an empty set of latencies, stored in microseconds with three significant digits.
 *
 * @returns the set
 */
export const createLatencies = (): Latencies => {
    const histogram = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestMs * microsecondsPerMs,
        numberOfSignificantValueDigits: 3,
    });
    const getMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
    return {
        record: latencyMs => {
            const clamped = Math.min(Math.max(latencyMs, 0), highestMs);
            histogram.recordValue(Math.round(clamped * microsecondsPerMs));
        },
        toSummary: () => ({
            count: histogram.totalCount,
            meanMs: histogram.mean / microsecondsPerMs,
            p50Ms: getMs(50),
            p90Ms: getMs(90),
            p99Ms: getMs(99),
            p999Ms: getMs(99.9),
            maxMs: histogram.maxValue / microsecondsPerMs,
        }),
    };
};

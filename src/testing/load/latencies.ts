/**
 * Latencies in HDR histograms.
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

/** Longer ones count as this long. */
const highestMs = 600_000;
const usPerMs = 1000;

/**
 * Creates an empty set of latencies, kept in microseconds with three digits.
 *
 * @returns the set
 */
export const createLatencies = (): Latencies => {
    const histogram = hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: highestMs * usPerMs,
        numberOfSignificantValueDigits: 3,
    });
    const getMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / usPerMs;
    return {
        record: latencyMs => {
            const clamped = Math.min(Math.max(latencyMs, 0), highestMs);
            histogram.recordValue(Math.round(clamped * usPerMs));
        },
        toSummary: () => ({
            count: histogram.totalCount,
            meanMs: histogram.mean / usPerMs,
            p50Ms: getMs(50),
            p90Ms: getMs(90),
            p99Ms: getMs(99),
            p999Ms: getMs(99.9),
            maxMs: histogram.maxValue / usPerMs,
        }),
    };
};

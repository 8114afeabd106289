/**
 * Latencies of each service, for the time limits of attempts.
 */
import * as hdr from "hdr-histogram-js";
import * as shared from "../../common/Types.js";

export interface LatencyTracker {
    record(service: shared.ServiceName, latencyMs: number): void;
    /** Returns the time after which an attempt is given up as silent. */
    getSilentAfterMs(service: shared.ServiceName): number;
}

interface Window {
    current: hdr.Histogram;
    previous: hdr.Histogram;
    startedAtMs: number;
    silentAfterMs: number;
    countAtUpdate: number;
}

const windowMs = 10_000;
const silentFactor = 4;
const minSilentMs = 250;
/** Used until enough calls have been measured. */
const initialSilentMs = 2_000;
const minSamples = 20;
/** The percentile is derived again after this many calls, since that walks the histogram. */
const samplesPerUpdate = 64;
const microsecondsPerMs = 1_000;

const createHistogram = (): hdr.Histogram =>
    hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 2 });

/**
 * Creates the tracker of a daemon.
 *
 * @param clock - local monotonic time
 * @returns the tracker, without samples
 */
export const createLatencyTracker = (clock: shared.Clock): LatencyTracker => {
    const windows = new Map<shared.ServiceName, Window>();

    const getWindow = (service: shared.ServiceName): Window => {
        let window = windows.get(service);
        if (window === undefined) {
            window = {
                current: createHistogram(),
                previous: createHistogram(),
                startedAtMs: clock.now(),
                silentAfterMs: initialSilentMs,
                countAtUpdate: 0,
            };
            windows.set(service, window);
        }
        return window;
    };

    const rotate = (window: Window): void => {
        const oldest = window.previous;
        window.previous = window.current;
        oldest.reset();
        window.current = oldest;
        window.startedAtMs = clock.now();
        window.countAtUpdate = 0;
    };

    const update = (window: Window): void => {
        window.countAtUpdate = window.current.totalCount;
        const source = window.previous.totalCount >= minSamples ? window.previous : window.current;
        if (source.totalCount < minSamples) {
            return;
        }
        const p95Ms = source.getValueAtPercentile(95) / microsecondsPerMs;
        window.silentAfterMs = Math.max(minSilentMs, silentFactor * p95Ms);
    };

    return {
        record: (service, latencyMs) => {
            const window = getWindow(service);
            if (clock.now() - window.startedAtMs >= windowMs) {
                rotate(window);
            }
            window.current.recordValue(Math.max(1, Math.round(latencyMs * microsecondsPerMs)));
            if (window.current.totalCount - window.countAtUpdate >= samplesPerUpdate || window.countAtUpdate === 0) {
                update(window);
            }
        },
        getSilentAfterMs: service => windows.get(service)?.silentAfterMs ?? initialSilentMs,
    };
};

/**
 * Latencies of each service, from which the response timeouts of attempts are computed.
 */
import * as hdr from "hdr-histogram-js";
import * as shared from "../../common/Types.js";

export interface LatencyTracker {
    record(service: shared.ServiceName, latencyMs: number): void;
    /** Returns the time after which an attempt without a response head is aborted. */
    getResponseTimeoutMs(service: shared.ServiceName): number;
}

interface LatencyWindow {
    current: hdr.Histogram;
    previous: hdr.Histogram;
    startedAtMs: number;
    responseTimeoutMs: number;
    countAtUpdate: number;
}

const windowMs = 10_000;
const p95Factor = 4;
const minResponseTimeoutMs = 250;
/** Used until a service has {@link minSamples} samples. */
const initialResponseTimeoutMs = 2_000;
const minSamples = 20;
/** Calls between two computations of the percentile; each computation iterates over the histogram. */
const samplesPerUpdate = 64;
const microsecondsPerMs = 1_000;

const createHistogram = (): hdr.Histogram =>
    hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 2 });

/**
 * Creates the latency tracker of a daemon.
 *
 * @param clock - local monotonic time
 * @returns the tracker, without samples
 */
export const createLatencyTracker = (clock: shared.Clock): LatencyTracker => {
    const windows = new Map<shared.ServiceName, LatencyWindow>();

    const getWindow = (service: shared.ServiceName): LatencyWindow => {
        let window = windows.get(service);
        if (window === undefined) {
            window = {
                current: createHistogram(),
                previous: createHistogram(),
                startedAtMs: clock.now(),
                responseTimeoutMs: initialResponseTimeoutMs,
                countAtUpdate: 0,
            };
            windows.set(service, window);
        }
        return window;
    };

    const rotate = (window: LatencyWindow): void => {
        const oldest = window.previous;
        window.previous = window.current;
        oldest.reset();
        window.current = oldest;
        window.startedAtMs = clock.now();
        window.countAtUpdate = 0;
    };

    const updateResponseTimeout = (window: LatencyWindow): void => {
        window.countAtUpdate = window.current.totalCount;
        const source = window.previous.totalCount >= minSamples ? window.previous : window.current;
        if (source.totalCount < minSamples) {
            return;
        }
        const p95Ms = source.getValueAtPercentile(95) / microsecondsPerMs;
        window.responseTimeoutMs = Math.max(minResponseTimeoutMs, p95Factor * p95Ms);
    };

    return {
        record: (service, latencyMs) => {
            const window = getWindow(service);
            if (clock.now() - window.startedAtMs >= windowMs) {
                rotate(window);
            }
            window.current.recordValue(Math.max(1, Math.round(latencyMs * microsecondsPerMs)));
            if (window.current.totalCount - window.countAtUpdate >= samplesPerUpdate || window.countAtUpdate === 0) {
                updateResponseTimeout(window);
            }
        },
        getResponseTimeoutMs: service => windows.get(service)?.responseTimeoutMs ?? initialResponseTimeoutMs,
    };
};

/**
 * How long the requests of a route take, from their admission until their response was handed over to the client.
 */
import * as shared from "../Types.js";

/** Responses after which the longest duration before them is dropped, at the latest after twice as many. */
const windowSize = 64;

/** What is known of a route's requests. */
export interface KnownDurations {
    /** Whole responses that were measured, of the last ones. */
    readonly samples: number;
    /** Longest of the last requests, including those that are in progress or got no whole response; in milliseconds. */
    readonly longestMs: number;
}

/** A request that is being measured. */
export interface MeasuredRequest {
    /**
     * Ends the measurement. Further calls have no effect.
     *
     * @param isServed - whether the client was given a whole response; otherwise the request would have taken even longer
     */
    finish(isServed: boolean): void;
}

export interface RouteDurations {
    begin(route: string): MeasuredRequest;
    get(route: string): KnownDurations;
}

interface RouteWindow {
    current: { samples: number; longestMs: number };
    previous: KnownDurations;
    /** Start times of the requests in progress, oldest first. */
    readonly inProgress: Set<{ readonly startedAtMs: number }>;
}

const nothingKnown: KnownDurations = { samples: 0, longestMs: 0 };

/**
 * Creates durations without any request.
 *
 * @param clock - measures the requests
 * @returns the durations
 */
export const createRouteDurations = (clock: shared.Clock): RouteDurations => {
    const windows = new Map<string, RouteWindow>();

    const getWindow = (route: string): RouteWindow => {
        const window = windows.get(route) ?? {
            current: { ...nothingKnown },
            previous: nothingKnown,
            inProgress: new Set(),
        };
        windows.set(route, window);
        return window;
    };

    const record = (window: RouteWindow, durationMs: number, isServed: boolean): void => {
        const { current } = window;
        current.longestMs = Math.max(current.longestMs, durationMs);
        current.samples += Number(isServed);
        if (current.samples >= windowSize) {
            window.previous = current;
            window.current = { ...nothingKnown };
        }
    };

    return {
        begin: route => {
            const window = getWindow(route);
            const measured = { startedAtMs: clock.now() };
            window.inProgress.add(measured);
            return {
                finish: isServed => {
                    if (window.inProgress.delete(measured)) {
                        record(window, clock.now() - measured.startedAtMs, isServed);
                    }
                },
            };
        },
        get: route => {
            const window = windows.get(route);
            if (window === undefined) {
                return nothingKnown;
            }
            const { current, previous, inProgress } = window;
            const [oldest] = inProgress;
            const oldestMs = oldest === undefined ? 0 : clock.now() - oldest.startedAtMs;
            return {
                samples: current.samples + previous.samples,
                longestMs: Math.max(current.longestMs, previous.longestMs, oldestMs),
            };
        },
    };
};

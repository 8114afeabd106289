/**
 * Open-loop arrivals: calls are sent at times that do not depend on earlier answers.
 */
import * as common from "../../common/Types.js";
import * as httpServer from "../http/httpServer.js";

export interface ArrivalOptions {
    readonly ratePerSecond: number;
    readonly durationMs: number;
    readonly random: common.Random;
    /** True: the loop polls instead of using timers, whose resolution of 1 ms would count as latency. */
    readonly isPolling: boolean;
}

/**
 * Draws the time to the next arrival.
 *
 * @param ratePerSecond - mean rate
 * @param random - the generator
 * @returns milliseconds, exponentially distributed
 */
export const pickIntervalMs = (ratePerSecond: number, random: common.Random): number =>
    (-1000 / ratePerSecond) * Math.log(1 - random.nextFloat());

const waitForTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Runs calls at random times for a while.
 *
 * @param options - rate, duration and generator
 * @param send - sends a call; gets the time at which it should be sent, from which its latency counts
 */
export const runArrivals = async (
    options: ArrivalOptions,
    send: (intendedAtMs: number) => Promise<void>,
): Promise<void> => {
    const startedAtMs = httpServer.readMachineClockMs();
    const endsAtMs = startedAtMs + options.durationMs;
    const running = new Set<Promise<void>>();
    let nextAtMs = startedAtMs + pickIntervalMs(options.ratePerSecond, options.random);
    while (nextAtMs < endsAtMs) {
        const nowMs = httpServer.readMachineClockMs();
        if (nextAtMs > nowMs) {
            await (options.isPolling ? waitForTurn() : httpServer.waitMs(nextAtMs - nowMs));
            continue;
        }
        const call: Promise<void> = send(nextAtMs).finally(() => running.delete(call));
        running.add(call);
        nextAtMs += pickIntervalMs(options.ratePerSecond, options.random);
    }
    await Promise.all(running);
};

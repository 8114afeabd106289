/**
 * Open-loop load: calls are sent at times that do not depend on earlier responses.
 */
import * as common from "../../common/Types.js";
import * as httpServer from "../http/httpServer.js";

export interface ArrivalOptions {
    readonly ratePerSecond: number;
    readonly durationMs: number;
    readonly random: common.Random;
    /** Whether the loop polls instead of using timers, whose resolution of 1 ms would add to the latency. */
    readonly isPolling: boolean;
}

/**
 * Samples the time until the next arrival.
 *
 * @param ratePerSecond - mean rate
 * @param random - the generator
 * @returns exponentially distributed interval in milliseconds
 */
export const pickIntervalMs = (ratePerSecond: number, random: common.Random): number =>
    (-1000 / ratePerSecond) * Math.log(1 - random.nextFloat());

const waitForEventLoopTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/**
 * Sends calls at random times and waits until all of them have ended.
 *
 * @param options - rate, duration and generator
 * @param send - sends a call; receives the intended send time, from which the latency is measured
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
            await (options.isPolling ? waitForEventLoopTurn() : httpServer.waitMs(nextAtMs - nowMs));
            continue;
        }
        const call: Promise<void> = send(nextAtMs).finally(() => running.delete(call));
        running.add(call);
        nextAtMs += pickIntervalMs(options.ratePerSecond, options.random);
    }
    await Promise.all(running);
};

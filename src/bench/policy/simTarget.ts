/**
 * Simulated target with slots, service times, a noisy neighbour and cold starts.
 */
import * as config from "../../common/config/Types.js";
import * as ids from "../../common/ids.js";
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";

export interface SimTarget {
    readonly config: config.TargetConfig;
    /** Runs a call, or queues it in the target while all slots are busy. */
    begin(onEnd: (report: routing.TargetReport) => void): void;
    getReport(): routing.TargetReport;
    /** Sets a factor on service times, which simulates a slow target. */
    setSlowdown(factor: number): void;
    /** Restarts the target, which is cold for a while afterwards. */
    startCold(): void;
    isCold(): boolean;
    readonly counts: { beyondSlots: number; beyondColdSlots: number };
}

export const meanServiceMs = 20;
const noisyFactor = 4;
const meanQuietMs = 5_000;
const meanNoisyMs = 500;
const coldMs = 3_000;
const coldFactor = 3;
/** Factor on the service time of a call that exceeds the cold slots of a cold target. */
const overloadFactor = 20;

/**
 * `slower`: noise and faults multiply each service time. `shared`: they take processor capacity away, so that a call is
 * slowed down only in proportion to the number of calls that run concurrently.
 */
export type NoiseKind = "slower" | "shared";

/** Mean service time including noise. */
export const effectiveServiceMs =
    (meanServiceMs * (meanQuietMs + noisyFactor * meanNoisyMs)) / (meanQuietMs + meanNoisyMs);

/**
 * Picks an exponentially distributed time.
 *
 * @param source - source of random numbers
 * @param meanMs - the mean
 * @returns the time
 */
export const pickExponentialMs = (source: types.Random, meanMs: number): number =>
    -Math.log(1 - source.nextFloat()) * meanMs;

/**
 * Creates a warm target.
 *
 * @param target - configuration of the target
 * @param scheduler - virtual time
 * @param source - source of service times and noise
 * @param noiseKind - how noise affects service times
 * @returns the target
 */
export const createSimTarget = (
    target: config.TargetConfig,
    scheduler: types.Scheduler,
    source: types.Random,
    noiseKind: NoiseKind,
): SimTarget => {
    const counts = { beyondSlots: 0, beyondColdSlots: 0 };
    const queue: (() => void)[] = [];
    let running = 0;
    let noise = 1;
    let slowdown = 1;
    let bootCount = 1;
    let warmAtMs = 0;

    const isCold = (): boolean => scheduler.now() < warmAtMs;
    const getReport = (): routing.TargetReport => ({
        state: isCold() ? "cold" : "warm",
        busy: running + queue.length,
        boot: ids.toBootId(`b${String(bootCount)}`),
    });

    const updateNoise = (): void => {
        noise = noise === 1 ? noisyFactor : 1;
        scheduler.schedule(pickExponentialMs(source, noise === 1 ? meanQuietMs : meanNoisyMs), updateNoise);
    };
    scheduler.schedule(pickExponentialMs(source, meanQuietMs), updateNoise);

    const computeColdFactor = (): number => {
        if (!isCold()) {
            return 1;
        }
        if (running + queue.length <= target.coldSlots) {
            return coldFactor;
        }
        counts.beyondColdSlots++;
        // Overload during a cold start restarts the warm-up.
        warmAtMs = scheduler.now() + coldMs;
        return overloadFactor;
    };

    const computeSlowdownFactor = (): number => {
        const factor = noise * slowdown;
        return noiseKind === "slower" ? factor : Math.max(1, (factor * running) / target.slots);
    };

    const run = (onEnd: (report: routing.TargetReport) => void): void => {
        running++;
        const serviceMs = pickExponentialMs(source, meanServiceMs) * computeSlowdownFactor() * computeColdFactor();
        scheduler.schedule(serviceMs, () => {
            running--;
            queue.shift()?.();
            onEnd(getReport());
        });
    };

    return {
        config: target,
        begin: onEnd => {
            if (running < target.slots) {
                run(onEnd);
                return;
            }
            counts.beyondSlots++;
            queue.push(() => run(onEnd));
        },
        getReport,
        setSlowdown: factor => (slowdown = factor),
        startCold: () => {
            bootCount++;
            warmAtMs = scheduler.now() + coldMs;
        },
        isCold,
        counts,
    };
};

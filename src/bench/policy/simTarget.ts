/**
 * Model of a target: slots, service times, a noisy neighbour and a cold start.
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
    /** Factor on all service times, as for a fault of the target. */
    setSlowdown(factor: number): void;
    /** Restarts the target; it is cold for a time. */
    startCold(): void;
    isCold(): boolean;
    readonly counts: { beyondSlots: number; beyondColdSlots: number };
}

export const meanServiceMs = 20;
const noisyFactor = 4;
const quietMeanMs = 5_000;
const noisyMeanMs = 500;
const coldMs = 3_000;
const coldFactor = 3;
/** Service times under more calls than a cold target can handle. */
const collapseFactor = 20;

/**
 * `slower`: noise and faults multiply each service time. `shared`: they take processors away, so that a call is slower
 * only in proportion to the calls that run beside it.
 */
export type NoiseKind = "slower" | "shared";

/** Mean service time including noise. */
export const effectiveServiceMs =
    (meanServiceMs * (quietMeanMs + noisyFactor * noisyMeanMs)) / (quietMeanMs + noisyMeanMs);

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
 * @param target - its configuration
 * @param scheduler - virtual time
 * @param source - source of service times and noise
 * @param noiseKind - what noise does to service times
 * @returns the target
 */
export const createSimTarget = (
    target: config.TargetConfig,
    scheduler: types.Scheduler,
    source: types.Random,
    noiseKind: NoiseKind,
): SimTarget => {
    const counts = { beyondSlots: 0, beyondColdSlots: 0 };
    const waiting: (() => void)[] = [];
    let running = 0;
    let noise = 1;
    let slowdown = 1;
    let boots = 1;
    let warmAtMs = 0;

    const isCold = (): boolean => scheduler.now() < warmAtMs;
    const getReport = (): routing.TargetReport => ({
        state: isCold() ? "cold" : "warm",
        busy: running + waiting.length,
        boot: ids.toBootId(`b${String(boots)}`),
    });

    const updateNoise = (): void => {
        noise = noise === 1 ? noisyFactor : 1;
        scheduler.schedule(pickExponentialMs(source, noise === 1 ? quietMeanMs : noisyMeanMs), updateNoise);
    };
    scheduler.schedule(pickExponentialMs(source, quietMeanMs), updateNoise);

    const computeFactor = (): number => {
        if (!isCold()) {
            return 1;
        }
        if (running + waiting.length <= target.coldSlots) {
            return coldFactor;
        }
        counts.beyondColdSlots++;
        // The overload undoes the warm-up.
        warmAtMs = scheduler.now() + coldMs;
        return collapseFactor;
    };

    const computeSlowness = (): number => {
        const factor = noise * slowdown;
        return noiseKind === "slower" ? factor : Math.max(1, (factor * running) / target.slots);
    };

    const run = (onEnd: (report: routing.TargetReport) => void): void => {
        running++;
        const serviceMs = pickExponentialMs(source, meanServiceMs) * computeSlowness() * computeFactor();
        scheduler.schedule(serviceMs, () => {
            running--;
            waiting.shift()?.();
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
            waiting.push(() => run(onEnd));
        },
        getReport,
        setSlowdown: factor => (slowdown = factor),
        startCold: () => {
            boots++;
            warmAtMs = scheduler.now() + coldMs;
        },
        isCold,
        counts,
    };
};

/**
 * Runs a scenario with one seed.
 */
import * as random from "../../common/random.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";
import * as baselines from "./baselines.js";
import * as ownerEntries from "./ownerEntries.js";
import * as simTarget from "./simTarget.js";
import * as policyTypes from "./Types.js";
import * as world from "./world.js";

/** Share of the calls that reach an entry VM that a former lookup response named. */
const staleLookupShare = 0.05;
const watchIntervalMs = 50;

/** Picks the entry VM that a caller in a zone uses, and sends the call. */
type SendFrom = (zone: types.ZoneName, call: world.SimCall) => void;

interface Senders {
    readonly send: SendFrom;
    readonly handleZoneChange: () => void;
}

const createSenders = (sim: world.World, scenario: policyTypes.Scenario): Senders => {
    const getZoneOf = (index: number): types.ZoneName | undefined => sim.zones[index % sim.zones.length];
    const pickAny = (zone: types.ZoneName): number => {
        const list = Array.from({ length: scenario.entryVms }, (_, index) => index).filter(
            index => getZoneOf(index) === zone,
        );
        return list[sim.random.nextInt(list.length)] ?? 0;
    };
    if (scenario.policy.kind === "owners") {
        const entries = ownerEntries.createOwnerEntries(sim, scenario);
        return {
            send: (zone, call) => {
                const isStale = sim.random.nextFloat() < staleLookupShare;
                entries.sends[isStale ? pickAny(zone) : entries.findOwner(zone)]?.(call);
            },
            handleZoneChange: () => entries.updateConfiguration(),
        };
    }
    const sends = Array.from({ length: scenario.entryVms }, (_, index) =>
        baselines.createBaselineEntry(sim, getZoneOf(index) ?? ids.toZoneName("a"), scenario.policy),
    );
    return { send: (zone, call) => sends[pickAny(zone)]?.(call), handleZoneChange: () => undefined };
};

const pickZone = (sim: world.World, scenario: policyTypes.Scenario, source: types.Random): types.ZoneName => {
    const open = sim.zones.filter(zone => !sim.isZoneOut(zone));
    const [first, ...others] = open;
    if (first === undefined) {
        throw new Error("all zones are out of service");
    }
    const isFirst = source.nextFloat() < scenario.firstZoneShare;
    return isFirst ? first : (others[source.nextInt(others.length)] ?? first);
};

const computeIntervalMs = (sim: world.World): number => {
    const slots = sim.targets.reduce(
        (sum, target, index) => sum + (sim.isInService(index) ? target.config.slots : 0),
        0,
    );
    return simTarget.effectiveServiceMs / slots;
};

const startDisturbance = (sim: world.World, scenario: policyTypes.Scenario, senders: Senders): void => {
    const disturbance = scenario.disturbance;
    switch (disturbance.kind) {
        case "none":
            break;
        case "slowTarget":
            sim.scheduler.schedule(disturbance.fromMs, () => sim.targets[0]?.setSlowdown(disturbance.factor));
            sim.scheduler.schedule(disturbance.toMs, () => sim.targets[0]?.setSlowdown(1));
            break;
        case "zoneReturns":
            sim.scheduler.schedule(disturbance.atMs, () => {
                sim.targets.filter((_, index) => !sim.isInService(index)).forEach(target => target.startCold());
                sim.setLastZoneOut(false);
                senders.handleZoneChange();
            });
            break;
    }
};

/**
 * Runs a scenario.
 *
 * @param scenario - sizes, load and policy
 * @param seed - seed of arrivals, service times and choices
 * @returns what was measured after the warm-up
 */
export const runScenario = async (scenario: policyTypes.Scenario, seed: number): Promise<policyTypes.RunResult> => {
    const sim = world.createWorld(scenario, seed);
    sim.setLastZoneOut(scenario.disturbance.kind === "zoneReturns");
    const senders = createSenders(sim, scenario);
    // Arrivals have numbers of their own, so that all policies meet the same calls.
    const arrivals = random.createRandom(seed + 500_000);
    const meanMs = computeIntervalMs(sim) / scenario.load;
    const latenciesMs: number[] = [];
    const counts = { calls: 0, refused: 0, late: 0 };
    let allWarmAtMs: number | undefined;

    const handleArrival = (): void => {
        const startMs = sim.scheduler.now();
        const isMeasured = startMs >= scenario.warmUpMs;
        counts.calls += isMeasured ? 1 : 0;
        senders.send(pickZone(sim, scenario, arrivals), {
            deadlineAtMs: startMs + scenario.deadlineMs,
            finish: outcome => {
                if (!isMeasured) {
                    return;
                }
                if (outcome === "refused") {
                    counts.refused++;
                    return;
                }
                const latencyMs = sim.scheduler.now() - startMs;
                latenciesMs.push(latencyMs);
                counts.late += latencyMs > scenario.deadlineMs ? 1 : 0;
            },
        });
        if (startMs < scenario.durationMs) {
            sim.scheduler.schedule(simTarget.pickExponentialMs(arrivals, meanMs), handleArrival);
        }
    };

    const checkWarmth = (): void => {
        const isWarm = sim.targets.every((target, index) => sim.isInService(index) && !target.isCold());
        if (isWarm) {
            allWarmAtMs = sim.scheduler.now();
            return;
        }
        sim.scheduler.schedule(watchIntervalMs, checkWarmth);
    };

    // The first probes tell the owners that the targets are warm.
    sim.scheduler.schedule(1_000, handleArrival);
    startDisturbance(sim, scenario, senders);
    if (scenario.disturbance.kind === "zoneReturns") {
        sim.scheduler.schedule(scenario.disturbance.atMs + 1, checkWarmth);
    }
    await sim.scheduler.runUntil(scenario.durationMs + 2 * scenario.deadlineMs);
    const computeSum = (read: (target: simTarget.SimTarget) => number): number =>
        sim.targets.reduce((total, target) => total + read(target), 0);
    return {
        latenciesMs,
        ...counts,
        beyondSlots: computeSum(target => target.counts.beyondSlots),
        beyondColdSlots: computeSum(target => target.counts.beyondColdSlots),
        allWarmAtMs,
    };
};

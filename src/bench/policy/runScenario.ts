/**
 * Runs a policy scenario with one seed.
 */
import * as random from "../../common/random.js";
import * as ids from "../../common/ids.js";
import * as types from "../../common/Types.js";
import * as baselines from "./baselines.js";
import * as ownerEntries from "./ownerEntries.js";
import * as simTarget from "./simTarget.js";
import * as policyTypes from "./Types.js";
import * as simulation from "./simulation.js";

/** Share of the calls that go to an entry VM from an outdated lookup response. */
const staleLookupShare = 0.05;
const warmCheckIntervalMs = 50;

/** Picks the entry VM that a caller in a zone uses, and sends the call. */
type SendFrom = (zone: types.ZoneName, call: simulation.SimCall) => void;

interface CallRouter {
    readonly send: SendFrom;
    readonly handleZoneChange: () => void;
}

const createCallRouter = (sim: simulation.Simulation, scenario: policyTypes.Scenario): CallRouter => {
    const getEntryZone = (index: number): types.ZoneName | undefined => sim.zones[index % sim.zones.length];
    const pickEntryInZone = (zone: types.ZoneName): number => {
        const list = Array.from({ length: scenario.entryVms }, (_, index) => index).filter(
            index => getEntryZone(index) === zone,
        );
        return list[sim.random.nextInt(list.length)] ?? 0;
    };
    if (scenario.policy.kind === "owners") {
        const entries = ownerEntries.createOwnerEntries(sim, scenario);
        return {
            send: (zone, call) => {
                const isStale = sim.random.nextFloat() < staleLookupShare;
                entries.sendFunctions[isStale ? pickEntryInZone(zone) : entries.findOwner(zone)]?.(call);
            },
            handleZoneChange: () => entries.updateConfiguration(),
        };
    }
    const sendFunctions = Array.from({ length: scenario.entryVms }, (_, index) =>
        baselines.createBaselineEntry(sim, getEntryZone(index) ?? ids.toZoneName("a"), scenario.policy),
    );
    return { send: (zone, call) => sendFunctions[pickEntryInZone(zone)]?.(call), handleZoneChange: () => undefined };
};

const pickZone = (sim: simulation.Simulation, scenario: policyTypes.Scenario, source: types.Random): types.ZoneName => {
    const zonesInService = sim.zones.filter(zone => !sim.isZoneOut(zone));
    const [first, ...others] = zonesInService;
    if (first === undefined) {
        throw new Error("all zones are out of service");
    }
    const isFirst = source.nextFloat() < scenario.firstZoneShare;
    return isFirst ? first : (others[source.nextInt(others.length)] ?? first);
};

const computeIntervalMs = (sim: simulation.Simulation): number => {
    const slots = sim.targets.reduce(
        (sum, target, index) => sum + (sim.isInService(index) ? target.config.slots : 0),
        0,
    );
    return simTarget.effectiveServiceMs / slots;
};

const startDisturbance = (sim: simulation.Simulation, scenario: policyTypes.Scenario, callRouter: CallRouter): void => {
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
                callRouter.handleZoneChange();
            });
            break;
    }
};

/**
 * Runs a scenario.
 *
 * @param scenario - sizes, load and policy
 * @param seed - seed of arrivals, service times and choices
 * @returns measurements of the calls that arrive after the warm-up
 */
export const runScenario = async (scenario: policyTypes.Scenario, seed: number): Promise<policyTypes.RunResult> => {
    const sim = simulation.createSimulation(scenario, seed);
    sim.setLastZoneOut(scenario.disturbance.kind === "zoneReturns");
    const callRouter = createCallRouter(sim, scenario);
    // Arrivals have their own random generator, so that every policy gets the same calls.
    const arrivals = random.createRandom(seed + 500_000);
    const meanMs = computeIntervalMs(sim) / scenario.load;
    const latenciesMs: number[] = [];
    const counts = { calls: 0, refused: 0, late: 0 };
    let allWarmAtMs: number | undefined;

    const handleArrival = (): void => {
        const startMs = sim.scheduler.now();
        const isMeasured = startMs >= scenario.warmUpMs;
        counts.calls += isMeasured ? 1 : 0;
        callRouter.send(pickZone(sim, scenario, arrivals), {
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

    const checkAllWarm = (): void => {
        const isWarm = sim.targets.every((target, index) => sim.isInService(index) && !target.isCold());
        if (isWarm) {
            allWarmAtMs = sim.scheduler.now();
            return;
        }
        sim.scheduler.schedule(warmCheckIntervalMs, checkAllWarm);
    };

    // Calls start after the first probes, from which the owners learn that the targets are warm.
    sim.scheduler.schedule(1_000, handleArrival);
    startDisturbance(sim, scenario, callRouter);
    if (scenario.disturbance.kind === "zoneReturns") {
        sim.scheduler.schedule(scenario.disturbance.atMs + 1, checkAllWarm);
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

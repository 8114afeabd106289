/**
 * Baseline policies without owners: each entry VM picks a target independently and sends immediately.
 */
import * as routing from "../../common/routing/Types.js";
import * as types from "../../common/Types.js";
import * as policyTypes from "./Types.js";
import * as simulation from "./simulation.js";

const pickTwoRandom = (
    candidates: readonly number[],
    inFlight: readonly number[],
    random: types.Random,
): number | undefined => {
    const first = candidates[random.nextInt(candidates.length)];
    const second = candidates[random.nextInt(candidates.length)];
    if (first === undefined || second === undefined) {
        return undefined;
    }
    return (inFlight[first] ?? 0) <= (inFlight[second] ?? 0) ? first : second;
};

/**
 * Creates an entry VM that uses a policy without owners.
 *
 * @param sim - simulated targets, links and time
 * @param zone - zone of the entry VM
 * @param options - the policy
 * @returns the function that routes a call
 */
export const createBaselineEntry = (
    sim: simulation.Simulation,
    zone: types.ZoneName,
    options: policyTypes.PolicyOptions,
): simulation.SendCall => {
    const inFlight = sim.targets.map(() => 0);
    let nextIndex = sim.random.nextInt(sim.targets.length);

    // Targets that were out of service or reported that they are cold. Ignored if cold limits are off.
    const cold = new Set<number>();

    const mayReceive = (index: number): boolean => {
        if (!sim.isInService(index)) {
            cold.add(index);
            return false;
        }
        const coldSlots = sim.targets[index]?.config.coldSlots ?? 0;
        return !options.coldLeases || !cold.has(index) || (inFlight[index] ?? 0) < coldSlots;
    };

    const recordReport = (index: number, report: routing.TargetReport): void => {
        if (report.state === "cold") {
            cold.add(index);
        } else {
            cold.delete(index);
        }
    };

    const listCandidates = (): readonly number[] => {
        const all = [...sim.targets.keys()].filter(mayReceive);
        const sameZone = options.ownZoneOnly ? all.filter(index => sim.targets[index]?.config.zone === zone) : all;
        return sameZone.length > 0 ? sameZone : all;
    };

    const pick = (): number | undefined => {
        const candidates = listCandidates();
        return options.kind === "twoRandom"
            ? pickTwoRandom(candidates, inFlight, sim.random)
            : candidates[nextIndex++ % candidates.length];
    };

    return call => {
        const index = pick();
        const target = index === undefined ? undefined : sim.targets[index];
        if (index === undefined || target === undefined) {
            call.finish("refused");
            return;
        }
        inFlight[index] = (inFlight[index] ?? 0) + 1;
        const linkMs = sim.getDelayMs(zone, target.config.zone);
        sim.scheduler.schedule(linkMs, () =>
            target.begin(report =>
                sim.scheduler.schedule(linkMs, () => {
                    recordReport(index, report);
                    inFlight[index] = (inFlight[index] ?? 0) - 1;
                    call.finish("answered");
                }),
            ),
        );
    };
};

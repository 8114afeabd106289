/**
 * Simulated targets, links and time, shared by all policies.
 */
import * as random from "../../common/random.js";
import * as config from "../../common/config/Types.js";
import * as fixtures from "../../common/routing/fixture.js";
import * as spillOver from "../../common/routing/spillOver.js";
import * as types from "../../common/Types.js";
import * as simScheduler from "./simScheduler.js";
import * as simTarget from "./simTarget.js";
import * as policyTypes from "./Types.js";

/** One-way delay between two processes in the same zone. */
const sameZoneDelayMs = 0.25;

export interface SimCall {
    readonly deadlineAtMs: number;
    finish(outcome: "answered" | "refused"): void;
}

export type SendCall = (call: SimCall) => void;

export interface Simulation {
    readonly scheduler: simScheduler.SimScheduler;
    readonly random: types.Random;
    readonly targets: readonly simTarget.SimTarget[];
    readonly zones: readonly types.ZoneName[];
    readonly configuration: config.Configuration;
    /** One-way delay of a message. */
    getDelayMs(from: types.ZoneName, to: types.ZoneName): number;
    isInService(index: number): boolean;
    isZoneOut(zone: types.ZoneName): boolean;
    /** Takes the last zone out of service or puts it back. */
    setLastZoneOut(out: boolean): void;
}

/**
 * Creates the simulated targets and links of a scenario.
 *
 * @param scenario - sizes and noise
 * @param seed - seed of all random numbers
 * @returns the simulation at time 0
 */
export const createSimulation = (scenario: policyTypes.Scenario, seed: number): Simulation => {
    const scheduler = simScheduler.createSimScheduler();
    const source = random.createRandom(seed);
    const configuration = fixtures.createConfiguration(scenario.shape);
    const section = [...configuration.services.values()][0];
    // Each target has its own random generator, so that the noise is the same under every policy.
    const targets = (section?.targets ?? []).map((target, index) =>
        simTarget.createSimTarget(target, scheduler, random.createRandom(seed * 1_000 + index), scenario.noise),
    );
    const zones = configuration.topology.zones.map(zone => zone.name);
    const getLinkMs = spillOver.createGetDelay(configuration.topology);
    const lastZone = zones[zones.length - 1];
    let isLastZoneOut = false;
    const isZoneOut = (zone: types.ZoneName): boolean => isLastZoneOut && zone === lastZone;
    return {
        scheduler,
        random: source,
        targets,
        zones,
        configuration,
        getDelayMs: (from, to) => sameZoneDelayMs + getLinkMs(from, to),
        isInService: index => {
            const zone = targets[index]?.config.zone;
            return zone !== undefined && !isZoneOut(zone);
        },
        isZoneOut,
        setLastZoneOut: out => (isLastZoneOut = out),
    };
};

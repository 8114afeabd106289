/**
 * Draws the faults of a soak from a seed.
 */
import * as random from "../../common/random.js";
import * as shared from "../../common/Types.js";
import * as relay from "../system/relay.js";
import * as types from "./Types.js";

export interface SoakSize {
    readonly vms: number;
    readonly targets: number;
    readonly zones: number;
    readonly services: number;
    /** Time in which faults begin, in milliseconds. */
    readonly faultsMs: number;
}

/** Faults of an episode begin within this time, so that they overlap. */
const episodeMs = 6_000;
const faultsPerEpisode = 8;
const shortestMs = 300;
const longestMs = 4_000;
const delayMs = 40;

type Draw = (source: shared.Random, size: SoakSize) => types.Fault;

const pickOne = <T>(source: shared.Random, items: readonly T[]): T => {
    const item = items[source.nextInt(items.length)];
    if (item === undefined) {
        throw new Error("nothing to pick from");
    }
    return item;
};

const drawTimeMs = (source: shared.Random): number =>
    Math.round(shortestMs + source.nextFloat() * (longestMs - shortestMs));

const links: readonly relay.LinkState[] = [
    { kind: "cut" },
    { kind: "freeze" },
    { kind: "one-way" },
    { kind: "delay", delayMs },
];

const targetModes: readonly types.TargetMode[] = ["slow", "failing", "reset", "truncated", "extra-answer", "full"];

const drawSignal: Draw = (source, size) => ({
    kind: "signal",
    vm: source.nextInt(size.vms),
    signal: pickOne(source, ["SIGKILL", "SIGTERM", "SIGSTOP", "SIGHUP"] as const),
    forMs: drawTimeMs(source),
});

/** Faults of the VMs and of what they depend on. */
const systemFaults: readonly Draw[] = [
    drawSignal,
    drawSignal,
    source => ({
        kind: "store",
        mode: pickOne(source, ["busy", "silent", "slow", "lost-answers", "no-history"] as const),
        forMs: drawTimeMs(source),
    }),
    (source, size) => ({
        kind: "store-link",
        vm: source.nextInt(size.vms),
        state: pickOne(source, links),
        forMs: drawTimeMs(source),
    }),
];

/** Faults of targets, and the work of operators. */
const targetFaults: readonly Draw[] = [
    (source, size) => ({
        kind: "target",
        target: source.nextInt(size.targets),
        mode: pickOne(source, targetModes),
        forMs: drawTimeMs(source),
    }),
    (source, size) => ({
        kind: "service",
        service: source.nextInt(size.services),
        mode: pickOne(source, targetModes),
        forMs: drawTimeMs(source),
    }),
    (source, size) => ({
        kind: "target-link",
        target: source.nextInt(size.targets),
        state: pickOne(source, links),
        forMs: drawTimeMs(source),
    }),
    (source, size) => ({ kind: "crash", target: source.nextInt(size.targets), forMs: drawTimeMs(source) }),
    (source, size) => ({ kind: "drain", target: source.nextInt(size.targets) }),
    () => ({ kind: "configuration" }),
    (source, size) => ({ kind: "zone-out", zone: source.nextInt(size.zones), forMs: 2 * longestMs }),
];

/**
 * Draws a plan: episodes of overlapping faults. Half of the seeds disturb targets alone: only where the VMs and the store
 * are left alone can they be held to bounds in time.
 *
 * @param seed - seed of all choices
 * @param size - what there is to disturb
 * @returns the faults in the order of their times
 */
export const drawPlan = (seed: number, size: SoakSize): readonly types.PlannedFault[] => {
    const source = random.createRandom(seed);
    const draws = source.nextInt(2) === 0 ? targetFaults : [...systemFaults, ...targetFaults];
    const plan: types.PlannedFault[] = [];
    for (let fromMs = 0; fromMs < size.faultsMs; fromMs += episodeMs) {
        for (let count = 0; count < faultsPerEpisode; count++) {
            const atMs = Math.round(fromMs + source.nextFloat() * Math.min(episodeMs, size.faultsMs - fromMs));
            plan.push({ atMs, fault: pickOne(source, draws)(source, size) });
        }
    }
    return plan.sort((left, right) => left.atMs - right.atMs);
};

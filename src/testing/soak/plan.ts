/**
 * Generates the faults of a soak test from a seed.
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
    /** Period in which faults begin, in milliseconds. */
    readonly faultsMs: number;
}

/** All faults of an episode begin within this time, so that they overlap. */
const episodeMs = 6_000;
const faultsPerEpisode = 8;
const minFaultMs = 300;
const maxFaultMs = 4_000;
const linkDelayMs = 40;
const maxCopyAgeMs = 10_000;
/** Partitions shorter than the time that VMs have to notice them show nothing. */
const minPartitionMs = 3_000;
/** Long enough for requests after the third crash and the time in which VMs may learn of it. */
const minCrashingMs = 6_000;
const minCrashGapMs = 200;
/** Between the restarts of the targets of a service, which are cold at first. */
const minRestartGapMs = 400;

type CreateFault = (source: shared.Random, size: SoakSize) => types.Fault;

const pickOne = <T>(source: shared.Random, items: readonly T[]): T => {
    const item = items[source.nextInt(items.length)];
    if (item === undefined) {
        throw new Error("cannot pick from an empty list");
    }
    return item;
};

/** Picks a part of the indices below a count, at least one and not all. */
const pickSome = (source: shared.Random, count: number): readonly number[] => {
    const first = source.nextInt(count);
    const length = 1 + source.nextInt(count - 1);
    return Array.from({ length }, (_, index) => (first + index) % count);
};

const pickDurationMs = (source: shared.Random): number =>
    Math.round(minFaultMs + source.nextFloat() * (maxFaultMs - minFaultMs));

const linkFaults: readonly relay.LinkState[] = [
    { kind: "cut" },
    { kind: "freeze" },
    { kind: "one-way" },
    { kind: "delay", delayMs: linkDelayMs },
];

const partitionFaults: readonly relay.LinkState[] = [{ kind: "cut" }, { kind: "freeze" }, { kind: "refuse" }];

const targetModes: readonly types.TargetMode[] = [
    "slow",
    "failing",
    "reset",
    "truncated",
    "extra-answer",
    "spoilt-head",
    "long-line",
    "false-refusal",
    "full",
    "limited",
    "pausing",
    "response-copies",
];

const createSignalFault: CreateFault = (source, size) => ({
    kind: "signal",
    vm: source.nextInt(size.vms),
    signal: pickOne(source, ["SIGKILL", "SIGTERM", "SIGSTOP", "SIGHUP"] as const),
    forMs: pickDurationMs(source),
});

/** Faults of the VMs, the store and the links to it. */
const systemFaults: readonly CreateFault[] = [
    createSignalFault,
    createSignalFault,
    source => ({
        kind: "store",
        mode: pickOne(source, ["busy", "silent", "slow", "lost-answers", "no-history"] as const),
        forMs: pickDurationMs(source),
    }),
    source => ({
        kind: "store-restore",
        agoMs: Math.round(source.nextFloat() * maxCopyAgeMs),
        forMs: pickDurationMs(source),
    }),
    (source, size) => ({
        kind: "partition",
        vms: source.nextInt(2) === 0 ? "used" : pickSome(source, size.vms),
        state: pickOne(source, partitionFaults),
        forMs: minPartitionMs + pickDurationMs(source),
    }),
    (source, size) => ({
        kind: "store-link",
        vm: source.nextInt(size.vms),
        state: pickOne(source, linkFaults),
        forMs: pickDurationMs(source),
    }),
];

/** Faults of targets, and changes made by operators. */
const targetFaults: readonly CreateFault[] = [
    (source, size) => ({
        kind: "target",
        target: source.nextInt(size.targets),
        mode: pickOne(source, targetModes),
        forMs: pickDurationMs(source),
    }),
    (source, size) => ({
        kind: "service",
        service: source.nextInt(size.services),
        mode: pickOne(source, targetModes),
        forMs: pickDurationMs(source),
    }),
    (source, size) => ({
        kind: "target-link",
        target: source.nextInt(size.targets),
        state: pickOne(source, linkFaults),
        forMs: pickDurationMs(source),
    }),
    (source, size) => ({
        kind: "crash",
        target: source.nextInt(size.targets),
        keepsAddress: source.nextInt(2) === 0,
        forMs: pickDurationMs(source),
    }),
    (source, size) => ({
        kind: "restart",
        service: source.nextInt(size.services),
        gapMs: minRestartGapMs + source.nextInt(minRestartGapMs),
        forMs: minFaultMs + source.nextInt(minFaultMs),
        mode: source.nextInt(3) === 0 ? undefined : "response-copies",
    }),
    (source, size) => ({ kind: "drain", target: source.nextInt(size.targets) }),
    (source, size) => ({ kind: "leave", target: source.nextInt(size.targets) }),
    (source, size) => ({ kind: "remove", target: source.nextInt(size.targets) }),
    source => ({
        kind: "crashing-request",
        mode: pickOne(source, ["reset", "silent", "mid-response"] as const),
        gapMs: minCrashGapMs + source.nextInt(minCrashGapMs),
        forMs: minCrashingMs + pickDurationMs(source),
    }),
    () => ({ kind: "configuration" }),
    (source, size) => ({ kind: "zone-out", zone: source.nextInt(size.zones), forMs: 2 * maxFaultMs }),
];

/**
 * Generates a plan of episodes with overlapping faults. Half of the seeds disturb only targets, because time bounds can
 * be checked only while the VMs and the store are undisturbed.
 *
 * @param seed - seed of all random choices
 * @param size - size of the system and length of the soak
 * @returns the faults, ordered by time
 */
export const createPlan = (seed: number, size: SoakSize): readonly types.PlannedFault[] => {
    const source = random.createRandom(seed);
    const faultCreators = source.nextInt(2) === 0 ? targetFaults : [...systemFaults, ...targetFaults];
    const plan: types.PlannedFault[] = [];
    for (let fromMs = 0; fromMs < size.faultsMs; fromMs += episodeMs) {
        for (let count = 0; count < faultsPerEpisode; count++) {
            const atMs = Math.round(fromMs + source.nextFloat() * Math.min(episodeMs, size.faultsMs - fromMs));
            plan.push({ atMs, fault: pickOne(source, faultCreators)(source, size) });
        }
    }
    return plan.sort((left, right) => left.atMs - right.atMs);
};

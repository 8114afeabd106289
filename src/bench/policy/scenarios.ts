/**
 * The experiments: shapes of the current deployments, policies and disturbances.
 */
import * as fixtures from "../../common/routing/fixture.js";
import * as policyTypes from "./Types.js";

/** Bookings at Fraserbank: 10 targets with 4 slots, zones 5 ms apart. */
export const fraserbank: fixtures.ServiceShape = {
    name: "bookings",
    targets: 10,
    zones: ["a", "b", "c"],
    slots: 4,
    queueLimit: 200,
    linkDelayMs: 5,
};

/** The tally desk at Mareeba: 20 targets with 2 slots, zones 4 ms apart. */
export const mareeba: fixtures.ServiceShape = {
    ...fraserbank,
    name: "tally-desk",
    targets: 20,
    slots: 2,
    linkDelayMs: 4,
};

export const owners: policyTypes.PolicyOptions = {
    kind: "owners",
    ownZoneOnly: false,
    spillOver: true,
    limitDrop: true,
    coldLeases: true,
};

/** Table row: a scenario and its labels, one for each label column. */
export interface LabelledScenario {
    readonly labels: readonly string[];
    readonly scenario: policyTypes.Scenario;
}

export interface Experiment {
    readonly name: string;
    readonly columns: readonly string[];
    readonly rows: readonly LabelledScenario[];
}

const shapes = [
    ["Fraserbank", fraserbank],
    ["Mareeba", mareeba],
] as const;

const base: policyTypes.Scenario = {
    shape: fraserbank,
    entryVms: 15,
    load: 0.7,
    firstZoneShare: 1 / 3,
    policy: owners,
    noise: "slower",
    disturbance: { kind: "none" },
    warmUpMs: 4_000,
    durationMs: 24_000,
    deadlineMs: 2_000,
};

const formatLoad = (load: number): string => `${String(Math.round(load * 100))} %`;

const policies: readonly (readonly [string, policyTypes.PolicyOptions])[] = [
    ["owners", owners],
    ["two random, all zones", { ...owners, kind: "twoRandom" }],
    ["two random, own zone", { ...owners, kind: "twoRandom", ownZoneOnly: true }],
    ["round robin, all zones", { ...owners, kind: "roundRobin" }],
    ["round robin, own zone", { ...owners, kind: "roundRobin", ownZoneOnly: true }],
];

const policyRows = shapes.flatMap(([name, shape]) =>
    [0.5, 0.7, 0.9].flatMap(load =>
        policies.map(([label, policy]) => ({
            labels: [name, formatLoad(load), label],
            scenario: { ...base, shape, load, policy },
        })),
    ),
);

const spillRows = shapes.flatMap(([name, shape]) =>
    [1 / 3, 0.5].flatMap(share =>
        [0.5, 0.7, 0.9].flatMap(load =>
            [true, false].map(spillOver => ({
                labels: [name, formatLoad(share), formatLoad(load), spillOver ? "on" : "off"],
                scenario: { ...base, shape, load, firstZoneShare: share, policy: { ...owners, spillOver } },
            })),
        ),
    ),
);

const noises = ["slower", "shared"] as const;

const slowRows = shapes.flatMap(([name, shape]) =>
    noises.flatMap(noise =>
        [0.5, 0.7, 0.9].flatMap(load =>
            [true, false].map(limitDrop => ({
                labels: [name, noise, formatLoad(load), limitDrop ? "on" : "off"],
                scenario: {
                    ...base,
                    shape,
                    load,
                    noise,
                    policy: { ...owners, limitDrop },
                    disturbance: { kind: "slowTarget", fromMs: 6_000, toMs: 18_000, factor: 10 } as const,
                },
            })),
        ),
    ),
);

const coldPolicies: readonly (readonly [string, policyTypes.PolicyOptions])[] = [
    ["owners, cold leases", owners],
    ["owners, cold start ignored", { ...owners, coldLeases: false }],
    ["two random, cold limit in each VM", { ...owners, kind: "twoRandom" }],
    ["two random, cold start ignored", { ...owners, kind: "twoRandom", coldLeases: false }],
];

const coldRows = shapes.flatMap(([name, shape]) =>
    [0.7, 0.9].flatMap(load =>
        coldPolicies.map(([label, policy]) => ({
            labels: [name, formatLoad(load), label],
            scenario: {
                ...base,
                shape,
                load,
                // Two zones are in service at the start.
                firstZoneShare: 0.5,
                policy,
                disturbance: { kind: "zoneReturns", atMs: 6_000 } as const,
            },
        })),
    ),
);

export const experiments: readonly Experiment[] = [
    { name: "policy", columns: ["deployment", "load", "policy"], rows: policyRows },
    { name: "spill", columns: ["deployment", "calls in zone a", "load", "spill-over"], rows: spillRows },
    { name: "slow", columns: ["deployment", "noise", "load", "limit drop"], rows: slowRows },
    { name: "cold", columns: ["deployment", "load", "policy"], rows: coldRows },
];

/**
 * Small deployment plans for scenarios.
 */
import * as systemTypes from "../system/Types.js";

const mebibyte = 1024 * 1024;

const createService = (
    service: string,
    targets: number,
    serviceMs: number,
    change: Partial<systemTypes.ServicePlan> = {},
): systemTypes.ServicePlan => ({
    service,
    targets,
    slots: 4,
    coldSlots: 4,
    connections: 50,
    serviceTime: { kind: "fixed", ms: serviceMs },
    deadlineMs: 10_000,
    maxBodyBytes: 64 * mebibyte,
    idempotent: ["PUT /notes/*"],
    nonIdempotent: [],
    ...change,
});

/** Three entry VMs in three zones, a fast service and one whose calls take about a second. */
export const threeZones: systemTypes.DeploymentPlan = {
    name: "three-zones",
    region: "region",
    zones: ["zone-a", "zone-b", "zone-c"],
    linkDelayMs: 1,
    entries: 3,
    services: [createService("bookings", 6, 10), createService("payouts", 6, 800)],
};

/** One fast target in each zone, so calls to a cell whose target drains must go to another zone. */
export const oneTargetPerZone: systemTypes.DeploymentPlan = {
    ...threeZones,
    name: "one-target-per-zone",
    services: [createService("bookings", 3, 10), createService("payouts", 6, 800)],
};

/** Five entry VMs, so that a majority remains when two are lost. */
export const fiveEntries: systemTypes.DeploymentPlan = { ...threeZones, name: "five-entries", entries: 5 };

/** Short intervals for lookups, gossip and head polls, to keep scenarios short. */
export const shortIntervalArgs: readonly string[] = [
    "--lookup-ttl-ms",
    "1000",
    "--gossip-interval-ms",
    "250",
    "--head-poll-ms",
    "250",
    "--member-timeout-ms",
    "3000",
];

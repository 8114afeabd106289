/**
 * The deployments in section 1.3 of the design, and the service files that operators publish for them.
 */
import * as yaml from "yaml";
import * as targets from "../targets/Types.js";
import * as types from "./Types.js";

// The design specifies targets, slots, connections and links, but not the service times, which are assumed here.
const exponential = (meanMs: number): targets.ServiceTime => ({ kind: "exponential", meanMs });
const logNormal = (medianMs: number): targets.ServiceTime => ({ kind: "logNormal", medianMs, sigma: 0.5 });

const bookingBodyBytes = 1024 * 1024;
const photographBodyBytes = 64 * 1024 * 1024;

export const fraserbank: types.DeploymentPlan = {
    name: "fraserbank",
    region: "fraser",
    zones: ["fraser-a", "fraser-b", "fraser-c"],
    linkDelayMs: 5,
    entries: 5,
    services: [
        {
            service: "profiles",
            targets: 10,
            slots: 4,
            coldSlots: 1,
            connections: 200,
            serviceTime: exponential(4),
            deadlineMs: 2000,
            maxBodyBytes: bookingBodyBytes,
            idempotent: ["PUT /profiles/*"],
            nonIdempotent: [],
        },
        {
            service: "bookings",
            targets: 10,
            slots: 4,
            coldSlots: 1,
            connections: 200,
            serviceTime: logNormal(8),
            deadlineMs: 5000,
            maxBodyBytes: bookingBodyBytes,
            idempotent: [],
            nonIdempotent: ["GET /bookings/*/confirm"],
        },
        {
            service: "inspection",
            targets: 6,
            slots: 4,
            coldSlots: 1,
            connections: 200,
            serviceTime: logNormal(20),
            deadlineMs: 30_000,
            maxBodyBytes: photographBodyBytes,
            idempotent: ["PUT /photographs/*"],
            nonIdempotent: [],
        },
    ],
};

export const mareeba: types.DeploymentPlan = {
    name: "mareeba",
    region: "mareeba",
    zones: ["mareeba-a", "mareeba-b", "mareeba-c"],
    linkDelayMs: 4,
    entries: 5,
    services: [
        {
            service: "tally-desk",
            targets: 20,
            slots: 2,
            coldSlots: 1,
            connections: 250,
            serviceTime: exponential(5),
            deadlineMs: 2000,
            maxBodyBytes: bookingBodyBytes,
            idempotent: ["PUT /tallies/*"],
            nonIdempotent: [],
        },
        {
            service: "payout-ledger",
            targets: 12,
            slots: 2,
            coldSlots: 1,
            connections: 250,
            serviceTime: logNormal(10),
            deadlineMs: 5000,
            maxBodyBytes: bookingBodyBytes,
            idempotent: [],
            nonIdempotent: [],
        },
        {
            service: "estate-files",
            targets: 6,
            slots: 2,
            coldSlots: 1,
            connections: 250,
            serviceTime: logNormal(30),
            deadlineMs: 60_000,
            maxBodyBytes: photographBodyBytes,
            idempotent: ["PUT /bundles/*"],
            nonIdempotent: [],
        },
    ],
};

const pickZone = (plan: types.DeploymentPlan, index: number): string => plan.zones[index % plan.zones.length] ?? "";

/**
 * Creates the target specifications of a deployment, assigned to the zones in turn.
 *
 * @param plan - the deployment
 * @param seed - seed of the service times
 * @param override - settings that replace those of the plan for all targets
 * @returns the targets, each with port 0
 */
export const createTargets = (
    plan: types.DeploymentPlan,
    seed: number,
    override: Partial<targets.TargetSpec> = {},
): types.PlannedTarget[] =>
    plan.services.flatMap((service, position) =>
        Array.from({ length: service.targets }, (_, index) => ({
            service,
            spec: {
                id: `${service.service}-${index + 1}`,
                zone: pickZone(plan, index),
                listen: "127.0.0.1:0",
                slots: service.slots,
                coldSlots: service.coldSlots,
                serviceTime: service.serviceTime,
                coldForMs: 0,
                coldForCalls: 0,
                collapse: "slow" as const,
                probeMs: 6,
                seed: seed + 1000 * position + index,
                recordsHistory: true,
                ...override,
            },
        })),
    );

/**
 * Lists the entry VMs of a deployment, assigned to the zones in turn.
 *
 * @param plan - the deployment
 * @returns name and zone of each VM
 */
export const listEntries = (plan: types.DeploymentPlan): { readonly vm: string; readonly zone: string }[] =>
    Array.from({ length: plan.entries }, (_, index) => ({ vm: `entry-${index + 1}`, zone: pickZone(plan, index) }));

const formatServiceFile = (
    service: types.ServicePlan,
    planned: readonly types.PlannedTarget[],
    addresses: Readonly<Record<string, string>>,
): string => {
    const { deadlineMs, connections, maxBodyBytes, idempotent, nonIdempotent, slots, coldSlots } = service;
    const own = planned.filter(target => target.service.service === service.service);
    return yaml.stringify({
        service: service.service,
        slots,
        coldSlots,
        deadlineMs,
        connections,
        maxBodyBytes,
        idempotent,
        nonIdempotent,
        targets: own.map(({ spec }) => ({
            id: spec.id,
            address: addresses[spec.id],
            zone: spec.zone,
            vm: `vm-${spec.id}`,
        })),
    });
};

/**
 * Formats the configuration files that operators publish for a deployment.
 *
 * @param plan - the deployment
 * @param planned - targets of the deployment
 * @param addresses - address by target id
 * @returns file content by file name
 */
export const formatConfigFiles = (
    plan: types.DeploymentPlan,
    planned: readonly types.PlannedTarget[],
    addresses: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> => ({
    "topology.yaml": yaml.stringify({
        zones: Object.fromEntries(plan.zones.map(zone => [zone, plan.region])),
        zoneDelayMs: plan.linkDelayMs,
    }),
    ...Object.fromEntries(
        plan.services.map(service => [`${service.service}.yaml`, formatServiceFile(service, planned, addresses)]),
    ),
});

/**
 * Schema and parser of scenario files in YAML.
 */
import * as yaml from "yaml";
import * as zod from "zod";
import * as types from "./Types.js";

const serviceTime = zod.discriminatedUnion("kind", [
    zod.strictObject({ kind: zod.literal("fixed"), ms: zod.number() }),
    zod.strictObject({ kind: zod.literal("exponential"), meanMs: zod.number() }),
    zod.strictObject({ kind: zod.literal("logNormal"), medianMs: zod.number(), sigma: zod.number() }),
]);

const overhead = zod.strictObject({
    kind: zod.literal("overhead"),
    name: zod.string(),
    seed: zod.int(),
    ratePerSecond: zod.number().positive(),
    warmUpMs: zod.int().min(0),
    durationMs: zod.int().positive(),
    rounds: zod.int().positive(),
    closedLoopConnections: zod.int().positive(),
    closedLoopMs: zod.int().positive(),
    serviceTime,
    logLevel: zod.string().default("info"),
});

const load = zod.strictObject({
    service: zod.string(),
    ratePerSecond: zod.number().positive(),
    method: zod.string().default("GET"),
    path: zod.string().startsWith("/"),
    bodyBytes: zod.int().min(0).default(0),
    deadlineMs: zod.int().positive().default(5000),
    key: zod.enum(["none", "issued", "foreign"]).default("none"),
    isIdempotent: zod.boolean(),
});

// Targets and the platform define and interpret these fields themselves, so the schema does not repeat them.
const arbitraryFields = zod.record(zod.string(), zod.unknown());

const fault = zod.strictObject({
    atMs: zod.int().min(0),
    targets: zod.array(zod.string()).optional(),
    change: arbitraryFields.optional(),
    platform: arbitraryFields.optional(),
    command: zod.array(zod.string()).optional(),
    vm: zod.string().optional(),
    signal: zod.enum(["SIGKILL", "SIGSTOP", "SIGCONT", "SIGTERM"]).optional(),
});

const policy = zod.strictObject({
    kind: zod.literal("policy"),
    name: zod.string(),
    seed: zod.int(),
    deployment: zod.enum(["fraserbank", "mareeba"]),
    entries: zod.int().positive().default(5),
    routers: zod
        .array(zod.enum(["entry", "twoRandom"]))
        .min(1)
        .default(["entry"]),
    warmUpMs: zod.int().min(0).default(2000),
    durationMs: zod.int().positive(),
    loads: zod.array(load).min(1),
    faults: zod.array(fault).default([]),
    targetSpec: arbitraryFields.default({}),
});

const scenario = zod.discriminatedUnion("kind", [overhead, policy]);

/**
 * Parses a scenario file.
 *
 * @param text - YAML text
 * @returns the scenario
 * @throws an error that names the invalid fields
 */
export const parseScenario = (text: string): types.Scenario => {
    const result = scenario.safeParse(yaml.parse(text));
    if (!result.success) {
        throw new Error(`the scenario is not valid:\n${zod.prettifyError(result.error)}`);
    }
    return result.data;
};

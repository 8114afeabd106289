/**
 * Runs a deployment under load and faults, with the entry daemons or with the alternative router (`twoRandom`).
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as checker from "../testing/history/checker.js";
import * as history from "../testing/history/Types.js";
import * as httpServer from "../testing/http/httpServer.js";
import * as deployments from "../testing/system/deployments.js";
import * as ports from "../testing/system/ports.js";
import * as processes from "../testing/system/processes.js";
import * as system from "../testing/system/system.js";
import * as systemTypes from "../testing/system/Types.js";
import * as loadProcess from "./loadProcess.js";
import * as types from "./Types.js";

export interface PolicyResult {
    readonly metrics: types.Metrics;
    readonly violations: readonly string[];
}

/** Router addresses by zone of the caller; those in the caller's own zone come first. */
type AddressesByZone = Readonly<Record<string, readonly string[]>>;

const startTimeoutMs = 30_000;

const listByZone = (
    plan: systemTypes.DeploymentPlan,
    routers: readonly { readonly zone: string; readonly address: string }[],
): AddressesByZone =>
    Object.fromEntries(
        plan.zones.map(zone => [
            zone,
            [...routers.filter(router => router.zone === zone), ...routers.filter(router => router.zone !== zone)].map(
                router => router.address,
            ),
        ]),
    );

const startEntries = async (
    runningSystem: system.System,
    plan: systemTypes.DeploymentPlan,
): Promise<AddressesByZone> => {
    const published = await runningSystem.publish();
    if (published.exitCode !== 0) {
        throw new Error(`publish exited with code ${published.exitCode}: ${published.lines.join("\n")}`);
    }
    await Promise.all(runningSystem.entries.map(entry => runningSystem.waitForHealth(entry)));
    await runningSystem.waitForAgreement();
    return listByZone(
        plan,
        runningSystem.entries.map(entry => ({ zone: entry.zone, address: entry.listen })),
    );
};

const startRouters = async (
    runningSystem: system.System,
    plan: systemTypes.DeploymentPlan,
    scenario: types.PolicyScenario,
    folder: string,
    started: systemTypes.ManagedProcess[],
): Promise<AddressesByZone> => {
    const services = Object.fromEntries(
        plan.services.map(({ service }) => [
            service,
            Object.entries(runningSystem.targets)
                .filter(([id]) => id.startsWith(`${service}-`))
                .map(([, address]) => address),
        ]),
    );
    const entryPlans = deployments.listEntries({ ...plan, entries: scenario.entries });
    const routers = await Promise.all(
        entryPlans.map(async ({ vm, zone }) => ({ vm, zone, address: await ports.acquireAddress() })),
    );
    for (const [index, { vm, zone, address }] of routers.entries()) {
        const others = routers.filter(router => router.address !== address).map(router => router.address);
        const file = path.join(folder, `${vm}.json`);
        const content = { services, routers: [address, ...others], zone, seed: scenario.seed + index };
        await fs.writeFile(file, JSON.stringify(content));
        started.push(processes.startProcess(vm, "bench/twoRandomMain.js", ["--file", file, "--listen", address]));
    }
    await Promise.all(started.map(router => processes.waitForReady(router, startTimeoutMs)));
    return listByZone(plan, routers);
};

/** Applies each fault at its time and returns the zones that were taken out of service. */
const runFaults = async (
    runningSystem: system.System,
    scenario: types.PolicyScenario,
    router: types.Router,
): Promise<history.ZoneRemoval[]> => {
    const startedAtMs = httpServer.readMachineClockMs();
    const removals: history.ZoneRemoval[] = [];

    const runCommand = async (command: readonly string[]): Promise<void> => {
        const [group, action, zone = ""] = command;
        const submittedAtMs = httpServer.readMachineClockMs();
        const openIndex = removals.findIndex(removal => removal.zone === zone && removal.returnedAtMs === undefined);
        if (group === "zone" && action === "in" && openIndex >= 0) {
            removals.splice(openIndex, 1, {
                ...(removals[openIndex] as history.ZoneRemoval),
                returnedAtMs: submittedAtMs,
            });
        }
        const result = await runningSystem.runCommand(command);
        if (result.exitCode !== 0) {
            throw new Error(`${command.join(" ")} exited with code ${result.exitCode}: ${result.lines.join("\n")}`);
        }
        if (group === "zone" && action === "out") {
            removals.push({ zone, acceptedAtMs: httpServer.readMachineClockMs() });
        }
    };

    const applyFault = async (fault: types.TimedFault): Promise<void> => {
        await Promise.all(
            (fault.targets ?? []).map(target => runningSystem.setTargetFaults(target, fault.change ?? {})),
        );
        if (fault.platform !== undefined) {
            await runningSystem.setPlatformFaults(fault.platform);
        }
        if (router === "entry" && fault.command !== undefined) {
            await runCommand(fault.command);
        }
        const entry = runningSystem.entries.find(item => item.vm === fault.vm);
        entry?.process.sendSignal(fault.signal as NodeJS.Signals);
    };

    for (const fault of [...scenario.faults].sort((left, right) => left.atMs - right.atMs)) {
        await httpServer.waitMs(Math.max(0, startedAtMs + fault.atMs - httpServer.readMachineClockMs()));
        await applyFault(fault);
    }
    return removals;
};

const countTargetEvents = (
    events: readonly history.TargetEvent[],
    scenario: types.PolicyScenario,
): Record<string, number> => {
    const count = (kind: history.TargetEventKind): number => events.filter(event => event.kind === kind).length;
    return {
        "targets.started": count("started"),
        "targets.refused": count("refused"),
        "targets.collapsed": count("collapsed"),
        "targets.probesPerSecond": (count("probed") * 1000) / scenario.durationMs,
    };
};

const runWithRouter = async (scenario: types.PolicyScenario, router: types.Router): Promise<PolicyResult> => {
    const base = scenario.deployment === "fraserbank" ? deployments.fraserbank : deployments.mareeba;
    const plan = { ...base, entries: router === "entry" ? scenario.entries : 0 };
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "tarragonpath-policy-"));
    const { seed, targetSpec, warmUpMs, durationMs, loads } = scenario;
    const routers: systemTypes.ManagedProcess[] = [];
    const runningSystem = await system.startSystem({ plan, seed, targetSpec });
    try {
        const addresses =
            router === "entry"
                ? await startEntries(runningSystem, plan)
                : await startRouters(runningSystem, plan, scenario, folder, routers);
        const historyFile = path.join(folder, "callers.json");
        const job = { kind: "calls", addresses, loads, warmUpMs, durationMs, seed, historyFile } as const;
        const [metrics, removals] = await Promise.all([
            loadProcess.runLoadProcess(job, durationMs),
            runFaults(runningSystem, scenario, router),
        ]);
        const callers = JSON.parse(await fs.readFile(historyFile, "utf8")) as history.CallerEvent[];
        const targets = await runningSystem.readTargetEvents();
        const limits = deployments
            .createTargets(plan, seed, targetSpec)
            .map(({ spec }) => ({ target: spec.id, coldSlots: spec.coldSlots }));
        const found = checker.checkHistory({ targets, callers, removals, limits }, checker.defaultAllowances);
        return {
            metrics: { ...metrics, ...countTargetEvents(targets, scenario), violations: found.length },
            violations: found.map(violation => `${violation.rule}: ${violation.message}`),
        };
    } finally {
        await Promise.all(routers.map(item => processes.stopProcess(item)));
        await runningSystem.close();
        await fs.rm(folder, { recursive: true, force: true });
    }
};

/**
 * Runs the scenario with each of its routers in sequence.
 *
 * @param scenario - deployment, load and faults
 * @returns metrics by router, and the violations found in runs with the entry daemons
 */
export const runPolicy = async (scenario: types.PolicyScenario): Promise<PolicyResult> => {
    const metrics: [string, number][] = [];
    const violations: string[] = [];
    for (const router of scenario.routers) {
        const result = await runWithRouter(scenario, router);
        metrics.push(
            ...Object.entries(result.metrics).map(([name, value]): [string, number] => [`${router}.${name}`, value]),
        );
        violations.push(...(router === "entry" ? result.violations : []));
    }
    return { metrics: Object.fromEntries(metrics), violations };
};

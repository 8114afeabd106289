/**
 * Starts a complete system of processes: the stand-ins for the platform and the targets, and the entry daemons.
 */
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as undici from "undici";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as platform from "../platform/Types.js";
import * as targets from "../targets/Types.js";
import * as deployments from "./deployments.js";
import * as ports from "./ports.js";
import * as processes from "./processes.js";
import * as relay from "./relay.js";
import * as types from "./Types.js";

export interface System {
    readonly platformUrl: string;
    readonly entries: readonly types.EntryVm[];
    /** Address by target id. */
    readonly targets: Readonly<Record<string, string>>;
    /** Configuration files that `publish` uses by default. */
    readonly configFolder: string;
    /** Relays to the platform by entry VM. */
    readonly relays: ReadonlyMap<string, relay.Relay>;
    /** Relays to the control ports by entry VM. */
    readonly controlRelays: ReadonlyMap<string, relay.Relay>;
    readonly publish: (folder?: string) => Promise<types.PublishResult>;
    /** Runs an operator command, for example `["zone", "out", "a"]`. */
    readonly runCommand: (args: readonly string[]) => Promise<types.PublishResult>;
    readonly startEntry: (vm: string, zone: string) => Promise<types.EntryVm>;
    readonly waitForHealth: (entry: types.EntryVm) => Promise<void>;
    /** Waits until all running entry VMs return the same VMs for lookups, which shows that gossip has converged. */
    readonly waitForAgreement: () => Promise<void>;
    readonly setPlatformFaults: (change: platform.PlatformFaultChange) => Promise<void>;
    readonly setTargetFaults: (target: string, change: targets.TargetFaultChange) => Promise<void>;
    readonly readTargetEvents: () => Promise<history.TargetEvent[]>;
    readonly setListedVm: (entry: types.EntryVm, state: "live" | "leaving") => Promise<void>;
    /** Stops all processes that this harness started. */
    readonly close: () => Promise<void>;
}

const defaultStartTimeoutMs = 30_000;
const healthPollMs = 50;
const commandProgram = "cli/main.js";

const sendJson = async (url: string, method: "POST" | "PUT", value: unknown): Promise<void> => {
    const response = await undici.request(url, { method, body: JSON.stringify(value) });
    await response.body.dump();
    if (response.statusCode !== 200) {
        throw new Error(`${method} ${url} returned status ${response.statusCode}`);
    }
};

/**
 * Checks the health of a daemon.
 *
 * @param address - the address for callers
 * @returns true if `/health` returns 200
 */
export const isHealthy = async (address: string): Promise<boolean> => {
    try {
        const response = await undici.request(`http://${address}/health`, { signal: AbortSignal.timeout(1000) });
        await response.body.dump();
        return response.statusCode === 200;
    } catch {
        return false;
    }
};

interface LookupResponse {
    readonly entries?: readonly { readonly vm: string }[];
}

/** Lists the VMs in all lookup responses of an entry VM, or returns undefined if it refuses. */
const readLookups = async (address: string, plan: types.DeploymentPlan): Promise<string | undefined> => {
    const names: string[] = [];
    for (const { service } of plan.services) {
        for (const zone of plan.zones) {
            const response = await undici.request(`http://${address}/lookup/${service}?zone=${zone}`);
            const { entries } = (await response.body.json()) as LookupResponse;
            if (response.statusCode !== 200 || entries === undefined) {
                return undefined;
            }
            names.push(`${service} ${zone} ${entries.map(entry => entry.vm).join(",")}`);
        }
    }
    return names.join("; ");
};

/**
 * Starts a system without publishing a configuration, so the daemons do not become healthy before `publish`.
 *
 * @param options - the deployment and its seed
 * @returns the running system
 */
export const startSystem = async (options: types.SystemOptions): Promise<System> => {
    const timeoutMs = options.startTimeoutMs ?? defaultStartTimeoutMs;
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), "tarragonpath-"));
    const startedProcesses: types.ManagedProcess[] = [];
    const entries: types.EntryVm[] = [];
    const relays = new Map<string, relay.Relay>();
    const controlRelays = new Map<string, relay.Relay>();

    const start = (
        name: string,
        program: string,
        args: readonly string[],
        env?: Readonly<Record<string, string>>,
    ): types.ManagedProcess => {
        const started = processes.startProcess(name, program, args, env);
        startedProcesses.push(started);
        return started;
    };

    const startPlatform = async (): Promise<string> => {
        const started = start("platform", "testing/platform/main.js", []);
        const { platform: address } = await processes.waitForReady(started, timeoutMs);
        return `http://${address}`;
    };

    const startTargets = async (zone: string, specs: readonly targets.TargetSpec[]) => {
        const file = path.join(folder, `targets-${zone}.json`);
        await fs.writeFile(file, JSON.stringify(specs));
        return processes.waitForReady(start(`targets-${zone}`, "testing/targets/main.js", ["--file", file]), timeoutMs);
    };

    const writeConfigFiles = async (planned: types.PlannedTarget[], addresses: Readonly<Record<string, string>>) => {
        const configFolder = path.join(folder, "config");
        await fs.mkdir(configFolder);
        for (const [name, text] of Object.entries(deployments.formatConfigFiles(options.plan, planned, addresses))) {
            await fs.writeFile(path.join(configFolder, name), text);
        }
        return configFolder;
    };

    const setListedVm = (entry: types.EntryVm, state: "live" | "leaving"): Promise<void> => {
        const { vm, zone, listen: address, advertisedControl: control } = entry;
        return sendJson(`${platformUrl}/vms/${vm}`, "PUT", { vm, role: "entry", state, zone, address, control });
    };

    const getPlatformUrlForVm = async (vm: string): Promise<string> => {
        if (options.hasPlatformRelays !== true) {
            return platformUrl;
        }
        const link = relays.get(vm) ?? (await relay.startRelay(platformUrl.slice("http://".length)));
        relays.set(vm, link);
        return link.url;
    };

    const getAdvertisedControl = async (vm: string, control: string): Promise<string> => {
        if (options.hasControlRelays !== true) {
            return control;
        }
        const link = await relay.startRelay(control);
        controlRelays.set(vm, link);
        return link.address;
    };

    const startEntry = async (vm: string, zone: string): Promise<types.EntryVm> => {
        const listen = await ports.acquireAddress();
        const control = await ports.acquireAddress();
        const advertisedControl = await getAdvertisedControl(vm, control);
        const vmPlatformUrl = await getPlatformUrlForVm(vm);
        const flags = ["--vm", vm, "--zone", zone, "--listen", listen, "--control", control];
        flags.push("--advertise-control", advertisedControl);
        const args = ["entry", ...flags, "--platform", vmPlatformUrl, ...(options.entryArgs ?? [])];
        const entry = {
            vm,
            zone,
            listen,
            control,
            advertisedControl,
            process: start(vm, commandProgram, args, options.entryEnv),
        };
        entries.push(entry);
        await setListedVm(entry, "live");
        return entry;
    };

    const waitForHealth = async (entry: types.EntryVm): Promise<void> => {
        const endsAtMs = httpServer.readMachineClockMs() + timeoutMs;
        while (!(await isHealthy(entry.listen))) {
            if (processes.hasEnded(entry.process) || httpServer.readMachineClockMs() > endsAtMs) {
                throw new Error(`${entry.vm} is not healthy:\n${entry.process.listLines().slice(-20).join("\n")}`);
            }
            await httpServer.waitMs(healthPollMs);
        }
    };

    const waitForAgreement = async (): Promise<void> => {
        const endsAtMs = httpServer.readMachineClockMs() + timeoutMs;
        const serving = entries.filter(entry => !processes.hasEnded(entry.process));
        for (;;) {
            const lookups = await Promise.all(serving.map(entry => readLookups(entry.listen, options.plan)));
            if (new Set(lookups).size === 1 && lookups[0] !== undefined) {
                return;
            }
            if (httpServer.readMachineClockMs() > endsAtMs) {
                throw new Error(`lookups of the entry VMs differ: ${lookups.join(" | ")}`);
            }
            await httpServer.waitMs(healthPollMs);
        }
    };

    const runCommand = async (args: readonly string[]): Promise<types.PublishResult> => {
        const started = start(args[0] ?? "", commandProgram, [...args, "--platform", platformUrl]);
        const exitCode = await started.waitForExit();
        return { exitCode, lines: started.listLines() };
    };

    const readTargetEvents = async (): Promise<history.TargetEvent[]> => {
        const lists = await Promise.all(
            Object.values(addresses).map(async address => {
                const response = await undici.request(`http://${address}/_history`);
                return ((await response.body.json()) as { events: history.TargetEvent[] }).events;
            }),
        );
        return lists.flat().sort((left, right) => left.atMs - right.atMs);
    };

    const close = async (): Promise<void> => {
        await Promise.all(
            startedProcesses.filter(item => !processes.hasEnded(item)).map(item => processes.stopProcess(item)),
        );
        await Promise.all([...relays.values(), ...controlRelays.values()].map(link => link.close()));
        await fs.rm(folder, { recursive: true, force: true });
    };

    const planned = deployments.createTargets(options.plan, options.seed, options.targetSpec);
    const specs = planned.map(target => target.spec);
    const platformUrl = await startPlatform();
    const started = await Promise.all(
        options.plan.zones.map(zone =>
            startTargets(
                zone,
                specs.filter(spec => spec.zone === zone),
            ),
        ),
    );
    const addresses = Object.fromEntries(started.flatMap(part => Object.entries(part)));
    const configFolder = await writeConfigFiles(planned, addresses);
    const planEntries = deployments.listEntries(options.plan);
    const startedEntries = await Promise.all(planEntries.map(({ vm, zone }) => startEntry(vm, zone)));
    // They start concurrently, but scenarios refer to them by their position in the plan.
    entries.splice(0, entries.length, ...startedEntries);

    return {
        platformUrl,
        entries,
        targets: addresses,
        configFolder,
        relays,
        controlRelays,
        publish: (from = configFolder) => runCommand(["publish", from]),
        runCommand,
        startEntry,
        waitForHealth,
        waitForAgreement,
        setPlatformFaults: change => sendJson(`${platformUrl}/faults`, "POST", change),
        setTargetFaults: (target, change) => sendJson(`http://${addresses[target]}/_faults`, "POST", change),
        readTargetEvents,
        setListedVm,
        close,
    };
};

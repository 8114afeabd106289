/**
 * Test harness that runs the stand-in of the platform, targets and daemons as processes for one part of the
 * measurements.
 */
import * as system from "../../testing/system/system.js";
import * as fs from "node:fs/promises";
import * as undici from "undici";
import * as storageNames from "../../common/config/storageNames.js";
import * as config from "../../common/config/Types.js";
import * as platformClients from "../../node/platform/platformClient.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as ports from "../../testing/system/ports.js";
import * as processes from "../../testing/system/processes.js";
import * as systemTypes from "../../testing/system/Types.js";
import * as sectionFixture from "./sectionFixture.js";
import * as types from "./Types.js";

export interface Daemon {
    readonly vm: string;
    readonly listen: string;
    readonly control: string;
    readonly process: systemTypes.ManagedProcess;
}

export interface Harness {
    readonly platformUrl: string;
    /** Stores a configuration of the given size that uses the addresses of the harness's targets. */
    storeConfiguration(size: types.ConfigurationSize, revision: number): Promise<void>;
    startDaemon(index: number, zone: string, args: readonly string[]): Promise<Daemon>;
    /** Starts another program, which is stopped when the harness is closed. */
    startProgram(program: string, args: readonly string[]): systemTypes.ManagedProcess;
    addVm(vm: string, fields: Readonly<Record<string, unknown>>): Promise<void>;
    close(): Promise<void>;
}

const startTimeoutMs = 30_000;
const healthPollMs = 50;

const waitForHealth = async (daemon: Daemon): Promise<void> => {
    const endsAtMs = httpServer.readMachineClockMs() + startTimeoutMs;
    while (!(await system.isHealthy(daemon.listen))) {
        if (processes.hasEnded(daemon.process) || httpServer.readMachineClockMs() > endsAtMs) {
            throw new Error(
                `${daemon.vm} did not become healthy:\n${daemon.process.listLines().slice(-20).join("\n")}`,
            );
        }
        await httpServer.waitMs(healthPollMs);
    }
};

const storeSections = async (url: string, list: readonly config.Section[], revision: number): Promise<void> => {
    const client = platformClients.createPlatformClient(url);
    const { head, texts } = sectionFixture.createHead(list, revision);
    for (const [digest, text] of texts) {
        await client.objects.put(storageNames.toSectionObjectName(digest), text);
    }
    const row = await client.table.read("config/head");
    const version = row.kind === "found" ? row.row.version : 0;
    const result = await client.table.transact(
        [{ key: "config/head", version }],
        [
            { key: "config/head", value: head },
            { key: `config/revision/${revision}`, value: head },
        ],
    );
    await client.close();
    if (result.kind !== "committed") {
        throw new Error(`the configuration was not stored: ${result.kind}`);
    }
};

/**
 * Starts the stand-in of the platform and targets.
 *
 * @param targetCount - number of targets
 * @returns the harness; `close` stops all processes that it started
 */
export const startHarness = async (targetCount: number): Promise<Harness> => {
    const startedProcesses: systemTypes.ManagedProcess[] = [];
    const startProgram = (program: string, args: readonly string[]): systemTypes.ManagedProcess => {
        const started = processes.startProcess(program, program, args);
        startedProcesses.push(started);
        return started;
    };
    const platform = await processes.waitForReady(startProgram("testing/platform/main.js", []), startTimeoutMs);
    const platformUrl = `http://${platform["platform"]}`;
    const targets = startProgram("bench/capacity/fastTargetMain.js", ["--count", String(targetCount)]);
    const addresses = Object.values(await processes.waitForReady(targets, startTimeoutMs));

    const addVm = async (vm: string, fields: Readonly<Record<string, unknown>>): Promise<void> => {
        const body = JSON.stringify({ vm, ...fields });
        const response = await undici.request(`${platformUrl}/vms/${vm}`, { method: "PUT", body });
        await response.body.dump();
    };

    return {
        platformUrl,
        startProgram,
        addVm,
        storeConfiguration: (size, revision) =>
            storeSections(platformUrl, sectionFixture.createSections(size, addresses), revision),
        startDaemon: async (index, zone, args) => {
            const vm = `entry-${index}`;
            const listen = await ports.acquireAddress();
            const control = await ports.acquireAddress();
            const flags = ["--vm", vm, "--zone", zone, "--listen", listen, "--control", control];
            const child = startProgram("cli/main.js", ["entry", ...flags, "--platform", platformUrl, ...args]);
            const daemon = { vm, listen, control, process: child };
            await addVm(vm, { role: "entry", state: "live", zone, address: listen, control });
            await waitForHealth(daemon);
            return daemon;
        },
        close: async () => {
            await Promise.all(
                startedProcesses.filter(item => !processes.hasEnded(item)).map(item => processes.stopProcess(item)),
            );
        },
    };
};

/**
 * Reads the resident memory of a process.
 *
 * @param target - the process
 * @returns bytes, or NaN where the system has no `/proc`
 */
export const readResidentBytes = async (target: systemTypes.ManagedProcess): Promise<number> => {
    const text = await fs.readFile(`/proc/${target.pid}/status`, "utf8").catch(() => "");
    return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? NaN) * 1024;
};

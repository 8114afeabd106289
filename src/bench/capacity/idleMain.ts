/**
 * Runs a daemon without calls in this process in order to measure its heap.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as commander from "commander";
import * as undici from "undici";
import * as daemons from "../../node/entry/daemon.js";
import * as logSinks from "../../node/logging/logSink.js";
import * as entrySettings from "../../node/settings/entrySettings.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as ports from "../../testing/system/ports.js";

interface IdleOptions {
    readonly platform: string;
    readonly zone: string;
    readonly settleMs: string;
    readonly windowMs: string;
}

const healthPollMs = 100;
const maxHealthPolls = 200;

const collectGarbage = (): void => {
    v8.setFlagsFromString("--expose-gc");
    const collect = vm.runInNewContext("gc") as () => void;
    collect();
    collect();
};

const readMemory = (): { readonly heapBytes: number; readonly residentBytes: number } => {
    collectGarbage();
    const { heapUsed, arrayBuffers, rss } = process.memoryUsage();
    return { heapBytes: heapUsed + arrayBuffers, residentBytes: rss };
};

const waitForHealth = async (listen: string): Promise<void> => {
    for (let poll = 0; poll < maxHealthPolls; poll++) {
        await httpServer.waitMs(healthPollMs);
        const response = await undici.request(`http://${listen}/health`);
        await response.body.dump();
        if (response.statusCode === 200) {
            return;
        }
    }
    throw new Error("the daemon did not become healthy");
};

const run = async (options: IdleOptions): Promise<void> => {
    const listen = await ports.acquireAddress();
    const parsed = entrySettings.parseEntrySettings(
        {
            vm: `idle-${process.pid}`,
            zone: options.zone,
            listen,
            control: await ports.acquireAddress(),
            platform: options.platform,
            logLevel: "warn",
        },
        {},
    );
    if (parsed.kind === "invalid") {
        throw new Error(JSON.stringify(parsed.faults));
    }
    const empty = readMemory();
    const logs = logSinks.createLogSink({ level: "warn", format: "text", write: () => undefined });
    const daemon = daemons.createEntryDaemon(parsed.settings, logs);
    await daemon.start();
    await waitForHealth(listen);
    await httpServer.waitMs(Number(options.settleMs));
    const before = process.cpuUsage();
    await httpServer.waitMs(Number(options.windowMs));
    const used = process.cpuUsage(before);
    const metrics = {
        emptyHeapBytes: empty.heapBytes,
        emptyResidentBytes: empty.residentBytes,
        ...readMemory(),
        cpuMsPerSecond: (used.user + used.system) / Number(options.windowMs),
    };
    process.stdout.write(`${JSON.stringify({ kind: "metrics", metrics })}\n`, () => process.exit(0));
};

await new commander.Command("idle")
    .requiredOption("--platform <url>")
    .requiredOption("--zone <zone>")
    .requiredOption("--settle-ms <ms>")
    .requiredOption("--window-ms <ms>")
    .action(run)
    .parseAsync();

/**
 * Measures the control work of idle daemons and the time of a configuration change, by number of entry VMs.
 */
import * as ids from "../../common/ids.js";
import * as rpcClients from "../../node/peers/rpcClient.js";
import * as platformClients from "../../node/platform/platformClient.js";
import * as publishers from "../../node/publish/publisher.js";
import * as systemSchedulers from "../../node/systemScheduler.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as loadProcess from "../loadProcess.js";
import * as harnesses from "./harness.js";
import * as sectionFixture from "./sectionFixture.js";
import * as slopes from "./slopes.js";
import * as types from "./Types.js";

const clusterSizes = [2, 4, 8, 16];
const rounds = 3;
const settleMs = 4000;
const windowMs = 3500;
const size: types.ConfigurationSize = { targets: 6, services: 1, zones: 6 };

/** Number of entry VMs at the target size, derived in docs/CAPACITY.md. */
export const targetEntries = 200;

interface Round {
    readonly cpuMsPerSecond: number;
    readonly publishMs: number;
    readonly publishCpuMs: number;
}

const measureTotalCpuMs = async (daemons: readonly harnesses.Daemon[]): Promise<number> => {
    const times = await Promise.all(daemons.map(daemon => loadProcess.readCpuMs(daemon.process)));
    return times.reduce((sum, time) => sum + time, 0);
};

const measureIdle = async (daemons: readonly harnesses.Daemon[]): Promise<number> => {
    const beforeMs = await measureTotalCpuMs(daemons);
    await httpServer.waitMs(windowMs);
    return (((await measureTotalCpuMs(daemons)) - beforeMs) * 1000) / windowMs / daemons.length;
};

/** Publishes a change and returns the milliseconds until all listed entry VMs have adopted it. */
const publish = async (harness: harnesses.Harness, out: boolean): Promise<number> => {
    const platform = platformClients.createPlatformClient(harness.platformUrl);
    const rpc = rpcClients.createRpcClient();
    const publisher = publishers.createPublisher({
        platform,
        rpc,
        scheduler: systemSchedulers.createSystemScheduler({ keepAlive: true }),
        createToken: () => crypto.randomUUID(),
        logger: silentLogger.createSilentLogger(),
        author: "capacity",
    });
    const startedAtMs = httpServer.readMachineClockMs();
    const result = await publisher.publish({ kind: "setVmOut", vm: ids.toVmId("vm-service-1-6"), out });
    const durationMs = httpServer.readMachineClockMs() - startedAtMs;
    await Promise.all([platform.close(), rpc.close()]);
    if (result.kind !== "accepted" || result.missing.length > 0) {
        throw new Error(`not all entry VMs adopted the change: ${JSON.stringify(result)}`);
    }
    return durationMs;
};

const measureRound = async (
    harness: harnesses.Harness,
    daemons: readonly harnesses.Daemon[],
    round: number,
): Promise<Round> => {
    const cpuMsPerSecond = await measureIdle(daemons);
    const beforeMs = await measureTotalCpuMs(daemons);
    const startedAtMs = httpServer.readMachineClockMs();
    const firstMs = await publish(harness, true);
    const secondMs = await publish(harness, false);
    const elapsedMs = httpServer.readMachineClockMs() - startedAtMs;
    const idleMs = (cpuMsPerSecond * elapsedMs * daemons.length) / 1000;
    const usedMs = (await measureTotalCpuMs(daemons)) - beforeMs - idleMs;
    return {
        cpuMsPerSecond,
        publishMs: round === 0 ? Math.max(firstMs, secondMs) : (firstMs + secondMs) / 2,
        publishCpuMs: usedMs / 2 / daemons.length,
    };
};

const measureCluster = async (
    harness: harnesses.Harness,
    daemons: readonly harnesses.Daemon[],
): Promise<{ readonly rounds: readonly Round[]; readonly residentBytes: number }> => {
    await httpServer.waitMs(settleMs);
    const list: Round[] = [];
    for (let round = 0; round < rounds; round++) {
        list.push(await measureRound(harness, daemons, round));
    }
    const resident = await Promise.all(daemons.map(daemon => harnesses.readResidentBytes(daemon.process)));
    return { rounds: list, residentBytes: slopes.computeMedian(resident) };
};

const createSeries = (name: string, unit: string, samples: readonly types.Sample[]): types.Series => ({
    name,
    unit,
    by: "entry VMs",
    samples,
    targetSize: targetEntries,
});

/**
 * Measures a cluster while entry VMs are added.
 *
 * @returns series by the number of entry VMs
 */
export const measureControlCost = async (): Promise<types.Measurement> => {
    const harness = await harnesses.startHarness(size.targets);
    const daemons: harnesses.Daemon[] = [];
    const samples = { cpu: [] as types.Sample[], time: [] as types.Sample[], change: [] as types.Sample[] };
    const resident: types.Sample[] = [];
    try {
        await harness.storeConfiguration(size, 1);
        const zones = sectionFixture.listZones(size);
        for (const count of clusterSizes) {
            while (daemons.length < count) {
                const zone = zones[daemons.length % zones.length] ?? "";
                daemons.push(await harness.startDaemon(daemons.length, zone, ["--log-level", "warn"]));
            }
            const measured = await measureCluster(harness, daemons);
            const add = (list: types.Sample[], get: (round: Round) => number): void =>
                void list.push({ size: count, value: slopes.computeMedian(measured.rounds.map(get)) });
            add(samples.cpu, round => round.cpuMsPerSecond);
            add(samples.time, round => round.publishMs);
            add(samples.change, round => round.publishCpuMs);
            resident.push({ size: count, value: measured.residentBytes });
        }
    } finally {
        await harness.close();
    }
    return {
        series: [
            createSeries("control: CPU of a daemon without calls", "ms/s", samples.cpu),
            createSeries("control: resident memory of a daemon", "bytes", resident),
            createSeries("change: time from the start to adoption everywhere", "ms", samples.time),
            createSeries("change: CPU of a daemon", "ms", samples.change),
        ],
        figures: [],
    };
};

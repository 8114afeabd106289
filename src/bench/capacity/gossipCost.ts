/**
 * Measures gossip traffic by number of entry VMs and by rate of configuration changes, in virtual time.
 */
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as randoms from "../../common/random.js";
import * as virtualCluster from "../control/virtualCluster.js";
import * as controlCost from "./controlCost.js";
import * as sectionFixture from "./sectionFixture.js";
import * as types from "./Types.js";

const clusterSizes = [13, 26, 52, 104];
const settleMs = 12_000;
const windowMs = 10_000;
const secondMs = 1000;
const seed = 5;
/** Each nonzero rate exceeds that of the target size, so that its effect is visible in a short window. */
const changesPerMinute = [0, 6, 12, 30];
const changeClusterSize = 26;
const changesPerDayAtTarget = 4200;
const minutesPerDay = 1440;
/** Assumed share of cells whose load moves to another power of two each second. */
const changingLoadShare = 0.5;

const { services, zones } = sectionFixture.targetSize;
const cellCount = services * zones;
/** Zones of the virtual cluster. Loads of cells that are not in its configuration are not sent. */
const zoneNames = ["a", "b", "c", "d", "e", "f"];

/** Assigns each node its share of the cells of the target size, with loads that change on each call. */
const setLoads = (cluster: virtualCluster.VirtualCluster, random: ReturnType<typeof randoms.createRandom>): void => {
    const nodes = [...cluster.nodes];
    for (const [index, node] of nodes) {
        const loads: membership.CellLoad[] = [];
        for (let cell = index; cell < cellCount; cell += nodes.length) {
            const isHigh = random.nextFloat() < changingLoadShare;
            const [service, zone] = [`service-${cell % services}`, zoneNames[Math.floor(cell / services)] ?? ""];
            loads.push({
                cell: ids.toCellId(ids.toServiceName(service), ids.toZoneName(zone)),
                owner: node.blackboard.self.vm,
                freeSlots: isHigh ? 12 : 3,
                queued: isHigh ? 0 : 4,
                expectedWaitMs: isHigh ? 0 : 9,
                measuredAtMs: cluster.scheduler.now(),
            });
        }
        node.loads = loads;
    }
};

const createTexts = (revision: number): Record<string, string> => ({ "service/service-1": `revision ${revision}` });

interface NodeTraffic {
    readonly bytesPerSecond: number;
    readonly messagesPerSecond: number;
    readonly cpuMsPerSecond: number;
}

interface TrafficOptions {
    readonly size: number;
    readonly changesPerMinute: number;
    readonly hasLoads: boolean;
}

/** Measures the pulls that one node starts, with the bytes of requests and responses added up. */
const measureTraffic = async ({ size, changesPerMinute: changes, hasLoads }: TrafficOptions): Promise<NodeTraffic> => {
    const cluster = virtualCluster.createVirtualCluster({ size, seed });
    const random = randoms.createRandom(seed);
    const sectionTexts = Array.from({ length: services }, (_, index) => [`service/service-${index}`, "text"]);
    await cluster.commit(Object.fromEntries([...sectionTexts, ["topology", "text"]]) as Record<string, string>);
    const advance = async (durationMs: number): Promise<void> => {
        for (let second = 0; second < durationMs / secondMs; second++) {
            if (hasLoads) {
                setLoads(cluster, random);
            }
            const isChange = changes > 0 && second % Math.round(60 / changes) === 0;
            if (isChange) {
                await cluster.commit(createTexts(second));
            }
            await cluster.scheduler.advance(secondMs);
        }
    };
    await advance(settleMs);
    const before = { ...cluster.traffic };
    const cpu = process.cpuUsage();
    await advance(windowMs);
    const used = process.cpuUsage(cpu);
    const { requests, requestBytes, responseBytes } = cluster.traffic;
    cluster.dispose();
    const perNodeSecond = (size * windowMs) / 1000;
    const bytes = requestBytes - before.requestBytes + (responseBytes - before.responseBytes);
    return {
        bytesPerSecond: bytes / perNodeSecond,
        messagesPerSecond: (requests - before.requests) / perNodeSecond,
        cpuMsPerSecond: (used.user + used.system) / 1000 / perNodeSecond,
    };
};

const measureSizes = async (hasLoads: boolean): Promise<readonly types.Series[]> => {
    const measured: [number, NodeTraffic][] = [];
    for (const size of clusterSizes) {
        measured.push([size, await measureTraffic({ size, changesPerMinute: 0, hasLoads })]);
    }
    const suffix = hasLoads ? "with moving loads" : "without loads";
    const toSeries = (name: string, unit: string, get: (traffic: NodeTraffic) => number): types.Series => ({
        name: `gossip: ${name}, ${suffix}`,
        unit,
        by: "entry VMs",
        targetSize: controlCost.targetEntries,
        samples: measured.map(([size, traffic]) => ({ size, value: get(traffic) })),
    });
    return [
        toSeries("bodies of the pulls of a node", "bytes/s", traffic => traffic.bytesPerSecond),
        toSeries("pulls of a node", "requests/s", traffic => traffic.messagesPerSecond),
        toSeries("CPU of a node and of the simulation", "ms/s", traffic => traffic.cpuMsPerSecond),
    ];
};

const measureChanges = async (): Promise<types.Series> => {
    const samples: types.Sample[] = [];
    for (const changes of changesPerMinute) {
        const options = { size: changeClusterSize, changesPerMinute: changes, hasLoads: false };
        const { bytesPerSecond } = await measureTraffic(options);
        samples.push({ size: changes * minutesPerDay, value: bytesPerSecond });
    }
    return {
        name: `gossip: bodies of the pulls of a node, ${changeClusterSize} entry VMs`,
        unit: "bytes/s",
        by: "changes per day",
        samples,
        targetSize: changesPerDayAtTarget,
    };
};

/**
 * Measures the bodies of gossip. The byte counts are the same in each run, because time is virtual and seeds are fixed.
 *
 * @returns series by the number of entry VMs and by changes per day
 */
export const measureGossipCost = async (): Promise<types.Measurement> => ({
    series: [...(await measureSizes(false)), ...(await measureSizes(true)), await measureChanges()],
    figures: [],
});

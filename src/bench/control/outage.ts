/**
 * Measures how long calls would be refused in a table outage: `node out/bench/control/outage.js [members...]`.
 *
 * The table is down throughout. After 20 s a third of the VMs fail at once, but the platform's VM list still contains
 * them.
 */
import * as randoms from "../../common/random.js";
import * as clusters from "./virtualCluster.js";

const defaultSizes = [15, 55];
const sampleMs = 100;
const phaseMs = 20_000;
const seeds = [1, 2, 3];

interface Row {
    readonly members: number;
    readonly seed: number;
    /** Share of samples in which a VM was not fresh. */
    readonly staleBefore: string;
    readonly staleAfter: string;
    /** Pulls per VM per second. */
    readonly pullsBefore: number;
    readonly pullsAfter: number;
    /** Time from the failure until the member list of every surviving VM contained only survivors. */
    readonly noticedMs: number | undefined;
}

const measureOutage = async (size: number, seed: number): Promise<Row> => {
    const cluster = clusters.createVirtualCluster({ size, seed });
    const random = randoms.createRandom(seed);
    const failedVmCount = Math.floor(size / 3);

    const measurePhase = async (): Promise<{ stale: string; pulls: number; noticedMs: number | undefined }> => {
        let stale = 0;
        let samples = 0;
        let noticedMs: number | undefined;
        const requests = cluster.traffic.requests;
        for (let elapsedMs = sampleMs; elapsedMs <= phaseMs; elapsedMs += sampleMs) {
            await cluster.scheduler.advance(sampleMs);
            const indexes = [...cluster.nodes.keys()];
            samples += indexes.length;
            stale += indexes.filter(index => !cluster.isFresh(index)).length;
            const nodes = [...cluster.nodes.values()];
            if (nodes.every(node => node.blackboard.members.get().size === nodes.length)) {
                noticedMs ??= elapsedMs;
            }
        }
        const nodeSeconds = (cluster.nodes.size * phaseMs) / 1000;
        const pulls = Number(((cluster.traffic.requests - requests) / nodeSeconds).toFixed(1));
        return { stale: `${((100 * stale) / samples).toFixed(2)} %`, pulls, noticedMs };
    };

    await cluster.commit({ topology: "one" });
    await cluster.scheduler.advance(phaseMs);
    cluster.platform.setTableDown(true);
    const before = await measurePhase();
    const indexes = [...cluster.nodes.keys()].sort(() => random.nextFloat() - 0.5);
    indexes.slice(0, failedVmCount).forEach(index => cluster.stop(index));
    const after = await measurePhase();
    cluster.dispose();
    return {
        members: size,
        seed,
        staleBefore: before.stale,
        staleAfter: after.stale,
        pullsBefore: before.pulls,
        pullsAfter: after.pulls,
        noticedMs: after.noticedMs,
    };
};

const run = async (): Promise<void> => {
    const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : defaultSizes;
    const rows: Row[] = [];
    for (const size of sizes) {
        for (const seed of seeds) {
            rows.push(await measureOutage(size, seed));
        }
    }
    console.table(rows);
};

await run();

/**
 * Measures the gossip cost of one daemon: `node out/bench/control/gossipCost.js [members...]`.
 *
 * Body sizes and processor time are measured on clusters in virtual time, HTTP headers and the processor time of HTTP
 * on calls over loopback. Byte counts include the pulls that a daemon sends and those that it responds to.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as membership from "../../common/membership/Types.js";
import * as randoms from "../../common/random.js";
import * as rpcClient from "../../node/peers/rpcClient.js";
import * as rpcServer from "../../node/peers/rpcServer.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as clusters from "./virtualCluster.js";

const defaultSizes = [5, 15, 50, 100];
const warmUpMs = 15_000;
const windowMs = 30_000;
/** 35 services in 6 zones, the target size. */
const cellCount = 210;
const zoneNames = ["a", "b", "c", "d", "e", "f"];
const loopbackCalls = 3000;
const seed = 11;

interface HttpCost {
    readonly headerBytes: number;
    readonly cpuMsPerCall: number;
}

const readCpuMs = (): number => {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1000;
};

/** Client and server both run in this process, so the processor time includes both sides of a call. */
const measureHttp = async (): Promise<HttpCost> => {
    const server = rpcServer.createRpcServer(silentLogger.createSilentLogger());
    server.addHandlers({ "config.getSections": () => Promise.resolve({ sections: {} }) });
    const sockets = new Set<net.Socket>();
    let bodyBytes = 0;
    const httpServer = http.createServer((request, response) => {
        let body = "";
        request.on("data", (chunk: Buffer) => (body += chunk.toString()));
        request.on("end", () => {
            void server.receive(body).then(responseBody => {
                bodyBytes += body.length + responseBody.length;
                response.setHeader("content-type", "application/json");
                response.end(responseBody);
            });
        });
    });
    httpServer.on("connection", socket => sockets.add(socket));
    await new Promise<void>(resolve => httpServer.listen(0, "127.0.0.1", resolve));
    const control = ids.toAddress(`127.0.0.1:${(httpServer.address() as net.AddressInfo).port}`);
    const client = rpcClient.createRpcClient();
    const runCalls = async (count: number): Promise<void> => {
        for (let call = 0; call < count; call++) {
            await client.call(control, "config.getSections", { digests: [] }, 5000);
        }
    };
    await runCalls(loopbackCalls);
    const startCpuMs = readCpuMs();
    await runCalls(loopbackCalls);
    const cpuMsPerCall = (readCpuMs() - startCpuMs) / loopbackCalls;
    const total = [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
    await client.close();
    httpServer.close();
    return { headerBytes: (total - bodyBytes) / (2 * loopbackCalls), cpuMsPerCall };
};

const createLoads = (index: number, size: number, random: () => number): readonly membership.CellLoad[] =>
    Array.from({ length: cellCount }, (_, cell) => cell)
        .filter(cell => cell % size === index)
        .map(cell => ({
            cell: ids.toCellId(
                ids.toServiceName(`service-${cell % 35}`),
                ids.toZoneName(zoneNames[Math.floor(cell / 35)] ?? "a"),
            ),
            owner: ids.toVmId(`entry-${index}`),
            freeSlots: Math.floor(random() * 64),
            queued: Math.floor(random() * 20),
            expectedWaitMs: Math.floor(random() * 100),
            measuredAtMs: 0,
        }));

interface Row {
    readonly members: number;
    readonly loads: string;
    readonly pulls: number;
    /** Mean bytes of the request and response bodies of a pull. */
    readonly request: number;
    readonly answer: number;
    readonly bytesPerSecond: number;
    readonly cpuPercent: number;
    /** Bytes of the response to a pull that states no known versions. */
    readonly plainAnswer: number;
    readonly age50: number;
    readonly age99: number;
    readonly ageMax: number;
}

const listAges = (cluster: clusters.VirtualCluster): readonly number[] =>
    [...cluster.nodes.values()].flatMap(node =>
        [...node.blackboard.members.get().values()]
            .filter(member => member.info.vm !== node.blackboard.self.vm)
            .map(member => cluster.scheduler.now() - member.seenAtMs),
    );

const measureFullPullBytes = async (cluster: clusters.VirtualCluster): Promise<number> => {
    const node = cluster.nodes.get(0);
    const from = node?.blackboard.members.get().get(node.blackboard.self.vm)?.info;
    const body = JSON.stringify({ jsonrpc: "2.0", id: 1, method: "gossip.pull", params: { from } });
    return (await node?.server.receive(body))?.length ?? 0;
};

const measureCluster = async (size: number, hasLoads: boolean, httpCost: HttpCost): Promise<Row> => {
    const cluster = clusters.createVirtualCluster({ size, seed });
    const random = randoms.createRandom(seed);
    const updateLoads = (): void => {
        for (const [index, node] of cluster.nodes) {
            node.loads = createLoads(index, size, () => random.nextFloat());
        }
    };
    const services = Array.from({ length: 35 }, (_, service) => [`service/service-${service}`, "text"]);
    await cluster.commit({ topology: "one", ...(Object.fromEntries(services) as Record<string, string>) });
    await cluster.scheduler.advance(warmUpMs);
    const before = { ...cluster.traffic };
    const ages: number[] = [];
    let cpuMs = 0;
    for (let elapsedMs = 0; elapsedMs < windowMs; elapsedMs += 1000) {
        if (hasLoads) {
            updateLoads();
        }
        const startCpuMs = readCpuMs();
        await cluster.scheduler.advance(1000);
        cpuMs += readCpuMs() - startCpuMs;
        ages.push(...listAges(cluster));
    }
    const requests = cluster.traffic.requests - before.requests;
    const requestBytes = (cluster.traffic.requestBytes - before.requestBytes) / requests;
    const responseBytes = (cluster.traffic.responseBytes - before.responseBytes) / requests;
    const nodeSeconds = (size * windowMs) / 1000;
    const pulls = requests / nodeSeconds;
    ages.sort((a, b) => a - b);
    const getAge = (share: number): number => Math.round(ages[Math.floor((ages.length - 1) * share)] ?? 0);
    const row = {
        members: size,
        loads: hasLoads ? "changing" : "none",
        pulls: Number(pulls.toFixed(2)),
        request: Math.round(requestBytes),
        answer: Math.round(responseBytes),
        bytesPerSecond: Math.round(2 * pulls * (requestBytes + responseBytes + httpCost.headerBytes)),
        cpuPercent: Number(((cpuMs / nodeSeconds + pulls * httpCost.cpuMsPerCall) / 10).toFixed(2)),
        plainAnswer: await measureFullPullBytes(cluster),
        age50: getAge(0.5),
        age99: getAge(0.99),
        ageMax: getAge(1),
    };
    cluster.dispose();
    return row;
};

const run = async (): Promise<void> => {
    const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : defaultSizes;
    const httpCost = await measureHttp();
    console.log("HTTP", httpCost);
    const rows: Row[] = [];
    for (const size of sizes) {
        rows.push(await measureCluster(size, false, httpCost));
        rows.push(await measureCluster(size, true, httpCost));
    }
    console.table(rows);
};

await run();

import * as net from "node:net";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as clientZones from "../../common/routes/clientZones.js";
import * as routes from "../../common/routes/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as membershipFixture from "../../testing/routes/membershipFixture.js";
import * as peerMessages from "./peerMessages.js";

const { acquirePorts, createStore, startVm, waitUntil } = membershipFixture;

interface Line {
    readonly method: string;
    readonly params: Record<string, unknown>;
}

/** Collects the lines of a connection as they were sent, without decompressing them. */
const collectLines = (socket: net.Socket): Line[] => {
    const lines: Line[] = [];
    let rest = "";
    socket.setEncoding("utf8");
    socket.on("data", chunk => {
        const parts = `${rest}${String(chunk)}`.split("\n");
        rest = parts.pop() ?? "";
        lines.push(...parts.map(part => JSON.parse(part) as Line));
    });
    return lines;
};

/** Joins a hub as a VM that accepts only what it says. */
const joinHub = (port: number, accepts: readonly string[] | undefined, count = 1) => {
    const socket = net.connect({ host: "127.0.0.1", port });
    const lines = collectLines(socket);
    // Long, so that the list of VMs is compressed where that is accepted.
    const peer = fixture.createPeer(`joined-${count}`, {
        region: ids.toRegionName("r".repeat(2_000)),
        startedAtMs: 1e15,
    });
    socket.write(`${JSON.stringify({ jsonrpc: "2.0", method: "peer.hello", params: { peer, accepts } })}\n`);
    const beat = setInterval(() => socket.write(`{"jsonrpc":"2.0","method":"peer.beat","params":{}}\n`), 300);
    socket.on("close", () => clearInterval(beat));
    return { socket, lines, has: (method: string) => lines.some(line => line.method === method) };
};

// Guards against a VM of the previous version that gets messages which it does not understand.
test("a VM that does not say what it accepts gets whole and plain messages only", async t => {
    const store = createStore();
    const [port = 0] = await acquirePorts(1);
    const hub = await startVm("hub", { store, port, seeds: [] });
    t.true(await waitUntil(() => hub.getVersion() === 1));
    const old = joinHub(port, undefined);
    t.true(await waitUntil(() => old.has("hub.beat") && hub.member.listPeers().length === 2));
    store.setConfiguration(2);
    t.true(await waitUntil(() => old.has("state.update")));
    t.false(old.has("peer.deflated") || old.has("state.difference"));
    const beats = old.lines.filter(({ method }) => method === "hub.beat");
    t.true(beats.every(({ params }) => Array.isArray(params["changed"]) && Array.isArray(params["left"])));
    old.socket.destroy();
    hub.member.dispose();
});

test("a VM that accepts differences gets one, and the whole configuration when it asks for it", async t => {
    const store = createStore();
    const [port = 0] = await acquirePorts(1);
    const hub = await startVm("hub", { store, port, seeds: [] });
    t.true(await waitUntil(() => hub.getVersion() === 1));
    const follower = joinHub(port, peerMessages.ownFeatures);
    t.true(await waitUntil(() => follower.has("hub.beat") && hub.member.listPeers().length === 2));
    store.setConfiguration(2);
    t.true(await waitUntil(() => follower.has("state.difference")));
    t.false(follower.has("state.update"));
    follower.socket.write(`{"jsonrpc":"2.0","method":"state.request","params":{}}\n`);
    t.true(await waitUntil(() => follower.has("state.update")));
    t.true(await waitUntil(() => follower.has("peer.deflated")));
    follower.socket.destroy();
    hub.member.dispose();
});

// Guards against a list of all VMs that each VM gets again when many join at once: 3 MB at 92 VMs.
test("VMs that join together are announced together, and each of them once to each follower", async t => {
    const store = createStore();
    const [port = 0] = await acquirePorts(1);
    const hub = await startVm("hub", { store, port, seeds: [] });
    t.true(await waitUntil(() => hub.getVersion() === 1));
    const count = 12;
    const joined = Array.from({ length: count }, (_value, index) => joinHub(port, ["differences"], index));
    t.true(await waitUntil(() => hub.member.listPeers().length === count + 1));
    await new Promise(resolve => setTimeout(resolve, 1_000));
    for (const { lines } of joined) {
        const beats = lines.filter(({ method }) => method === "hub.beat");
        const announced = beats.flatMap(({ params }) => (params["changed"] ?? []) as readonly routes.Peer[]);
        const others = announced.filter(({ vm }) => vm !== hub.vm).map(({ vm }) => vm);
        t.is(new Set(others).size, count);
        t.is(others.length, count);
        t.true(beats.length <= 8, `${beats.length} heartbeats`);
    }
    joined.forEach(({ socket }) => socket.destroy());
    hub.member.dispose();
});

/** Starts a hub of the previous version or of this one, which the test drives. */
const startHub = async (accepts: readonly string[] | undefined, lookups: clientZones.LookupCounts = []) => {
    const [port = 0, followerPort = 0] = await acquirePorts(2);
    const sockets: net.Socket[] = [];
    const lines: Line[] = [];
    const send = (method: string, params: object): void =>
        sockets.forEach(socket => socket.write(`${JSON.stringify({ jsonrpc: "2.0", method, params })}\n`));
    const own = fixture.createPeer("hub", { cores: 8, peerAddress: ids.toAddress(`127.0.0.1:${port}`) });
    const server = net.createServer(socket => {
        sockets.push(socket);
        const received = collectLines(socket);
        socket.on("data", () => lines.push(...received.splice(0)));
        const beat = { isHub: true, overdueMs: 0, changed: [own], left: [], accepts };
        send("hub.beat", beat);
        const timer = setInterval(() => send("hub.beat", { ...beat, accepts: undefined }), 300);
        socket.on("close", () => clearInterval(timer));
        socket.on("error", () => undefined);
    });
    await new Promise<void>(resolve => server.listen({ host: "127.0.0.1", port }, resolve));
    const store = createStore();
    store.unreachable.add(ids.toVmId("follower"));
    const follower = await startVm("follower", { store, port: followerPort, seeds: [port], lookups });
    const close = (): void => {
        follower.member.dispose();
        sockets.forEach(socket => socket.destroy());
        server.close();
    };
    return { follower, lines, send, close };
};

test("a follower of a hub of the previous version sends plain messages and takes whole configurations", async t => {
    const { follower, lines, send, close } = await startHub(undefined);
    t.true(await waitUntil(() => lines.some(({ method }) => method === "peer.hello")));
    t.true(await waitUntil(() => follower.member.listPeers().length === 2));
    const change = { kind: "configuration", version: fixture.createVersion(3) };
    const configuration = fixture.createConfiguration(3);
    send("state.snapshots", {
        snapshots: [
            { table: "operators", version: fixture.createVersion(3), changes: [{ ...change, configuration }] },
            { table: "targets", version: fixture.createVersion(3), changes: [] },
        ],
    });
    t.true(await waitUntil(() => follower.getVersion() === 3));
    follower.member.sendCrash({ fingerprint: "f".repeat(3_000) } as never);
    t.true(await waitUntil(() => lines.some(({ method }) => method === "target.reports")));
    t.false(lines.some(({ method }) => method === "peer.deflated"));
    close();
});

// Guards against a follower that stays with an old configuration as it has another one than its hub believes.
test("a follower that cannot apply a difference asks for the whole configuration", async t => {
    const { follower, lines, send, close } = await startHub(peerMessages.ownFeatures);
    t.true(await waitUntil(() => follower.member.listPeers().length === 2));
    const { version: number, limits, unknownValues } = fixture.createConfiguration(4);
    const rows = { changed: [], removed: [] };
    const version: routes.RowVersion = fixture.createVersion(4);
    send("state.difference", {
        update: { table: "operators", version, changes: [] },
        rowVersion: version,
        difference: {
            baseDigest: "a",
            digest: "b",
            fields: { version: number, limits, unknownValues },
            routes: rows,
            services: rows,
        },
    });
    t.true(await waitUntil(() => lines.some(({ method }) => method === "state.request")));
    const configuration = fixture.createConfiguration(4);
    send("state.update", {
        table: "operators",
        version,
        changes: [{ kind: "configuration", version, configuration }],
    });
    t.true(await waitUntil(() => follower.getVersion() === 4));
    close();
});

test("a follower adopts the plan of its hub and reports the lookups that it has answered", async t => {
    const { follower, lines, send, close } = await startHub(peerMessages.ownFeatures, [[fixture.zone, 3]]);
    t.true(await waitUntil(() => follower.member.listPeers().length === 2));
    const beat = { isHub: true, overdueMs: 0 };
    send("hub.beat", { ...beat, plan: ["vm-x", "vm-y"] });
    t.true(await waitUntil(() => follower.member.getPlan().length === 2));
    // A heartbeat without a plan leaves it as it is.
    send("hub.beat", beat);
    await new Promise(resolve => setTimeout(resolve, 500));
    t.is(follower.member.getPlan().length, 2);
    send("hub.beat", { ...beat, plan: [] });
    t.true(await waitUntil(() => follower.member.getPlan().length === 0));
    t.true(lines.some(({ method, params }) => method === "peer.beat" && Array.isArray(params["lookups"])));
    close();
});

import * as net from "node:net";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as relayFixture from "../../testing/routes/relayFixture.js";
import * as systemScheduler from "../systemScheduler.js";
import * as peerRelay from "./peerRelay.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
const body = Buffer.from("honing job");
const closers: (() => void)[] = [];
test.after.always(() => closers.forEach(close => close()));

/** A VM that takes connections and reads nothing, as its process stands still. */
const startFrozenVm = async (): Promise<{ readonly address: shared.Address; readonly sockets: net.Socket[] }> => {
    const sockets: net.Socket[] = [];
    const server = net.createServer({ pauseOnConnect: true }, socket => {
        socket.on("error", () => undefined);
        sockets.push(socket);
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    closers.push(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return { address, sockets };
};

const startVm = async (): Promise<{ readonly address: shared.Address; readonly bodies: string[] }> => {
    const bodies: string[] = [];
    const server = await httpServer.startHttpServer(async (request, response) => {
        bodies.push((await httpServer.readBody(request)).toString());
        response.writeHead(200, { "x-id": String(request.headers["x-id"]), "x-seal": "s", "Content-Length": 4 });
        response.end("done");
    });
    closers.push(() => void server.close());
    return { address: server.address, bodies };
};

const createRelay = (peers: readonly routes.Peer[]): peerRelay.PeerRelay => {
    const { relay, dispose } = relayFixture.createRelay(peers);
    closers.push(dispose);
    return relay;
};

const relayJob = (relay: peerRelay.PeerRelay, kind: routes.RouteKind, sentBody: Buffer) =>
    relay.run(
        {
            outgoing: {
                id: "r1",
                method: "POST",
                url: "/jobs/1",
                headers: ["host", "a", "x-id", "r1"],
                body: sentBody,
            },
            route: fixture.createRoute({ kind }),
            service: fixture.service,
            deadlineAtMs: scheduler.now() + 2_000,
            fingerprint: "f",
            configurationVersion: 1,
            signal: new AbortController().signal,
        },
        { maxTargets: 1, mayHaveRun: false },
    );

for (const kind of ["idempotent", "non-idempotent"] as const) {
    // Guards against requests that wait until their deadline at a VM that is frozen.
    test(`a request that a frozen VM does not take is passed on to another one (${kind})`, async t => {
        const frozen = await startFrozenVm();
        const live = await startVm();
        const relay = createRelay([
            fixture.createPeer("frozen", { frontAddress: frozen.address }),
            fixture.createPeer("live", { frontAddress: live.address, zone: ids.toZoneName("far") }),
        ]);
        for (const sentBody of [body, Buffer.alloc(0)]) {
            const startedAtMs = scheduler.now();
            t.like(await relayJob(relay, kind, sentBody), { kind: "relayed", response: { statusCode: 200 } });
            t.true(scheduler.now() - startedAtMs < 1_000);
        }
        t.deepEqual(live.bodies, [body.toString(), ""]);
        t.is(frozen.sockets.length, 1, "the second request is offered to the other VM at once");
        const received: Buffer[] = [];
        frozen.sockets[0]?.on("data", (chunk: Buffer) => received.push(chunk)).resume();
        await httpServer.waitMs(50);
        t.false(Buffer.concat(received).includes(body), "a frozen VM that continues has no whole request to run");
    });
}

/** A VM that refuses the first request that it has taken, and copies the refusal ahead of its next response there. */
const startCopyingVm = async (): Promise<shared.Address> => {
    const refusal = "HTTP/1.1 503 Full\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";
    const success = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone";
    let hasRefused = false;
    const sockets: net.Socket[] = [];
    const server = net.createServer(socket => {
        let copy = "";
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", (chunk: Buffer) => {
            if (!chunk.toString("latin1").endsWith("0\r\n\r\n")) {
                socket.write("HTTP/1.1 100 Continue\r\n\r\n");
                return;
            }
            socket.write(copy + (hasRefused ? success : refusal));
            copy = refusal;
            hasRefused = true;
        });
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    closers.push(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return address;
};

// Guards against a request that comes again after a refusal, and gets the copy of that from a VM where it then runs.
test("the copy of another VM's refusal does not refuse a request that is passed on again", async t => {
    const relay = createRelay([fixture.createPeer("copying", { frontAddress: await startCopyingVm() })]);
    t.like(await relayJob(relay, "non-idempotent", body), { kind: "relayed", response: { statusCode: 503 } });
    t.like(await relayJob(relay, "non-idempotent", body), { kind: "relayed", response: { statusCode: 200 } });
});

/** A VM that leaves: it refuses what would take too long before it asks for the body. */
const startLeavingVm = async (): Promise<shared.Address> => {
    const refusal = "HTTP/1.1 503 Service Unavailable\r\nx-id: r1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    const server = net.createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(refusal));
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    closers.push(() => server.close());
    return address;
};

for (const kind of ["idempotent", "non-idempotent"] as const) {
    // Guards against the refusal of a VM that leaves, and that has read no body, while another one would run the request.
    test(`a request that a leaving VM does not take is passed on to another one (${kind})`, async t => {
        const live = await startVm();
        const relay = createRelay([
            fixture.createPeer("leaving", { frontAddress: await startLeavingVm() }),
            fixture.createPeer("live", { frontAddress: live.address, zone: ids.toZoneName("far") }),
        ]);
        t.like(await relayJob(relay, kind, body), { kind: "relayed", response: { statusCode: 200 } });
        t.deepEqual(live.bodies, [body.toString()]);
    });
}

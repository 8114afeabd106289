import * as net from "node:net";
import * as stream from "node:stream";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as ports from "../../testing/system/ports.js";
import * as systemScheduler from "../systemScheduler.js";
import * as bodyForwarding from "./bodyForwarding.js";
import * as connectionPool from "./connectionPool.js";
import * as frontendServer from "./frontendServer.js";
import * as targetConnection from "./targetConnection.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
const largeBytes = 16 * 1024 * 1024;
const deadlineMs = 10_000;

const sockets: net.Socket[] = [];
test.after.always(() => sockets.forEach(socket => socket.destroy()));

const waitMs = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

const waitFor = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await waitMs(5);
    }
};

interface Client {
    readonly socket: net.Socket;
    countBytes(): number;
    readonly closed: Promise<{ readonly isReset: boolean }>;
}

/** A frontend that forwards every request to one target, which `respond` plays on its sockets. */
const startPath = async (respond: (socket: net.Socket) => void, allowedMs = deadlineMs) => {
    const targetSockets: net.Socket[] = [];
    const target = net.createServer(socket => {
        sockets.push(socket);
        targetSockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => respond(socket));
    });
    const targetAddress = await httpServer.waitForListening(target, "127.0.0.1:0");
    target.unref();
    const pool = connectionPool.createConnectionPool({ scheduler, dialect: fixture.testDialect });
    const ends: bodyForwarding.BodyEnd[] = [];

    const handle = async (
        request: frontendServer.ClientRequest,
    ): Promise<frontendServer.ClientResponse | undefined> => {
        const connection = await pool.acquire({ address: targetAddress, maxIdleMs: Infinity, requestId: undefined });
        const result: targetConnection.SendResult = (await connection?.send({
            bytes: [Buffer.from("GET /log HTTP/1.1\r\nhost: a\r\n\r\n")],
            id: "1",
            method: "GET",
        })) ?? { kind: "broken", reason: "no connection", connection: fixture.firstConnection };
        if (result.kind === "broken" || connection === undefined) {
            return undefined;
        }
        const { statusCode, head, body, isDelimited, received } = result.response;
        void received.then(() => pool.release(connection));
        if (body.kind === "stream") {
            const deadlineAtMs = scheduler.now() + allowedMs;
            const { signal } = request;
            bodyForwarding.watchBody({
                scheduler,
                body,
                limits: { signal, deadlineAtMs },
                handleEnd: end => ends.push(end),
            });
        }
        return { statusCode, headers: head.forwardedHeaders, body, isDelimited };
    };

    const address = ids.toAddress(await ports.acquireAddress());
    const server = frontendServer.createFrontendServer({
        address,
        scheduler,
        ...frontendFixture.createUnlimitedBodies(),
        getLimits: () => fixture.createConfiguration(1).limits,
        handle,
        recordError: () => undefined,
        recordUnreadable: () => undefined,
        formatRefusal: () => {
            throw new Error("no request of this test is refused");
        },
    });
    await server.listen();
    const connect = (): Client => {
        const { host, port } = ids.splitAddress(address);
        const socket = net.connect({ host, port });
        sockets.push(socket);
        let bytes = 0;
        let isReset = false;
        socket.on("data", chunk => (bytes += chunk.length));
        socket.on("error", () => (isReset = true));
        // A reset that arrives together with data fires only "end"; the connection then has no remote address any more.
        socket.on("end", () => (isReset ||= socket.remoteAddress === undefined));
        socket.write("GET /log HTTP/1.1\r\nhost: a\r\n\r\n");
        const closed = new Promise<{ readonly isReset: boolean }>(resolve =>
            socket.once("close", () => resolve({ isReset })),
        );
        return { socket, countBytes: () => bytes, closed };
    };
    return { connect, ends, targetSockets, server, pool, targetAddress };
};

const formatHead = (framing: string): string => `HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n${framing}\r\n`;
const sized = formatHead(`content-length: ${largeBytes}\r\n`);
const unsized = formatHead("");
const body = Buffer.alloc(largeBytes, "x");

test.serial("a large body arrives whole, and its connection is used again", async t => {
    const path = await startPath(socket => void socket.write(Buffer.concat([Buffer.from(sized), body])));
    const client = path.connect();
    await waitFor(() => client.countBytes() >= largeBytes);
    await waitFor(() => path.ends.length > 0);
    t.like(path.ends[0], { kind: "whole", bytes: largeBytes });
    const { targetAddress: address } = path;
    t.not(await path.pool.acquire({ address, maxIdleMs: 5_000, requestId: undefined }), undefined);
    t.is(path.pool.countOpened(), 1);
    path.server.dispose();
});

test.serial("a client that does not read slows down the target, so that the body is not held here", async t => {
    const path = await startPath(socket => void socket.write(Buffer.concat([Buffer.from(sized), body])));
    const client = path.connect();
    client.socket.pause();
    await waitMs(300);
    const unsent = path.targetSockets[0]?.writableLength ?? 0;
    // The rest is in the buffers of the operating system, which hold a few megabytes on loopback.
    t.true(unsent > largeBytes / 4, `the target could send all but ${unsent} bytes`);
    client.socket.resume();
    await waitFor(() => client.countBytes() >= largeBytes);
    t.pass();
    path.server.dispose();
});

test.serial("a body that breaks in the middle is cut off at the client", async t => {
    const path = await startPath(socket => {
        socket.write(Buffer.concat([Buffer.from(sized), body.subarray(0, 300_000)]));
        setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const client = path.connect();
    await client.closed;
    await waitFor(() => path.ends.length > 0);
    t.true(client.countBytes() < largeBytes);
    t.is(path.ends[0]?.kind, "broken");
    path.server.dispose();
});

test.serial(
    "a body without a length that breaks in the middle ends with a reset, as a close would look like its end",
    async t => {
        const path = await startPath(socket => {
            socket.write(Buffer.concat([Buffer.from(unsized), body.subarray(0, 300_000)]));
            setTimeout(() => socket.resetAndDestroy(), 50);
        });
        t.true((await path.connect().closed).isReset);
        t.is(path.ends[0]?.kind, "broken");
        path.server.dispose();
    },
);

test.serial("a body without a length that ends with its connection is passed on as such", async t => {
    const path = await startPath(socket => {
        socket.end(Buffer.concat([Buffer.from(unsized), body.subarray(0, 300_000)]));
    });
    t.false((await path.connect().closed).isReset);
    t.is(path.ends[0]?.kind, "whole");
    path.server.dispose();
});

test.serial("a body without end is cut off at the deadline, and so is the target", async t => {
    const path = await startPath(socket => {
        socket.write(unsized);
        const write = (): void => {
            while (!socket.destroyed && socket.write(body.subarray(0, 16_384))) {
                // Fills the buffer.
            }
        };
        socket.on("drain", write);
        write();
    }, 300);
    const client = path.connect();
    t.true((await client.closed).isReset);
    await waitFor(() => path.targetSockets[0]?.destroyed === true);
    t.is(path.ends[0]?.kind, "deadline");
    path.server.dispose();
});

test.serial("when the client leaves in the middle, the target's connection is closed", async t => {
    const path = await startPath(socket => void socket.write(Buffer.concat([Buffer.from(sized), body])));
    const client = path.connect();
    client.socket.once("data", () => client.socket.destroy());
    await client.closed;
    await waitFor(() => path.targetSockets[0]?.destroyed === true && path.ends.length > 0);
    t.is(path.ends[0]?.kind, "abandoned");
    path.server.dispose();
});

test.serial("a body whose client has left before it began is not kept until the deadline", async t => {
    const client = new AbortController();
    client.abort();
    const readable = new stream.Readable({ read: () => undefined });
    readable.push("x");
    const ends: bodyForwarding.BodyEnd[] = [];
    bodyForwarding.watchBody({
        scheduler,
        body: { kind: "stream", stream: readable, bodyBytes: undefined, isReceived: () => false },
        limits: { signal: client.signal, deadlineAtMs: scheduler.now() + deadlineMs },
        handleEnd: end => ends.push(end),
    });
    await waitMs(100);
    t.is(ends[0]?.kind, "abandoned");
});

// Guards against downloads in chunks that count as empty, so that they are sent to other zones like small responses.
test("a stream without a length counts with the bytes that made it a stream", t => {
    const body = { kind: "stream", stream: new stream.Readable(), isReceived: () => false } as const;
    t.is(bodyForwarding.getBodyBytes({ ...body, bodyBytes: undefined }), 64 * 1024);
    t.is(bodyForwarding.getBodyBytes({ ...body, bodyBytes: 90_000 }), 90_000);
    t.is(bodyForwarding.getBodyBytes({ kind: "whole", bytes: Buffer.alloc(5) }), 5);
});

import * as net from "node:net";
import * as timers from "node:timers/promises";
import test from "ava";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";
import * as clientReading from "./clientReading.js";
import * as readControl from "./readControl.js";

const { createResponse, formatRequest, startServer, waitFor } = frontendFixture;

const sliceBytes = 4 * 1024;

/** Connections whose bytes a test pushes, and what was parsed of them, in this order. */
const createConnections = (count: number, parseMs: number) => {
    const turns = readControl.createReadTurns();
    const parsed: { readonly connection: number; readonly bytes: number }[] = [];
    let nowMs = 0;
    const connections = Array.from({ length: count }, (_, connection) => {
        const socket = new net.Socket({ handle: undefined, readable: true } as net.SocketConstructorOpts);
        socket._read = () => undefined;
        socket.on("data", (bytes: Buffer) => {
            nowMs += parseMs;
            parsed.push({ connection, bytes: bytes.length });
        });
        return { socket, reading: clientReading.startClientReading(socket, turns, { now: () => nowMs }) };
    });
    return { connections, parsed };
};

// Guards against a connection with costly bytes that holds up all others until its whole read has been parsed.
test("connections with costly bytes are parsed in turn, one slice at a time, and new ones first", async t => {
    const { connections, parsed } = createConnections(3, 2);
    const [first, second, third] = connections;
    await timers.setImmediate();
    first?.socket.push(Buffer.alloc(3 * sliceBytes));
    second?.socket.push(Buffer.alloc(2 * sliceBytes));
    await timers.setImmediate();
    third?.socket.push(Buffer.alloc(10));
    await waitFor(() => parsed.length === 6);
    t.deepEqual(parsed.slice(0, 2), [
        { connection: 0, bytes: sliceBytes },
        { connection: 1, bytes: sliceBytes },
    ]);
    t.true(parsed.findIndex(({ connection }) => connection === 2) < 5);
    t.is(parsed.at(-1)?.connection, 0);
});

test("the server resumes no connection that waits for its turn, and what is discarded is not parsed", async t => {
    const { connections, parsed } = createConnections(2, 2);
    await timers.setImmediate();
    connections.forEach(({ socket }) => socket.push(Buffer.alloc(2 * sliceBytes)));
    t.true(connections.every(({ reading }) => reading.isHeld()));
    connections.forEach(({ socket }) => socket.resume());
    await Promise.resolve();
    t.is(parsed.length, 2);
    connections[1]?.reading.startDiscarding();
    await waitFor(() => parsed.length === 3);
    for (let iteration = 0; iteration < 5; iteration++) {
        await timers.setImmediate();
    }
    t.deepEqual(
        parsed.map(({ connection }) => connection),
        [0, 1, 0],
    );
});

// Guards against bytes that are lost, repeated or reordered on their way to the parser.
test("a large body in pieces of all sizes arrives unchanged, and so do the requests behind it", async t => {
    const { server, connect } = await startServer(({ body }) =>
        Promise.resolve(createResponse(String(body.reduce((sum, byte, index) => (sum + byte * (index % 7)) % 1e9, 0)))),
    );
    const body = Buffer.from(Array.from({ length: 300_000 }, (_, index) => (index * 31) % 251));
    const expected = String(body.reduce((sum, byte, index) => (sum + byte * (index % 7)) % 1e9, 0));
    const chunks: Buffer[] = [];
    for (let at = 0, size = 1; at < body.length; at += size, size = (size * 3) % 10_007) {
        const chunk = body.subarray(at, at + size);
        chunks.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from("\r\n"));
    }
    const client = connect();
    client.socket.write("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    client.socket.write(Buffer.concat([...chunks, Buffer.from("0\r\n\r\n")]));
    client.socket.write(formatRequest("/", "connection: close\r\n"));
    await client.ended;
    t.regex(client.read(), new RegExp(`\r\n\r\n${expected}HTTP/1.1 200 [^]*\r\n\r\n0$`));
    server.dispose();
});

import test from "ava";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";

const { createResponse, startServer } = frontendFixture;
const limits = { maxBodyBytes: 1_000_000 };

// Guards against reading what is refused anyway, which a client may send without end.
test("a body that is announced over the limit is refused before any of it has come", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse("")), limits);
    const client = connect();
    client.socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000001\r\n\r\n");
    await client.ended;
    t.regex(client.read(), /^HTTP\/1\.1 413 /);
    server.dispose();
});

// Guards against a body of unknown length that is held up at each step of its growth.
test("a large body in chunks is read whole in steps of the budget", async t => {
    const { server, connect } = await startServer(
        ({ body }) => Promise.resolve(createResponse(`got ${body.length};`)),
        limits,
    );
    const client = connect();
    const chunk = `${(50_000).toString(16)}\r\n${"x".repeat(50_000)}\r\n`;
    client.socket.write(`POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(20)}0\r\n\r\n`);
    await frontendFixture.waitFor(() => client.read().includes(";"));
    t.true(client.read().endsWith("got 1000000;"));
    server.dispose();
});

import * as stream from "node:stream";
import test from "ava";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";

const { createResponse, formatRequest, startServer, wait, waitFor } = frontendFixture;

/** More than the receive buffer of a client that reads nothing, less than what the system takes from the server. */
const fileBytes = 1_000_000;
const file = "x".repeat(fileBytes);
const lingerMs = 10_000;

/** Reads one response of a client that has read nothing so far, and sends a request behind it in the meantime. */
const readAcrossRequest = async (
    { socket, read, ended }: ReturnType<Awaited<ReturnType<typeof startServer>>["connect"]>,
    end: () => void,
): Promise<string> => {
    socket.pause();
    // The file is in the buffers of the system by then, and most of it has not been received.
    await wait(200);
    end();
    await wait(50);
    socket.write(formatRequest("/behind"));
    await wait(50);
    socket.resume();
    await Promise.race([ended, waitFor(() => read().length > fileBytes)]);
    return read();
};

const isWhole = (text: string): boolean => text.length > fileBytes && text.endsWith("x");

// Guards against a request on its way that resets its connection, and with it the response of the request before.
test("the last response of a connection arrives whole although a request arrives after it", async t => {
    const handled: string[] = [];
    const { server, connect } = await startServer(({ url }) => {
        handled.push(url);
        return Promise.resolve(createResponse(file));
    });
    const heads = [formatRequest("/file", "connection: close\r\n"), "GET /file HTTP/1.0\r\n\r\n"];
    for (const head of heads) {
        const client = connect();
        client.socket.write(head);
        t.true(isWhole(await readAcrossRequest(client, () => undefined)), head);
        client.socket.destroy();
    }
    t.deepEqual(handled, ["/file", "/file"]);
    server.dispose();
});

test("a response without a length arrives whole although a request arrives after it", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse(file, false)));
    const client = connect();
    client.socket.write(formatRequest("/file"));
    t.true(isWhole(await readAcrossRequest(client, () => undefined)));
    server.dispose();
});

test("a response that is on its way arrives whole when a draining server closes its connection", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse(file)));
    const client = connect();
    client.socket.write(formatRequest("/file"));
    const text = await readAcrossRequest(client, () => {
        server.startDraining();
        server.closeIdle();
    });
    t.true(isWhole(text));
    await client.ended;
    server.dispose();
});

test("a response whose target breaks off is cut off, and the one before it arrives whole", async t => {
    const { server, connect } = await startServer(({ url }) => {
        if (url === "/file") {
            return Promise.resolve(createResponse(file));
        }
        const body = new stream.PassThrough();
        setTimeout(() => body.destroy(), 100);
        return Promise.resolve({
            statusCode: 200,
            headers: [],
            body: { kind: "stream", stream: body, bodyBytes: 8, isReceived: () => false },
            isDelimited: true,
        });
    });
    const client = connect();
    client.socket.write(formatRequest("/file") + formatRequest("/broken"));
    const text = await readAcrossRequest(client, () => undefined);
    t.true(text.lastIndexOf("x") >= fileBytes);
    server.dispose();
});

// Guards against a refusal that the client does not get, as it is still sending the body.
test("a client that sends its whole body first gets the refusal", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse("")), { maxBodyBytes: 800_000 });
    const client = connect();
    client.socket.pause();
    client.socket.write(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${fileBytes}\r\n\r\n`);
    for (let sent = 0; sent < fileBytes; sent += fileBytes / 10) {
        await wait(10);
        client.socket.write("x".repeat(fileBytes / 10));
    }
    client.socket.resume();
    await client.ended;
    t.regex(client.read(), /^HTTP\/1\.1 413 /);
    server.dispose();
});

test("a client whose bytes cannot be read gets the refusal although it goes on sending", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse("")));
    const client = connect();
    client.socket.pause();
    client.socket.write("no request\r\n\r\n");
    await wait(50);
    client.socket.write("nor this\r\n\r\n");
    await wait(50);
    client.socket.resume();
    await client.ended;
    t.regex(client.read(), /^HTTP\/1\.1 400 /);
    server.dispose();
});

test("an idle connection is closed at once", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse("")));
    const client = connect();
    await waitFor(() => server.countConnections() === 1);
    server.startDraining();
    server.closeIdle();
    await client.ended;
    await waitFor(() => server.countConnections() === 0);
    t.pass();
    server.dispose();
});

// Guards against clients that hold descriptors for good, or send without end.
test("a connection that the client does not close ends after a time, or after too many bytes", async t => {
    const scheduler = virtualScheduler.createVirtualScheduler();
    const maxBodyBytes = 600_000;
    const unclosed: string[] = [];
    const { server, connect } = await startServer(
        () => Promise.resolve(createResponse("done")),
        { maxBodyBytes },
        { scheduler, recordUnclosed: reason => void unclosed.push(reason) },
    );
    const clients = [connect(), connect()];
    for (const { socket, read } of clients) {
        socket.pause();
        socket.write(formatRequest("/", "connection: close\r\n"));
        await wait(30);
        t.is(read(), "");
    }
    t.is(server.countConnections(), 2);
    clients[0]?.socket.write("x".repeat(4 * maxBodyBytes));
    await waitFor(() => server.countConnections() === 1);
    await scheduler.advance(lingerMs);
    await waitFor(() => server.countConnections() === 0);
    t.deepEqual(unclosed, ["bytes", "time"]);
    clients.forEach(({ socket }) => socket.destroy());
    server.dispose();
});

// Guards against an excess of connections that is met by cutting off a response in place of closing an idle connection.
test("a connection with a response on its way is not closed for one too many while others are idle", async t => {
    const { server, connect } = await startServer(
        () => Promise.resolve(createResponse("done")),
        {},
        { maxConnections: 3 },
    );
    const [lingering, responded, idle] = [connect(), connect(), connect()];
    await waitFor(() => server.countConnections() === 3);
    lingering.socket.pause();
    lingering.socket.write(formatRequest("/", "connection: close\r\n"));
    responded.socket.write(formatRequest("/"));
    await waitFor(() => responded.read().endsWith("done"));
    const latest = connect();
    await idle.ended;
    latest.socket.write(formatRequest("/"));
    await waitFor(() => latest.read().endsWith("done"));
    connect();
    await responded.ended;
    lingering.socket.resume();
    await lingering.ended;
    t.true(lingering.read().endsWith("done"));
    server.dispose();
});

import * as stream from "node:stream";
import test from "ava";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";

const { createResponse, formatRequest, startServer, wait, waitFor } = frontendFixture;

// Guards against header values that change between client and target.
test("bytes above 0x7f in header values are read from and sent to clients unchanged", async t => {
    const value = Buffer.from(Array.from({ length: 0x80 }, (_, index) => 0x80 + index)).toString("latin1");
    const { server, connect } = await startServer(({ headers }) =>
        Promise.resolve({ ...createResponse(""), headers: ["x-own", headers[headers.indexOf("x-text") + 1] ?? ""] }),
    );
    const client = connect();
    client.socket.setEncoding("latin1");
    client.socket.write(Buffer.from(formatRequest("/", `x-text: ${value}\r\nconnection: close\r\n`), "latin1"));
    await client.ended;
    t.true(client.read().includes(`x-own: ${value}\r\n`));
    server.dispose();
});

// Guards against heads that Node.js accepts, and that a target may read in another way, such as another method or header.
test("a request whose head cannot be passed on is refused and not handled", async t => {
    const handled: string[] = [];
    const { server, connect } = await startServer(request => {
        handled.push(request.url);
        return Promise.resolve(createResponse(""));
    });
    for (const text of [
        formatRequest("/a\tb"),
        formatRequest("/a\fb"),
        formatRequest("/", "x text: 1\r\n"),
        formatRequest("/", "expect : 100-continue\r\n"),
    ]) {
        const client = connect();
        client.socket.write(text);
        await client.ended;
        t.regex(client.read(), /^HTTP\/1\.1 400 /, JSON.stringify(text));
    }
    t.deepEqual(handled, []);
    server.dispose();
});

test("pipelined responses are sent in the order of the requests, whichever is ready first", async t => {
    const { server, connect } = await startServer(async request => {
        await wait(request.url === "/slow" ? 100 : 1);
        return createResponse(request.url);
    });
    const client = connect();
    client.socket.write(formatRequest("/slow") + formatRequest("/fast"));
    await waitFor(() => client.read().includes("/fast"));
    const text = client.read();
    t.true(text.indexOf("/slow") >= 0 && text.indexOf("/slow") < text.indexOf("/fast"));
    server.dispose();
});

test("a chunked body arrives complete", async t => {
    const { server, connect } = await startServer(request => Promise.resolve(createResponse(request.body.toString())));
    const client = connect();
    client.socket.write(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    );
    await waitFor(() => client.read().includes("abcde"));
    t.true(client.read().endsWith("abcde"));
    server.dispose();
});

test("a request whose header or body exceeds its limit is refused and not handled", async t => {
    let handled = 0;
    const handle = (): Promise<undefined> => Promise.resolve(void handled++);
    const { server, connect } = await startServer(handle, { maxHeaderBytes: 50, maxBodyBytes: 5 });
    const long = connect();
    long.socket.write(formatRequest("/", `x: ${"y".repeat(100)}\r\n`));
    const large = connect();
    large.socket.write("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabcdef");
    await Promise.all([long.ended, large.ended]);
    t.regex(long.read(), /^HTTP\/1.1 431/);
    t.regex(large.read(), /^HTTP\/1.1 413/);
    t.is(handled, 0);
    server.dispose();
});

test("a response without a length is delimited by the end of the connection", async t => {
    const { server, connect } = await startServer(() => Promise.resolve(createResponse("part", false)));
    const client = connect();
    client.socket.write(formatRequest("/"));
    await client.ended;
    t.notRegex(client.read(), /content-length|transfer-encoding/i);
    t.true(client.read().endsWith("part"));
    server.dispose();
});

test("the requests of a client that disconnects are aborted", async t => {
    let abort: (() => void) | undefined;
    const aborted = new Promise<void>(resolve => (abort = resolve));
    let handled = 0;
    const { server, connect } = await startServer(request => {
        handled++;
        request.signal.addEventListener("abort", () => abort?.());
        return new Promise(() => undefined);
    });
    const client = connect();
    client.socket.write(formatRequest("/"));
    await waitFor(() => handled === 1);
    client.socket.end();
    await t.notThrowsAsync(aborted);
    server.dispose();
});

test("a request is aborted if its client disconnected before the busy process read it", async t => {
    let isFirst = true;
    let hasLeft: boolean | undefined;
    const { server, connect } = await startServer(request => {
        if (isFirst) {
            isFirst = false;
        } else {
            hasLeft = request.signal.aborted;
        }
        return Promise.resolve(undefined);
    });
    const client = connect();
    await new Promise(resolve => client.socket.once("connect", resolve));
    client.socket.write(formatRequest("/first"));
    await waitFor(() => !isFirst);
    const late = connect();
    await new Promise(resolve => late.socket.once("connect", resolve));
    // The request and the end of the connection both arrive before the server reads either.
    late.socket.write(formatRequest("/late"));
    late.socket.destroy();
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 50);
    await waitFor(() => hasLeft !== undefined);
    t.true(hasLeft);
    server.dispose();
});

test("a draining server finishes its requests and closes only idle connections", async t => {
    let handled = 0;
    const { server, connect } = await startServer(async () => {
        handled++;
        await wait(150);
        return createResponse("done");
    });
    const idle = connect();
    const busy = connect();
    busy.socket.write(formatRequest("/"));
    await waitFor(() => handled === 1 && server.countConnections() === 2);
    server.startDraining();
    server.closeIdle();
    await idle.ended;
    await busy.ended;
    t.regex(busy.read(), /connection: close/i);
    t.true(busy.read().endsWith("done"));
    await waitFor(() => server.countConnections() === 0);
});

test("a response that its client still reads is not cut off when idle connections are closed", async t => {
    const bodyBytes = 32 * 1024 * 1024;
    const { server, connect } = await startServer(() => Promise.resolve(createResponse("x".repeat(bodyBytes))));
    const client = connect();
    client.socket.write(formatRequest("/"));
    await waitFor(() => client.read().length > 0);
    client.socket.pause();
    await wait(100);
    server.startDraining();
    server.closeIdle();
    client.socket.resume();
    await Promise.race([client.ended, waitFor(() => client.read().length > bodyBytes)]);
    t.true(client.read().length > bodyBytes);
    await wait(20);
    server.closeIdle();
    await client.ended;
    server.dispose();
});

// Guards against pipelined requests that a target has run and whose connection closes without their response.
test("a draining server sends the responses to all requests that it has begun to handle before it closes a connection", async t => {
    const { server, connect } = await startServer(async request => {
        await wait(request.url === "/slow" ? 100 : 1);
        return createResponse(request.url);
    });
    const client = connect();
    client.socket.write(formatRequest("/slow") + formatRequest("/fast"));
    await wait(30);
    server.startDraining();
    await client.ended;
    t.true(client.read().includes("/slow"));
    t.true(client.read().endsWith("/fast"));
    server.dispose();
});

// Guards against requests that are passed on late in the grace period and cut off at its end.
test("a request that arrives on a busy connection after connections are closed is refused and not handled", async t => {
    const handled: string[] = [];
    const { server, connect } = await startServer(async request => {
        handled.push(request.url);
        await wait(150);
        return createResponse(request.url);
    });
    const client = connect();
    client.socket.write(formatRequest("/early"));
    await waitFor(() => handled.length === 1);
    server.startDraining();
    server.closeIdle();
    client.socket.write(formatRequest("/late"));
    await client.ended;
    t.deepEqual(handled, ["/early"]);
    t.regex(client.read(), /\/early.*503/s);
    server.dispose();
});

// Guards against an error of one request that ends the process, and with it the requests of all other clients.
test("a request whose handling fails ends with 500, which promises nothing, and others go on", async t => {
    const { server, connect, errors } = await startServer(async request => {
        await wait(request.url === "/slow" ? 100 : 1);
        if (request.url === "/faulty") {
            throw new Error("unexpected");
        }
        return createResponse(request.url);
    });
    const other = connect();
    other.socket.write(formatRequest("/slow", "connection: close\r\n"));
    const client = connect();
    client.socket.write(formatRequest("/faulty"));
    await Promise.all([client.ended, other.ended]);
    t.regex(client.read(), /^HTTP\/1\.1 500 /);
    t.true(other.read().endsWith("/slow"));
    t.is(errors.length, 1);
    server.dispose();
});

// Guards against a head that cannot be written: the process ended, and the target's connection stayed open.
test("a response whose head cannot be written ends with 500, and its body is destroyed", async t => {
    const body = new stream.Readable({ read: () => undefined });
    const { server, connect, errors } = await startServer(() =>
        Promise.resolve({
            statusCode: 200,
            headers: ["x-own", "\u0001"],
            body: { kind: "stream", stream: body, bodyBytes: 4, isReceived: () => false },
            isDelimited: true,
        }),
    );
    const client = connect();
    client.socket.write(formatRequest("/"));
    await client.ended;
    t.regex(client.read(), /^HTTP\/1\.1 500 /);
    t.true(body.destroyed);
    t.is(errors.length, 1);
    server.dispose();
});

// Guards against a request behind one that is too large, which runs although the client may send it again.
test("a request behind one whose body is too large is not handled", async t => {
    const handled: string[] = [];
    const { server, connect } = await startServer(
        request => {
            handled.push(request.url);
            return Promise.resolve(createResponse(request.url));
        },
        { maxBodyBytes: 5 },
    );
    const client = connect();
    const large = "POST /large HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabcdef";
    client.socket.write(large + formatRequest("/behind"));
    await client.ended;
    t.deepEqual(handled, []);
    server.dispose();
});

// Guards against a body that is received although its request can no longer be completed, and that may never end.
test("a request whose body is still being received is refused once it may no longer begin", async t => {
    let mayBegin = true;
    const handled: string[] = [];
    const { server, connect } = await startServer(
        request => {
            handled.push(request.url);
            return Promise.resolve(createResponse(request.url));
        },
        {},
        { mayBegin: () => mayBegin },
    );
    const client = connect();
    client.socket.write(formatRequest("/first"));
    await waitFor(() => client.read().endsWith("/first"));
    client.socket.write("POST /upload HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc");
    await wait(30);
    server.startDraining();
    server.refuseLate();
    await wait(30);
    t.notRegex(client.read(), /503/);
    mayBegin = false;
    server.refuseLate();
    await client.ended;
    t.regex(client.read(), /\/firstHTTP\/1\.1 503 [^]*connection: close/i);
    t.deepEqual(handled, ["/first"]);
    server.dispose();
});

// Guards against a client, or another VM, that sends a large body to a VM which refuses the request by its head.
test("a body that its client holds back is asked for only if the request may begin", async t => {
    for (const mayBegin of [true, false]) {
        const { server, connect } = await startServer(
            ({ body }) => Promise.resolve(createResponse(body.toString())),
            {},
            { mayBegin: () => mayBegin },
        );
        const client = connect();
        client.socket.write("POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n");
        server.startDraining();
        await waitFor(() => client.read().includes("\r\n\r\n"));
        if (mayBegin) {
            t.regex(client.read(), /^HTTP\/1\.1 100 /);
            client.socket.write("abc");
            await client.ended;
            t.regex(client.read(), /HTTP\/1\.1 200 [^]*abc$/);
        } else {
            await client.ended;
            t.regex(client.read(), /^HTTP\/1\.1 503 [^]*connection: close/i);
        }
        server.dispose();
    }
});

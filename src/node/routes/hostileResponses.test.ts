import * as net from "node:net";
import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as systemScheduler from "../systemScheduler.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
const head = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s\r\n";
/** Time in which a connection must give up bytes without end; the deadline of a request is longer. */
const giveUpMs = 5_000;
const blockBytes = 16 * 1024;
/** Far more than a connection may hold for one request. */
const endlessBytes = 64 * 1024 * 1024;

const sockets: net.Socket[] = [];
test.after.always(() => sockets.forEach(socket => socket.destroy()));

/** Sends a request to a target that responds with the given bytes, then with a block that repeats until it is closed. */
const sendTo = async (
    start: string,
    options: { readonly repeated?: string; readonly ends?: boolean; readonly resets?: boolean } = {},
): Promise<{ readonly result: targetConnection.SendResult; readonly countSent: () => number }> => {
    let sentBytes = 0;
    const server = net.createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        const { repeated } = options;
        const block = repeated === undefined ? undefined : Buffer.from(repeated.repeat(blockBytes / repeated.length));
        const writeBlocks = (): void => {
            while (block !== undefined && !socket.destroyed && sentBytes < endlessBytes) {
                sentBytes += block.length;
                if (!socket.write(block)) {
                    return;
                }
            }
        };
        socket.on("drain", writeBlocks);
        socket.once("data", () => {
            socket.write(start, "latin1", () => {
                if (options.resets === true) {
                    socket.resetAndDestroy();
                }
            });
            writeBlocks();
            if (options.ends === true) {
                socket.end();
            }
        });
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    server.unref();
    const pool = connectionPool.createConnectionPool({ scheduler, dialect: fixture.testDialect });
    const connection = await pool.acquire({ address, maxIdleMs: Infinity, requestId: undefined });
    if (connection === undefined) {
        throw new Error("the test target does not accept connections");
    }
    const pending: Promise<targetConnection.SendResult> = connection.send({
        bytes: [Buffer.from("GET /jobs/1 HTTP/1.1\r\nhost: example.org\r\nx-id: 1\r\n\r\n")],
        id: "1",
        method: "GET",
    });
    const timeout = new Promise<targetConnection.SendResult>(
        resolve =>
            void scheduler.schedule(giveUpMs, () => {
                connection.dispose();
                resolve({ kind: "broken", reason: "test timeout", connection: fixture.firstConnection });
            }),
    );
    return { result: await Promise.race([pending, timeout]), countSent: () => sentBytes };
};

const describeResult = (result: targetConnection.SendResult): string =>
    result.kind === "broken" ? result.reason : "response";

const malformed: Readonly<Record<string, string>> = {
    "a content length that is no number": `${head}content-length: abc\r\n\r\nbody`,
    "a negative content length": `${head}content-length: -5\r\n\r\nbody`,
    "two different content lengths": `${head}content-length: 4\r\ncontent-length: 5\r\n\r\nbody!`,
    "a chunk size that is no number": `${head}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\nzz\r\n\r\n`,
    "a negative chunk size": `${head}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n-1\r\n\r\n`,
    "an empty chunk size": `${head}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n\r\n\r\n`,
    "a length and a transfer encoding": `${head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    "an unknown transfer encoding": `${head}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    "no id": "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nbody",
};

for (const [name, text] of Object.entries(malformed)) {
    test(`a response with ${name} does not count as whole`, async t => {
        const { result } = await sendTo(text, { ends: true });
        t.is(result.kind, "broken");
    });
}

const controlBytes = [...Array(0x20).keys(), 0x7f].filter(byte => !"\t\r\n".includes(String.fromCharCode(byte)));

// Guards against a head that cannot be written to the client and ends the process, with all requests in flight.
test("a response with a control character in a header value does not count as whole", async t => {
    for (const byte of controlBytes) {
        const value = `text/pl${String.fromCharCode(byte)}in`;
        const { result } = await sendTo(`${head}content-type: ${value}\r\ncontent-length: 4\r\n\r\nbody`);
        t.is(result.kind, "broken", `byte ${byte}`);
    }
});

// Guards against a name that cannot be written to the client, as above.
test("a response with a header name that is no token does not count as whole", async t => {
    for (const name of ["x(y", "x\u0001y", "x\u0080y", "x/y", 'x"', "{x}"]) {
        const { result } = await sendTo(`${head}${name}: 1\r\ncontent-length: 4\r\n\r\nbody`);
        t.is(result.kind, "broken", JSON.stringify(name));
    }
});

// Guards against a status that cannot be written to the client, or after which the connection speaks another protocol.
test("a response with a status that no request can have does not count as whole", async t => {
    for (const status of ["000", "001", "099", "101"]) {
        const text = `HTTP/1.1 ${status} X\r\nx-id: 1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\nbody`;
        const { result } = await sendTo(`${text}${head}content-length: 0\r\n\r\n`);
        t.is(result.kind, "broken", status);
    }
});

// Guards against the library's default encoding, which clears the highest bit of each byte.
test("bytes above 0x7f in a header value are passed on unchanged", async t => {
    const value = String.fromCharCode(...Array.from({ length: 0x80 }, (_, index) => 0x80 + index));
    const seal = `\u00e2\u0080\u0099 ${value}`;
    const { result } = await sendTo(`HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: ${seal}\r\ncontent-length: 0\r\n\r\n`);
    t.deepEqual(result.kind === "response" ? result.response.head.forwardedHeaders : result, ["x-seal", seal]);
});

const cutHeads: readonly string[] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: s",
    head,
    `${head}content-length: 4`,
    `${head}content-length: 4\r\n`,
    `${head}content-length: 4\r\n\r`,
    `HTTP/1.1 100 C\r\n\r\n${head}`,
];

// Guards against a head that is cut off and passed on as a response with an empty or short body.
for (const [index, text] of cutHeads.entries()) {
    test(`a response that ends within its head does not count as whole (${index + 1})`, async t => {
        const { result } = await sendTo(text, { ends: true });
        t.is(result.kind, "broken");
    });
}

test("a body without a length whose last bytes arrive together with a reset does not count as whole", async t => {
    const { result } = await sendTo(`${head}\r\nhalf`, { resets: true });
    t.is(result.kind, "broken");
});

const endless: Readonly<Record<string, readonly [start: string, repeated: string]>> = {
    "a status line": ["HTTP/1.1 200 ", "x"],
    "empty lines": ["", "\r\n"],
    "a header": [`${head}x-long: `, "x"],
    headers: [head, "x: 0123456\r\n\t 12"],
    "interim responses": ["", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 100 C\r\n\r\n"],
    "a chunk size": [`${head}transfer-encoding: chunked\r\n\r\n`, "0"],
    "a chunk extension": [`${head}transfer-encoding: chunked\r\n\r\n4;x=`, "x"],
    trailers: [`${head}transfer-encoding: chunked\r\n\r\n0\r\n`, "x: 0123456789a\r\n"],
    "the body of a failure": ["HTTP/1.1 500 No\r\nx-id: 1\r\nx-seal: s\r\n\r\n", "x"],
    "a body without signature": ["HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\n", "x"],
    "a body that claims to be a refusal": ["HTTP/1.1 503 No\r\nx-id: 1\r\nx-refused: 1\r\n\r\n", "x"],
};

for (const [name, [start, repeated]] of Object.entries(endless)) {
    test(`${name} without end: the connection gives up early and holds little`, async t => {
        const { result, countSent } = await sendTo(start, { repeated });
        t.is(result.kind, "broken");
        t.not(describeResult(result), "test timeout");
        t.true(countSent() < endlessBytes / 4, `${countSent()} bytes`);
    });
}

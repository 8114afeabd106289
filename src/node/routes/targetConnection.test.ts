import * as net from "node:net";
import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as systemScheduler from "../systemScheduler.js";
import * as connectionInfo from "./connectionInfo.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

const opened: net.Socket[] = [];
test.after.always(() => opened.forEach(socket => socket.destroy()));

/** Responds to each request with the next text; `undefined` resets the connection instead. */
const startTarget = async (
    responses: readonly (string | undefined)[],
    endsAfter = false,
): Promise<{
    readonly pool: connectionPool.ConnectionPool;
    readonly acquire: () => Promise<targetConnection.TargetConnection>;
    readonly sockets: net.Socket[];
}> => {
    const remaining = [...responses];
    const sockets: net.Socket[] = [];
    const server = net.createServer(socket => {
        sockets.push(socket);
        opened.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            const response = remaining.shift();
            if (response === undefined) {
                socket.resetAndDestroy();
            } else {
                socket.write(response);
                if (endsAfter) {
                    socket.end();
                }
            }
        });
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    server.unref();
    const pool = connectionPool.createConnectionPool({ scheduler, dialect: fixture.testDialect });
    const acquire = async (): Promise<targetConnection.TargetConnection> => {
        const connection = await pool.acquire({ address, maxIdleMs: Infinity, requestId: undefined });
        if (connection === undefined) {
            throw new Error("the test target does not accept connections");
        }
        return connection;
    };
    return { pool, acquire, sockets };
};

const request = (id: string): targetConnection.ConnectionRequest => ({
    bytes: [Buffer.from(`GET /jobs/1 HTTP/1.1\r\nhost: example.org\r\nx-id: ${id}\r\n\r\n`)],
    id,
    method: "GET",
});

const formatResponse = (id: string, body: string, status = "200 OK"): string =>
    `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

const readBody = (result: targetConnection.SendResult): string =>
    result.kind === "broken"
        ? `broken: ${result.reason}`
        : result.response.body.kind === "whole"
          ? result.response.body.bytes.toString()
          : "stream";

test("a connection is reused for consecutive requests", async t => {
    const { acquire } = await startTarget([formatResponse("1", "one"), formatResponse("2", "two")]);
    const connection = await acquire();
    t.is(readBody(await connection.send(request("1"))), "one");
    t.true(connection.isReusable(scheduler.now()));
    t.is(readBody(await connection.send(request("2"))), "two");
});

// Guards against a log from which a second attempt on the connection of the first one cannot be told.
test("results name the connection and how many requests it had carried, also if it broke", async t => {
    const { acquire } = await startTarget([formatResponse("1", "one"), undefined, formatResponse("3", "three")]);
    const connection = await acquire();
    const getConnection = (result: targetConnection.SendResult): connectionInfo.ConnectionInfo =>
        result.kind === "response" ? result.response.connection : result.connection;
    t.deepEqual(getConnection(await connection.send(request("1"))), { number: 1, carriedRequests: 0 });
    const broken = await connection.send(request("2"));
    t.is(broken.kind, "broken");
    t.deepEqual(getConnection(broken), { number: 1, carriedRequests: 1 });
    t.deepEqual(getConnection(await connection.send(request("2"))), { number: 1, carriedRequests: 2 });
    t.deepEqual(getConnection(await (await acquire()).send(request("3"))), { number: 2, carriedRequests: 0 });
});

test("a second response in the same packet is discarded and ends the connection", async t => {
    const { acquire } = await startTarget([formatResponse("1", "one") + formatResponse("1", "again")]);
    const connection = await acquire();
    t.is(readBody(await connection.send(request("1"))), "one");
    t.false(connection.isReusable(scheduler.now()));
});

test("a late response to an earlier request is skipped, and the connection is not reused", async t => {
    const { acquire } = await startTarget([formatResponse("0", "late") + formatResponse("1", "own")]);
    const connection = await acquire();
    t.is(readBody(await connection.send(request("1"))), "own");
    t.false(connection.isReusable(scheduler.now()));
});

// Guards against a refusal that is taken for that of a later request, which then is answered as not run or sent again.
test("an earlier refusal that is repeated on a kept connection is not taken for the response to a later request", async t => {
    const refusal = "HTTP/1.1 503 Busy\r\nx-id: 1\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n";
    const { acquire } = await startTarget([refusal, refusal + formatResponse("2", "two")]);
    const connection = await acquire();
    const first = await connection.send(request("1"));
    t.true(first.kind === "response" && first.response.head.isRefusal);
    const second = await connection.send(request("2"));
    t.is(readBody(second), "two");
    t.false(second.kind === "response" && second.response.head.isRefusal);
    t.false(connection.isReusable(scheduler.now()));
});

test("a late response is not taken for the response to a probe", async t => {
    const probeResponse = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nprobe";
    const { acquire } = await startTarget([formatResponse("0", "late") + probeResponse]);
    const connection = await acquire();
    t.is(readBody(await connection.send({ ...request(""), id: undefined })), "probe");
    t.false(connection.isReusable(scheduler.now()));
});

test("bytes after a response that are not a whole response end the connection, too", async t => {
    const { acquire } = await startTarget([`${formatResponse("1", "one")}HTTP/1.1 200 OK\r\nx-id`]);
    const connection = await acquire();
    t.is(readBody(await connection.send(request("1"))), "one");
    t.false(connection.isReusable(scheduler.now()));
});

test("unexpected bytes on an idle connection close it", async t => {
    const { acquire, sockets } = await startTarget([formatResponse("1", "one")]);
    const connection = await acquire();
    await connection.send(request("1"));
    const ended = new Promise(resolve => sockets[0]?.once("close", resolve));
    sockets[0]?.write(formatResponse("1", "again"));
    await ended;
    t.false(connection.isReusable(scheduler.now()));
});

test("a response that ends before its content length is broken", async t => {
    const { acquire } = await startTarget(["HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 10\r\n\r\nhalf"], true);
    const connection = await acquire();
    t.true(readBody(await connection.send(request("1"))).startsWith("broken"));
});

test("a response without a length is delimited by the end of the connection and marked as not delimited", async t => {
    const { acquire } = await startTarget(["HTTP/1.1 200 OK\r\nx-id: 1\r\n\r\nwhole"], true);
    const result = await (await acquire()).send(request("1"));
    t.is(readBody(result), "whole");
    t.false(result.kind === "response" && result.response.isDelimited);
});

test("a reset and bytes that are not a response break the request", async t => {
    const { acquire } = await startTarget([undefined, "garbage\r\n\r\n"]);
    t.true(readBody(await (await acquire()).send(request("1"))).startsWith("broken"));
    t.true(readBody(await (await acquire()).send(request("2"))).startsWith("broken"));
});

test("an aborted request resets its connection, so that bytes in transit are dropped", async t => {
    const { acquire, sockets } = await startTarget([""]);
    const connection = await acquire();
    const result = connection.send(request("1"));
    await new Promise(resolve => setTimeout(resolve, 50));
    const error = new Promise(resolve => sockets[0]?.once("error", resolve));
    connection.dispose();
    t.is((await result).kind, "broken");
    t.is(((await error) as NodeJS.ErrnoException).code, "ECONNRESET");
});

test("the pool prefers open connections and respects the idle limit of each request", async t => {
    const { acquire, pool } = await startTarget([formatResponse("1", "one"), formatResponse("2", "two")]);
    const connection = await acquire();
    await connection.send(request("1"));
    const address = connection.address;
    pool.release(connection);
    t.is(await pool.acquire({ address, maxIdleMs: 10_000, requestId: undefined }), connection);
    pool.release(connection);
    t.not(await pool.acquire({ address, maxIdleMs: -1, requestId: undefined }), connection);
    t.is(pool.countOpened(), 2);
});

import test from "ava";
import * as scriptedTarget from "../../testing/routes/scriptedTarget.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as systemScheduler from "../systemScheduler.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
const closers: (() => void)[] = [];
test.after.always(() => closers.forEach(close => close()));

const refusalHead = "HTTP/1.1 503 Full\r\nx-id: r1\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n";
const formatResponse = (id: string): string =>
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n`;

/** Starts a target that responds to each request on a connection with the next text, and a pool of connections to it. */
const startTarget = async (
    responses: readonly string[],
): Promise<{
    readonly pool: connectionPool.ConnectionPool;
    readonly acquire: (requestId: string | undefined) => Promise<targetConnection.TargetConnection>;
    readonly countOpen: () => number;
}> => {
    const { address, pool, countOpen, close } = await scriptedTarget.startScriptedTarget(scheduler, socket => {
        let count = 0;
        socket.on("data", () => socket.write(responses[count++] ?? formatResponse("none")));
    });
    closers.push(close);
    return {
        pool,
        acquire: async requestId => {
            const connection = await pool.acquire({ address, maxIdleMs: Infinity, requestId });
            if (connection === undefined) {
                throw new Error("the test target does not accept connections");
            }
            return connection;
        },
        countOpen,
    };
};

const send = (connection: targetConnection.TargetConnection, id: string): Promise<targetConnection.SendResult> =>
    connection.send({ bytes: [Buffer.from(`POST /jobs/1 HTTP/1.1\r\nx-id: ${id}\r\n\r\n`)], id, method: "POST" });

const readStatus = (result: targetConnection.SendResult): number | string =>
    result.kind === "response" ? result.response.statusCode : result.reason;

// Guards against the copy of a refusal that is taken for the response to the next attempt of the same request.
test("a request that comes again with its id does not get a connection that has carried the id", async t => {
    const { pool, acquire } = await startTarget([refusalHead, refusalHead + formatResponse("r1")]);
    const first = await acquire("r1");
    t.is(readStatus(await send(first, "r1")), 503);
    pool.release(first);
    const second = await acquire("r1");
    t.not(second, first);
});

// Guards against the copy of a refusal that is taken for the response to another request.
test("another request gets the connection, on which the copy of a refusal is told by its id", async t => {
    const { pool, acquire } = await startTarget([refusalHead, refusalHead + formatResponse("r2")]);
    const first = await acquire("r1");
    await send(first, "r1");
    pool.release(first);
    const second = await acquire("r2");
    t.is(second, first);
    t.is(readStatus(await send(second, "r2")), 200);
    t.false(second.isReusable(scheduler.now()));
});

// Guards against a client that uses one id for all its requests and takes the connections that the target accepts.
test("requests that share an id do not add idle connections", async t => {
    const { pool, acquire, countOpen } = await startTarget(Array<string>(10).fill(formatResponse("r1")));
    for (let count = 0; count < 10; count++) {
        const connection = await acquire("r1");
        t.is(readStatus(await send(connection, "r1")), 200);
        pool.release(connection);
    }
    await httpServer.waitMs(50);
    t.is(countOpen(), 1);
});

// Guards against a connection whose record of ids grows without end, and against long ids that cost connections.
test("a connection is closed once it has carried a number of requests, however long their ids are", async t => {
    const requests = 1_000;
    const toId = (index: number): string => `${"i".repeat(200)}${index}`;
    const { pool, acquire, countOpen } = await startTarget(
        Array.from({ length: requests }, (_, index) => formatResponse(toId(index))),
    );
    const first = await acquire(toId(0));
    pool.release(first);
    for (let index = 0; index < requests; index++) {
        const connection = await acquire(toId(index));
        t.is(connection, first);
        await send(connection, toId(index));
        t.true(connection.hasCarried(toId(index)));
        t.is(connection.isReusable(scheduler.now()), index < requests - 1);
        pool.release(connection);
    }
    t.not(await acquire(undefined), first);
    await httpServer.waitMs(50);
    t.is(countOpen(), 1);
});

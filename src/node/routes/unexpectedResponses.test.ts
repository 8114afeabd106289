import * as net from "node:net";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as systemScheduler from "../systemScheduler.js";
import * as connectionPool from "./connectionPool.js";
import * as targetConnection from "./targetConnection.js";
import * as unexpectedResponses from "./unexpectedResponses.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

const sockets: net.Socket[] = [];
test.after.always(() => sockets.forEach(socket => socket.destroy()));

const formatResponse = (id: string): string =>
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-length: 0\r\n\r\n`;

/** Opens a connection to a target that responds to each request with the next text. */
const connect = async (
    ...responses: readonly string[]
): Promise<{
    readonly connection: targetConnection.TargetConnection;
    /** The target's side of the connection. */
    readonly socket: net.Socket;
    readonly recorded: readonly unexpectedResponses.UnexpectedResponse[];
}> => {
    const remaining = [...responses];
    let handleSocket: (socket: net.Socket) => void = () => undefined;
    const accepted = new Promise<net.Socket>(resolve => (handleSocket = resolve));
    const server = net.createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => void socket.write(remaining.shift() ?? ""));
        handleSocket(socket);
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    server.unref();
    const recorded: unexpectedResponses.UnexpectedResponse[] = [];
    const pool = connectionPool.createConnectionPool({
        scheduler,
        dialect: fixture.testDialect,
        recordUnexpected: response => void recorded.push(response),
    });
    const connection = await pool.acquire({ address, maxIdleMs: Infinity, requestId: undefined });
    if (connection === undefined) {
        throw new Error("the test target does not accept connections");
    }
    return { connection, socket: await accepted, recorded };
};

const createRequest = (id: string | undefined): targetConnection.ConnectionRequest => ({
    bytes: [Buffer.from("GET /jobs/1 HTTP/1.1\r\nhost: example.org\r\n\r\n")],
    id,
    method: "GET",
});

// Guards against copies of responses of which neither log nor metrics tell.
test("responses to another request are recorded with both ids, the first one of the connection as such", async t => {
    const { connection, recorded } = await connect(formatResponse("0").repeat(2) + formatResponse("1"));
    t.is((await connection.send(createRequest("1"))).kind, "response");
    const { address } = connection;
    const expected = { kind: "other-request", address, connection: 1, expectedId: "1", receivedId: "0" } as const;
    t.deepEqual(recorded, [
        { ...expected, isFirst: true },
        { ...expected, isFirst: false },
    ]);
});

test("a response to a request that is taken for that of a probe is recorded", async t => {
    const probeResponse = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    const { connection, recorded } = await connect(formatResponse("0") + probeResponse);
    await connection.send(createRequest(undefined));
    t.is(recorded.length, 1);
    t.like(recorded[0], { kind: "other-request", expectedId: undefined, receivedId: "0" });
});

test("bytes right after a response are recorded, with their id if they are a response", async t => {
    const copy = await connect(formatResponse("1").repeat(3));
    await copy.connection.send(createRequest("1"));
    t.is(copy.recorded.length, 1);
    t.like(copy.recorded[0], { kind: "after-response", expectedId: "1", receivedId: "1" });
    const partial = await connect(`${formatResponse("1")}HTTP/1.1 200 OK\r\nx-id`);
    await partial.connection.send(createRequest("1"));
    t.is(partial.recorded.length, 1);
    t.like(partial.recorded[0], { kind: "after-response", expectedId: "1", receivedId: undefined });
});

test("bytes on an idle connection are recorded with the last request's id", async t => {
    for (const [bytes, receivedId] of [
        [formatResponse("1"), "1"],
        ["garbage\r\n\r\n", undefined],
    ] as const) {
        const { connection, socket, recorded } = await connect(formatResponse("0"), formatResponse("1"));
        await connection.send(createRequest("0"));
        await connection.send(createRequest("1"));
        const closed = new Promise(resolve => socket.once("close", resolve));
        socket.write(bytes);
        await closed;
        t.is(recorded.length, 1);
        t.like(recorded[0], { kind: "no-request", connection: 1, expectedId: "1", receivedId });
    }
});

test("a response without an id is recorded", async t => {
    const { connection, recorded } = await connect("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    t.is((await connection.send(createRequest("1"))).kind, "broken");
    t.is(recorded.length, 1);
    t.like(recorded[0], { kind: "no-id", expectedId: "1", receivedId: undefined });
});

// Guards against a counter that grows with each request that is aborted, such as the slower attempt after a hedge.
test("neither expected responses nor those to aborted requests are recorded", async t => {
    const { connection, socket, recorded } = await connect(formatResponse("1"), "HTTP/1.1 200 OK\r\n", "");
    t.is((await connection.send(createRequest("1"))).kind, "response");
    const result = connection.send(createRequest("2"));
    const closed = new Promise(resolve => socket.once("close", resolve));
    socket.once("data", () => {
        connection.dispose();
        socket.write(formatResponse("2"));
    });
    t.is((await result).kind, "broken");
    await closed;
    t.deepEqual(recorded, []);
});

test("each unexpected response is counted, and the first one of a connection is logged with ids of a bounded length", t => {
    const lines: (readonly [string, shared.LogFields | undefined])[] = [];
    const kinds: unexpectedResponses.UnexpectedKind[] = [];
    const logger: shared.Logger = {
        ...silentLogger.createSilentLogger(),
        warn: (message, fields) => void lines.push([message, fields]),
    };
    const metrics = { recordUnexpectedResponse: (kind: unexpectedResponses.UnexpectedKind) => void kinds.push(kind) };
    const record = unexpectedResponses.createUnexpectedRecorder(logger, () => metrics);
    const address = ids.toAddress("127.0.0.1:1");
    const response = {
        kind: "other-request",
        address,
        connection: 4,
        expectedId: "r1",
        receivedId: "x".repeat(60_000),
    };
    record({ ...response, kind: "other-request", isFirst: true });
    record({ ...response, kind: "after-response", isFirst: false });
    t.deepEqual(kinds, ["other-request", "after-response"]);
    t.is(lines.length, 1);
    const [message, fields] = lines[0] ?? [];
    t.is(message, "connection: unexpected response");
    t.like(fields, { request: "r1", kind: "other-request", address, connection: 4 });
    t.is(String(fields?.["received"]).length, 103);
});

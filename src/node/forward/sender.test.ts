import test from "ava";
import * as http from "node:http";
import type * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as senders from "./sender.js";
import * as types from "./Types.js";

const startServer = async (
    listener: http.RequestListener,
): Promise<{ server: http.Server; address: shared.Address }> => {
    const server = http.createServer(listener);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    return { server, address: ids.toAddress(`127.0.0.1:${port}`) };
};

const createRequest = (address: shared.Address, attempt: string): types.AttemptRequest => ({
    address,
    connectionClass: "idempotent",
    connections: 8,
    method: "GET",
    path: "/",
    headers: { "tarragon-attempt-id": attempt },
    body: { prefix: Buffer.alloc(0), rest: undefined, length: 0, getFault: () => undefined },
    attempt: ids.toAttemptId(attempt),
    mayWrite: () => true,
});

const readText = async (attempt: types.Attempt): Promise<{ text: string; end: types.BodyEnd }> => {
    const chunks: Buffer[] = [];
    const end = await attempt.readBody({
        write: chunk => {
            chunks.push(chunk);
            return true;
        },
        onDrain: resume => resume(),
    });
    return { text: Buffer.concat(chunks).toString(), end };
};

test("two responses that arrive on each other's connection are delivered to the right attempts", async t => {
    const waiting: { id: string; response: http.ServerResponse }[] = [];
    const { server, address } = await startServer((request, response) => {
        waiting.push({ id: String(request.headers["tarragon-attempt-id"]), response });
        if (waiting.length === 2) {
            const [first, second] = waiting;
            for (const [mine, other] of [
                [first, second],
                [second, first],
            ]) {
                mine?.response.setHeader("tarragon-attempt-id", other?.id ?? "");
                mine?.response.end(`answer to ${other?.id}`);
            }
        }
    });
    const sender = senders.createSender();
    const attempts = ["attempt-1", "attempt-2"].map(id => sender.send(createRequest(address, id)));
    const heads = await Promise.all(attempts.map(attempt => attempt.head));
    t.deepEqual(
        heads.map(head => head.kind),
        ["response", "response"],
    );
    const bodies = await Promise.all(attempts.map(readText));
    t.deepEqual(
        bodies.map(body => [body.text, body.end.kind]),
        [
            ["answer to attempt-1", "complete"],
            ["answer to attempt-2", "complete"],
        ],
    );
    await sender.close();
    server.close();
});

test("a response to an attempt that is no longer pending is dropped, and its body is not delivered", async t => {
    const { server, address } = await startServer((_request, response) => {
        response.setHeader("tarragon-attempt-id", "attempt-of-yesterday");
        response.end("late");
    });
    const sender = senders.createSender();
    const head = await sender.send(createRequest(address, "attempt-1")).head;
    t.deepEqual(head, { kind: "mismatched", attempt: "attempt-of-yesterday" });
    await sender.close();
    server.close();
});

test("an attempt is not sent to the target if mayWrite returns false", async t => {
    let requests = 0;
    const { server, address } = await startServer((_request, response) => {
        requests++;
        response.end();
    });
    const sender = senders.createSender();
    const head = await sender.send({ ...createRequest(address, "attempt-1"), mayWrite: () => false }).head;
    t.is(head.kind, "withheld");
    t.is(requests, 0);
    await sender.close();
    server.close();
});

test("an attempt is notSent if the connection is refused, and broken if the connection closes after the request", async t => {
    const { server, address } = await startServer(request => request.socket.destroy());
    const sender = senders.createSender();
    t.is((await sender.send(createRequest(address, "attempt-1")).head).kind, "broken");
    await new Promise(resolve => server.close(resolve));
    t.is((await sender.send(createRequest(address, "attempt-2")).head).kind, "notSent");
    await sender.close();
});

test("a response body is reported as truncated if the connection closes before its end", async t => {
    const { server, address } = await startServer((_request, response) => {
        response.writeHead(200, { "content-length": 10 });
        response.write("12345", () => response.destroy());
    });
    const sender = senders.createSender();
    const attempt = sender.send(createRequest(address, "attempt-1"));
    t.is((await attempt.head).kind, "response");
    t.is((await readText(attempt)).end.kind, "truncated");
    await sender.close();
    server.close();
});

test("an attempt that is aborted while it waits for a connection is notSent", async t => {
    const sender = senders.createSender();
    const attempt = sender.send(createRequest(ids.toAddress("127.0.0.1:9"), "attempt-1"));
    attempt.abort("deadline passed");
    t.deepEqual(await attempt.head, { kind: "notSent", cause: "deadline passed" });
    await sender.close();
});

import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import * as ids from "../../common/ids.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as rpcClient from "./rpcClient.js";
import * as rpcServer from "./rpcServer.js";

interface Peer {
    readonly control: ReturnType<typeof ids.toAddress>;
    close(): void;
}

const openPeer = async (respond: (body: string) => Promise<string> | undefined): Promise<Peer> => {
    const server = http.createServer((request, response) => {
        let body = "";
        request.on("data", (chunk: Buffer) => (body += chunk.toString()));
        request.on("end", () => void respond(body)?.then(text => response.end(text)));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        control: ids.toAddress(`127.0.0.1:${(server.address() as net.AddressInfo).port}`),
        close: () => {
            server.closeAllConnections();
            server.close();
        },
    };
};

const createServer = () => {
    const server = rpcServer.createRpcServer(silentLogger.createSilentLogger());
    server.addHandlers({
        "config.getSections": params => Promise.resolve({ sections: { asked: params.digests.join() } }),
        "config.status": () => Promise.reject(new Error("handler failed")),
    });
    return server;
};

test("concurrent calls return the result of the peer's handler", async t => {
    const server = createServer();
    const peer = await openPeer(body => server.receive(body));
    const client = rpcClient.createRpcClient();
    t.teardown(() => (peer.close(), client.close()));
    const digests = ["a", "b", "c"].map(letter => ids.toDigest(letter.repeat(64)));
    const results = await Promise.all(
        digests.map(digest => client.call(peer.control, "config.getSections", { digests: [digest] }, 5000)),
    );
    t.deepEqual(
        results,
        digests.map(digest => ({ kind: "answered", result: { sections: { asked: digest } } })),
    );
});

test("a call fails on a response with another id, a failing handler or a peer that does not respond", async t => {
    const server = createServer();
    const mismatched = await openPeer(() => Promise.resolve('{"jsonrpc":"2.0","id":-1,"result":{}}'));
    const failing = await openPeer(body => server.receive(body));
    const silent = await openPeer(() => undefined);
    const client = rpcClient.createRpcClient();
    t.teardown(() => (mismatched.close(), failing.close(), silent.close(), client.close()));
    t.like(await client.call(mismatched.control, "config.status", {}, 5000), { kind: "failed" });
    t.deepEqual(await client.call(failing.control, "config.status", {}, 5000), {
        kind: "failed",
        cause: "handler failed",
    });
    t.like(await client.call(silent.control, "config.status", {}, 100), { kind: "failed" });
});

const malformedRequests: readonly [string, number][] = [
    ["", -32700],
    ["{", -32700],
    ["null", -32600],
    ["[]", -32600],
    ["[null]", -32600],
    ['{"jsonrpc":"2.0","id":1}', -32600],
    ['{"jsonrpc":"2.0","id":1,"method":"constructor"}', -32601],
    ['{"jsonrpc":"2.0","id":1,"method":"__proto__"}', -32601],
    ['{"jsonrpc":"2.0","id":1,"method":"gossip.pull"}', -32601],
    ['{"jsonrpc":"2.0","id":1,"method":"config.getSections"}', -32602],
    ['{"jsonrpc":"2.0","id":1,"method":"config.getSections","params":{"digests":["../x"]}}', -32602],
    ['{"jsonrpc":"2.0","id":1,"method":"config.getSections","params":[1]}', -32602],
];

test("a malformed request receives a JSON-RPC error", async t => {
    const server = createServer();
    for (const [body, code] of malformedRequests) {
        t.like(JSON.parse(await server.receive(body)), { error: { code } }, body);
    }
    const request = '{"jsonrpc":"2.0","id":1,"method":"config.status"}';
    t.like(JSON.parse(await server.receive(`[${Array(17).fill(request).join()}]`)), { error: { code: -32600 } });
});

import test from "ava";
import * as undici from "undici";
import * as httpServer from "../http/httpServer.js";
import * as relay from "./relay.js";

const startPair = async () => {
    const server = await httpServer.startHttpServer(async (request, response) => {
        response.end(await httpServer.readBody(request));
    });
    const link = await relay.startRelay(server.address);
    const agent = new undici.Agent({ connections: 1 });
    const send = async (body: string): Promise<string> => {
        const response = await undici.request(link.url, { method: "POST", body, dispatcher: agent });
        return response.body.text();
    };
    const close = async (): Promise<void> => {
        await agent.destroy();
        await link.close();
        await server.close();
    };
    return { link, send, close };
};

test("a relay forwards complete bodies, with and without a delay", async t => {
    const { link, send, close } = await startPair();
    const body = "x".repeat(1_000_000);
    t.is(await send(body), body);
    link.setState({ kind: "delay", delayMs: 1 });
    t.is(await send("delayed"), "delayed");
    t.true(link.countBytes() > 2 * body.length);
    await close();
});

test("a frozen link holds data, and a cut link resets connections until it passes data again", async t => {
    const { link, send, close } = await startPair();
    await send("before");
    link.setState({ kind: "freeze" });
    let hasResponse = false;
    const frozen = send("frozen").finally(() => (hasResponse = true));
    await httpServer.waitMs(50);
    t.false(hasResponse);
    link.setState({ kind: "pass" });
    t.is(await frozen, "frozen");
    link.setState({ kind: "cut" });
    await t.throwsAsync(send("cut"));
    link.setState({ kind: "pass" });
    t.is(await send("after"), "after");
    await close();
});

// Guards against restarts that reach the server which has ended, or that change the address.
test("a relay whose target is replaced keeps its address", async t => {
    const { link, send, close } = await startPair();
    const replacement = await httpServer.startHttpServer((_, response) => {
        response.end("replacement");
        return Promise.resolve();
    });
    t.is(await send("before"), "before");
    link.setState({ kind: "cut" });
    link.setTarget(replacement.address);
    await t.throwsAsync(send("cut"));
    link.setState({ kind: "pass" });
    t.is(await send("after"), "replacement");
    await close();
    await replacement.close();
});

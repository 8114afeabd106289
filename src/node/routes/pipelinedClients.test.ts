import * as stream from "node:stream";
import test from "ava";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";

const { createResponse, formatRequest, startServer, wait, waitFor } = frontendFixture;

// Guards against clients that leave while responses wait behind an earlier one: all of these were kept for good.
test("what a client has pipelined is given back when it leaves", async t => {
    const options = frontendFixture.createUnlimitedBodies();
    const body = new stream.PassThrough();
    let handled = 0;
    const { server, connect } = await startServer(
        async ({ url, signal }) => {
            handled++;
            switch (url) {
                case "/slow":
                    await new Promise(resolve => signal.addEventListener("abort", resolve));
                    return undefined;
                case "/stream":
                    return {
                        ...createResponse(""),
                        body: { kind: "stream", stream: body, bodyBytes: 8, isReceived: () => false },
                    };
                default:
                    return createResponse("fast");
            }
        },
        {},
        options,
    );
    const client = connect();
    const upload = "POST /fast HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc";
    client.socket.write(formatRequest("/slow") + upload + formatRequest("/stream"));
    await waitFor(() => handled === 3);
    await wait(30);
    t.is(options.budget.countReservedBytes(), 3);
    client.socket.destroy();
    await wait(100);
    t.is(options.budget.countReservedBytes(), 0);
    t.true(body.destroyed);
    server.dispose();
});

for (const isDelimited of [true, false]) {
    const name = isDelimited ? "with a length" : "without a length";
    // Guards against a connection that neither ends nor goes on, with the requests behind the response that broke off.
    test(`a pipelined response ${name} that breaks off before its turn ends the connection then`, async t => {
        const { server, connect } = await startServer(async ({ url }) => {
            if (url === "/slow") {
                await wait(100);
                return createResponse(url);
            }
            const body = new stream.PassThrough();
            body.write("part");
            setTimeout(() => body.destroy(), 30);
            return {
                ...createResponse(""),
                body: { kind: "stream", stream: body, bodyBytes: isDelimited ? 8 : undefined, isReceived: () => false },
                isDelimited,
            };
        });
        const client = connect();
        client.socket.write(formatRequest("/slow") + formatRequest("/broken") + formatRequest("/behind"));
        await client.ended;
        t.regex(client.read(), /^HTTP\/1\.1 200 [^]*\/slow/);
        t.notRegex(client.read(), /\/behind/);
        server.dispose();
    });
}

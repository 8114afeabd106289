import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as scriptedTarget from "../../testing/routes/scriptedTarget.js";
import * as systemScheduler from "../systemScheduler.js";
import * as targetSender from "./targetSender.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
const closers: (() => void)[] = [];
test.after.always(() => closers.forEach(close => close()));

const formatResponse = (statusLine: string, ...headers: readonly string[]): string =>
    `${[`HTTP/1.1 ${statusLine}`, ...headers, "content-length: 4"].join("\r\n")}\r\n\r\nbody`;

const own = formatResponse("200 OK", "x-id: r1", "x-seal: s");

/** Starts a target that responds to each request on a connection with the next text, and a sender to it. */
const startTarget = async (responses: readonly string[]) => {
    const heads: string[] = [];
    const { address, pool, close } = await scriptedTarget.startScriptedTarget(scheduler, socket => {
        let count = 0;
        socket.on("data", () => socket.write(responses[count++] ?? ""));
    });
    closers.push(close);
    const sender = targetSender.createTargetSender({
        pool,
        dialect: fixture.testDialect,
        scheduler,
        handleHead: ({ id }, { notice }) => heads.push(notice.isLeaving ? `${id} leaves` : id),
    });
    const registration = fixture.createRegistration("a", { address });
    return {
        probe: () => sender.sendProbe({ registration, path: "/health", timeoutMs: 500, onNewConnection: false }),
        send: async (): Promise<string> => {
            const { result } = sender.start({
                registration,
                request: { id: "r1", method: "POST", url: "/jobs/1", headers: ["x-id", "r1"], body: Buffer.alloc(0) },
                getRemainingMs: () => 1_000,
                isIdempotent: false,
            });
            const end = await result;
            return end.kind === "response" ? String(end.response.statusCode) : end.kind;
        },
        heads,
        countOpened: pool.countOpened,
    };
};

for (const [name, response] of [
    ["a response", formatResponse("200 OK", "x-instance: a")],
    ["a refusal", formatResponse("503 Full", "x-refused: 1")],
] as const) {
    // Guards against the copy of a probe's response, which has no id, that breaks the request on the connection.
    test(`the copy of ${name} to a probe does not end the request that is sent next`, async t => {
        const target = await startTarget([response, response + own]);
        t.is((await target.probe()).kind, "response");
        t.is(await target.send(), "200");
        t.is(target.countOpened(), 1);
        t.deepEqual(target.heads, ["a", "a"]);
    });
}

test("without a probe before it, a response without an id breaks its request at once", async t => {
    const target = await startTarget([formatResponse("200 OK", "x-instance: a")]);
    t.is(await target.send(), "broken");
    t.deepEqual(target.heads, []);
});

// Guards against a target that has ended and counts as alive, leaving or limited by what the next one at its address says.
test("what another target says in its response to a probe does not count for the expected one", async t => {
    const target = await startTarget([formatResponse("200 OK", "x-instance: b", "x-leaving: 1")]);
    t.is((await target.probe()).kind, "response");
    t.deepEqual(target.heads, []);
    const reused = await startTarget([formatResponse("400 Bad Request", "x-refused: 1", "x-leaving: 1")]);
    t.is((await reused.probe()).kind, "response");
    t.deepEqual(
        reused.heads,
        [],
        "a target of another service has another health path and rejects a request without an id",
    );
    const expected = await startTarget([formatResponse("200 OK", "x-instance: a", "x-leaving: 1")]);
    await expected.probe();
    t.deepEqual(expected.heads, ["a leaves"]);
});

test("a probe's copy that counts for the next probe does so once, as its connection is closed then", async t => {
    const health = formatResponse("200 OK", "x-instance: a");
    const target = await startTarget([health, health + health]);
    for (const opened of [1, 1, 2]) {
        t.is((await target.probe()).kind, "response");
        t.is(target.countOpened(), opened);
    }
});

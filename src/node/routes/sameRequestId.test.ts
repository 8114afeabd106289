import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as scriptedTarget from "../../testing/routes/scriptedTarget.js";
import * as systemScheduler from "../systemScheduler.js";
import * as targetSender from "./targetSender.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
const closers: (() => void)[] = [];
test.after.always(() => closers.forEach(close => close()));

const formatResponse = (statusLine: string, body: string, ...headers: readonly string[]): string =>
    `${[`HTTP/1.1 ${statusLine}`, "x-id: r1", ...headers, `content-length: ${body.length}`].join("\r\n")}\r\n\r\n${body}`;

const ok = (body: string): string => formatResponse("200 OK", body, "x-seal: s");
const refused = formatResponse("503 Full", "", "x-refused: 1");

interface ReceivedRequest {
    /** Responds; ahead of it comes a copy of what was last written on this connection, if anything was. */
    respond(response: string): void;
}

/** Starts a target that copies its responses, and a sender whose connections to it are kept. */
const startCopyingTarget = async (handleRequest: (request: ReceivedRequest, count: number) => void) => {
    let count = 0;
    const { address, pool, close } = await scriptedTarget.startScriptedTarget(scheduler, socket => {
        let copy = "";
        socket.on("data", () => {
            const respond = (response: string): void => {
                socket.write(copy + response);
                copy = response;
            };
            handleRequest({ respond }, count++);
        });
    });
    closers.push(close);
    const sender = targetSender.createTargetSender({
        pool,
        dialect: fixture.testDialect,
        scheduler,
        handleHead: () => undefined,
    });
    const send = async (target: string): Promise<string> => {
        const result = await sender.start({
            registration: fixture.createRegistration(target, { address }),
            request: { id: "r1", method: "GET", url: "/jobs/1", headers: ["x-id", "r1"], body: Buffer.alloc(0) },
            getRemainingMs: () => 1_000,
            isIdempotent: true,
        }).result;
        if (result.kind !== "response") {
            return result.kind;
        }
        const { statusCode, body } = result.response;
        return `${statusCode} ${body.kind === "whole" ? body.bytes.toString() : body.kind}`.trim();
    };
    return { send, pool };
};

for (const [name, first, end] of [
    ["a refusal", refused, "503"],
    ["a refusal by a limit", formatResponse("429 Too Many", "", "x-refused: 1"), "429"],
    ["a 421", formatResponse("421 Misdirected", ""), "421"],
    ["a failure", formatResponse("500 Error", "failed", "x-seal: s"), "500 failed"],
    ["a success", ok("first"), "200 first"],
] as const) {
    // Guards against the copy of a response that is taken for the response to the next attempt of the same request.
    test(`the copy of ${name} does not end the next attempt at the address, under another id or the same`, async t => {
        const { send } = await startCopyingTarget((request, count) => request.respond(count === 0 ? first : ok("own")));
        t.is(await send("a"), end);
        t.is(await send("b"), "200 own");
        t.is(await send("b"), "200 own");
    });
}

// Guards against a request that arrives twice, from a client or from two VMs, and of which one refusal ends both.
test("of two attempts with one id that are under way together, each gets the response on its own connection", async t => {
    const waiting: ReceivedRequest[] = [];
    const { send, pool } = await startCopyingTarget((request, count) => {
        waiting.push(request);
        if (count === 1) {
            waiting[1]?.respond(refused);
            setTimeout(() => waiting[0]?.respond(ok("first")), 20);
        } else if (count > 1) {
            request.respond(ok("later"));
        }
    });
    t.deepEqual(await Promise.all([send("a"), send("a")]), ["200 first", "503"]);
    t.is(pool.countOpened(), 2);
    t.is(await send("a"), "200 later", "neither the copy of the refusal nor that of the success counts");
});

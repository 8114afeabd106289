import test from "ava";
import * as ids from "../../common/ids.js";
import * as routing from "../../common/routing/Types.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as virtualScheduler from "../../testing/virtualScheduler.js";
import * as forward from "../forward/Types.js";
import * as targetForwarder from "./targetForwarder.js";
import * as types from "./Types.js";

const call = {
    head: { id: ids.toCallId("call-1"), service: ids.toServiceName("bookings"), method: "GET", path: "/", headers: {} },
    service: { connections: 1 },
    body: { prefix: Buffer.alloc(0), rest: undefined, length: 0, getFault: () => undefined },
    isIdempotent: true,
    deadlineAtMs: 1_000,
} as unknown as types.Call;

const writer = {
    isOpen: () => true,
    begin: () => ({ write: () => true, onDrain: () => undefined }),
    finish: () => undefined,
    abort: () => undefined,
} as unknown as types.ResponseWriter;

/** Sends a call, and returns whether its response has cleared the crashes under equal requests. */
const runCall = async (status: number, end: forward.BodyEnd): Promise<boolean> => {
    let isCleared = false;
    const forwarder = targetForwarder.createTargetForwarder({
        scheduler: virtualScheduler.createVirtualScheduler(),
        logger: silentLogger.createSilentLogger(),
        sender: {
            send: () => ({
                head: Promise.resolve({ kind: "response", status, headers: {} }),
                readBody: () => Promise.resolve(end),
                abort: () => undefined,
            }),
        },
        crashes: {
            isEmpty: () => false,
            isBlocked: () => false,
            recordCrash: () => Promise.resolve(),
            recordSuccess: () => void (isCleared = true),
        },
        traces: { record: () => undefined, find: () => undefined },
        isFresh: () => true,
        computeFingerprint: () => "f",
        getResponseTimeoutMs: () => 1_000,
        recordLatency: () => undefined,
        unsafe: new Set(),
    });
    const grant = {
        kind: "local",
        target: { id: ids.toTargetId("t1"), address: ids.toAddress("127.0.0.1:1") },
        endsAtMs: 1_000,
        release: () => undefined,
    } as unknown as Extract<routing.SlotGrant, { kind: "local" }>;
    await forwarder.send(call, writer, new AbortController().signal, grant);
    return isCleared;
};

// Guards against a request that crashes targets again and again, as some of them fail before they run into the crash.
test("only a success that is whole clears the crashes under a request", async t => {
    t.true(await runCall(200, { kind: "complete" }));
    t.false(await runCall(200, { kind: "truncated", cause: "reset" }));
    for (const status of [400, 429, 500, 503]) {
        t.false(await runCall(status, { kind: "complete" }), `status ${status}`);
    }
});

import test from "ava";
import * as undici from "undici";
import * as responses from "./responses.js";
import * as targetServer from "./targetServer.js";
import * as types from "./Types.js";

interface SendOptions {
    readonly id?: string;
    readonly body?: string;
    readonly agent?: undici.Dispatcher;
}

interface Caller {
    readonly send: (path: string, options?: SendOptions) => Promise<TargetResponse>;
}

interface TargetResponse {
    readonly status: number;
    readonly headers: Record<string, string | string[] | undefined>;
    readonly body: Buffer;
}

const createCaller = (url: string): Caller => ({
    send: async (path, options = {}) => {
        const response = await undici.request(`${url}${path}`, {
            method: "POST",
            body: options.body ?? "",
            headers: { "x-request-id": options.id ?? "r1", "tarragon-attempt-id": `a-${options.id ?? "r1"}` },
            dispatcher: options.agent ?? new undici.Agent({ connections: 1 }),
        });
        return {
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.from(await response.body.arrayBuffer()),
        };
    },
});

const startTarget = async (spec: Partial<types.TargetSpec>) => {
    const server = await targetServer.startTargetServer({ id: "t1", ...spec });
    return { server, ...createCaller(server.url), listKinds: () => server.state.events.map(event => event.kind) };
};

test("a call that exceeds the slots is refused as not run and never starts", async t => {
    const { server, send } = await startTarget({ slots: 1, serviceTime: { kind: "fixed", ms: 100 } });
    const both = await Promise.all([send("/a", { id: "r1" }), send("/a", { id: "r2" })]);
    const refused = both.find(response => response.status === 503);
    t.is(refused?.headers["tarragon-outcome"], "not-run");
    t.is(server.state.events.filter(event => event.kind === "started").length, 1);
    await server.close();
});

test("a response echoes the attempt and contains the load report and the digest of the request body", async t => {
    const { server, send } = await startTarget({});
    const response = await send("/a?answerBytes=1000", { id: "r7", body: "hello" });
    t.is(response.headers["tarragon-attempt-id"], "a-r7");
    t.is(response.headers["tarragon-target-state"], "warm");
    const check = responses.checkResponse(
        response.body,
        head => head.requestId === "r7",
        responses.computeDigest("hello"),
    );
    t.deepEqual(check, { isWhole: true, isOwn: true });
    t.deepEqual(
        responses.checkResponse(response.body.subarray(0, 900), () => true, ""),
        { isWhole: false, isOwn: false },
    );
    await server.close();
});

test("a target in cold start collapses when calls exceed the cold slots and becomes warm after enough calls", async t => {
    const { server, send, listKinds } = await startTarget({
        coldForCalls: 2,
        collapse: "crash",
        serviceTime: { kind: "fixed", ms: 50 },
    });
    const boot = server.state.getReport().boot;
    const results = await Promise.allSettled([send("/a"), send("/a")]);
    t.true(results.every(result => result.status === "rejected"));
    t.true(listKinds().includes("collapsed"));
    t.not(server.state.getReport().boot, boot);
    await send("/a");
    t.is(server.state.getReport().state, "cold");
    await send("/a");
    t.is(server.state.getReport().state, "warm");
    await server.close();
});

test("a poison request crashes the target and resets all connections", async t => {
    const { server, send, listKinds } = await startTarget({ serviceTime: { kind: "fixed", ms: 200 } });
    server.setFaults({ poison: "poison" });
    const results = await Promise.allSettled([send("/a"), send("/poison")]);
    t.deepEqual(
        results.map(result => result.status),
        ["rejected", "rejected"],
    );
    t.true(listKinds().includes("crashed"));
    t.is((await send("/a")).status, 200);
    await server.close();
});

test("a call on a silenced connection gets no response and does not start, while a new connection works", async t => {
    const { server, send } = await startTarget({});
    const agent = new undici.Agent({ connections: 1, headersTimeout: 300 });
    await send("/old", { agent });
    server.setFaults({ silenceConnections: true });
    await t.throwsAsync(send("/silenced", { agent }));
    t.is((await send("/new")).status, 200);
    t.false(server.state.events.some(event => event.path === "/silenced"));
    await server.close();
});

test("swapped responses carry the attempt id of the other request, and truncated ones end within the body", async t => {
    const { server, send } = await startTarget({ serviceTime: { kind: "fixed", ms: 20 } });
    server.setFaults({ crossAnswers: 1 });
    const [first] = await Promise.all([send("/a", { id: "r1" }), send("/a", { id: "r2" })]);
    t.is(first.headers["tarragon-attempt-id"], "a-r2");
    server.setFaults({ truncateAnswers: 1 });
    await t.throwsAsync(send("/a?answerBytes=10000"));
    t.is((await send("/a")).status, 200);
    await server.close();
});

test("a call is cancelled and its slot released when the caller disconnects", async t => {
    const { server, send } = await startTarget({ slots: 1, serviceTime: { kind: "fixed", ms: 60_000 } });
    const agent = new undici.Agent();
    const call = t.throwsAsync(send("/a", { agent }));
    while (server.state.events.length === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    await agent.destroy();
    await call;
    while (!server.state.events.some(event => event.kind === "cancelled")) {
        await new Promise(resolve => setImmediate(resolve));
    }
    t.is(server.state.getReport().busy, 0);
    await server.close();
});

test("a draining target refuses calls, and configured false reports are sent", async t => {
    const { server, send } = await startTarget({});
    server.setFaults({ isDraining: true });
    t.is((await send("/a")).headers["tarragon-target-state"], "draining");
    server.setFaults({ isDraining: false, reportBusy: 3, reportState: "cold", echoesAttempt: false });
    const response = await send("/a");
    t.is(response.headers["tarragon-target-busy"], "3");
    t.is(response.headers["tarragon-target-state"], "cold");
    t.is(response.headers["tarragon-attempt-id"], undefined);
    const control = await undici.request(`${server.url}/_faults`, { method: "POST", body: '{"crash":true}' });
    t.is(control.statusCode, 200);
    const listed = await undici.request(`${server.url}/_history`);
    const { events } = (await listed.body.json()) as { events: { kind: string }[] };
    t.is(events.at(-1)?.kind, "crashed");
    await server.close();
});

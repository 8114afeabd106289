import test from "ava";
import type * as http from "node:http";
import * as history from "../history/Types.js";
import * as httpServer from "../http/httpServer.js";
import * as responses from "../targets/responses.js";
import * as caller from "./caller.js";
import * as retryRules from "./retryRules.js";
import * as types from "./Types.js";

type Responder = (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer) => void;

/** Starts a server that responds to lookups like an entry VM, and to calls with the given responders in turn. */
const startEntry = async (responders: Responder[]) => {
    const keys: (string | undefined)[] = [];
    let lookupCount = 0;
    const server = await httpServer.startHttpServer(async (request, response) => {
        if (request.url?.startsWith("/lookup/") === true) {
            lookupCount++;
            const entry = { vm: "e1", address: server.address, zone: "a", keyPrefix: "inc.1." };
            httpServer.sendJson(response, 200, { service: "s", revision: 1, ttlMs: 60_000, entries: [entry, entry] });
            return;
        }
        keys.push(request.headers["idempotency-key"] as string | undefined);
        const body = await httpServer.readBody(request);
        responders.shift()?.(request, response, body);
    });
    return { server, keys, countLookups: () => lookupCount };
};

const respondRan: Responder = (request, response, body) => {
    const requestId = String(request.headers["x-request-id"]);
    const responseBody = responses.formatResponse({ requestId }, "t1", responses.computeDigest(body), 10);
    response.writeHead(200, { "tarragon-outcome": "ran", "tarragon-target": "t1" }).end(responseBody);
};

const respondError =
    (outcome: string, error: string): Responder =>
    (_request, response) =>
        void response.writeHead(503, { "tarragon-outcome": outcome, "tarragon-error": error }).end("{}");

const respondReset: Responder = (_request, response) => void response.socket?.destroy();

const booking: types.CallRequest = {
    service: "s",
    method: "POST",
    path: "/bookings",
    body: Buffer.from("a seat"),
    deadlineMs: 5000,
    key: { kind: "issued" },
    isIdempotent: false,
};

const runCall = async (responders: Responder[], request: types.CallRequest = booking) => {
    const entry = await startEntry(responders);
    const events: history.CallerEvent[] = [];
    const client = caller.createCaller({
        entries: [entry.server.address],
        zone: "a",
        seed: 7,
        maxTries: 3,
        connections: 4,
        record: event => void events.push(event),
    });
    const result = await client.call(request);
    await client.close();
    await entry.server.close();
    return { result, events, keys: entry.keys, lookups: entry.countLookups() };
};

test("a call that ran is sent once, with a key that has the issued prefix", async t => {
    const { result, events, keys } = await runCall([respondRan]);
    t.is(result.outcome, "ran");
    t.deepEqual(result.responseCheck, { isWhole: true, isOwn: true });
    t.regex(keys[0] ?? "", /^inc\.1\.[0-9a-f]{16}$/);
    t.deepEqual(
        events.map(event => event.kind),
        ["sent", "answered"],
    );
});

test("a call with a 'not run' or lost response is sent again with the same key", async t => {
    const { result, keys } = await runCall([respondError("not-run", "no_target"), respondReset, respondRan]);
    t.is(result.outcome, "ran");
    t.is(keys.length, 3);
    t.is(new Set(keys).size, 1, "a new key could run the call twice");
});

test("'not run' after a lost response is reported as may-have-run", async t => {
    const { result } = await runCall([respondReset, respondReset, respondError("not-run", "no_target")]);
    t.is(result.outcome, "may-have-run");
});

test("a call with a lost response that has no key and is not idempotent is never sent again", t => {
    t.is(retryRules.pickRetry({ kind: "noAnswer" }, false, false), "stop");
    t.is(retryRules.pickRetry({ kind: "noAnswer" }, false, true), "sendElsewhere");
    const gone = { kind: "answered", outcome: "may-have-run", error: "arbiter_gone" } as const;
    t.is(retryRules.pickRetry(gone, true, false), "stop");
    const wrong = { kind: "answered", outcome: "not-run", error: "bad_request" } as const;
    t.is(retryRules.pickRetry(wrong, true, true), "stop");
});

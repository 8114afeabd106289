/**
 * Stand-in for a target, as an HTTP server.
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as net from "node:net";
import * as httpServer from "../http/httpServer.js";
import * as answers from "./answers.js";
import * as targetState from "./targetState.js";
import * as types from "./Types.js";

export interface TargetServer extends httpServer.RunningServer {
    readonly state: targetState.TargetState;
    setFaults(change: types.TargetFaultChange): void;
}

interface Answer {
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: Buffer;
}

/** A request that is to be answered. */
interface Pending {
    readonly response: http.ServerResponse;
    readonly answer: Answer;
}

/** How long the first answer of a crossed pair waits for the second one. */
const crossWaitMs = 2000;

const defaults: types.TargetSpec = {
    id: "target",
    zone: "zone",
    listen: "127.0.0.1:0",
    slots: 4,
    coldSlots: 1,
    serviceTime: { kind: "fixed", ms: 0 },
    coldForMs: 0,
    coldForCalls: 0,
    collapse: "slow",
    probeMs: 6,
    seed: 1,
    recordsHistory: true,
};

/**
 * Completes the description of a target.
 *
 * @param spec - what differs from the defaults
 * @returns the whole description
 */
export const createTargetSpec = (spec: Partial<types.TargetSpec>): types.TargetSpec => ({ ...defaults, ...spec });

const getHeader = (request: http.IncomingMessage, name: string): string | undefined => {
    const value = request.headers[name];
    return typeof value === "string" ? value : undefined;
};

const getCallFields = (request: http.IncomingMessage): targetState.CallFields => {
    const key = getHeader(request, "idempotency-key");
    const attempt = getHeader(request, "tarragon-attempt-id");
    const requestId = getHeader(request, "x-request-id");
    return {
        method: request.method ?? "",
        path: request.url ?? "",
        ...(key === undefined ? {} : { key }),
        ...(attempt === undefined ? {} : { attempt }),
        ...(requestId === undefined ? {} : { requestId }),
    };
};

const readDigest = async (request: http.IncomingMessage): Promise<{ bytes: number; digest: string }> => {
    const hash = crypto.createHash("sha256");
    let bytes = 0;
    for await (const chunk of request as AsyncIterable<Uint8Array>) {
        bytes += chunk.length;
        hash.update(chunk);
    }
    return { bytes, digest: hash.digest("hex") };
};

/** Adds faults for the next answers; 0 takes back those that have not happened yet. */
const addFaults = (pending: number, added: number | undefined): number => (added === 0 ? 0 : pending + (added ?? 0));

/**
 * Starts a target.
 *
 * `?answerBytes=<n>` in the path of a call asks for an answer with that many filler bytes, `&chunked=1` for an answer
 * without a declared length.
 *
 * @param partial - what differs from the default target
 * @returns the running target
 */
export const startTargetServer = async (partial: Partial<types.TargetSpec>): Promise<TargetServer> => {
    const spec = createTargetSpec(partial);
    const state = targetState.createTargetState(spec);
    const sockets = new Set<net.Socket>();
    const silent = new WeakSet<net.Socket>();
    let crossAnswers = 0;
    let truncateAnswers = 0;
    let crossing: Pending | undefined;

    const crash = (kept?: net.Socket): void => {
        for (const socket of sockets) {
            if (socket !== kept) {
                socket.resetAndDestroy();
            }
        }
        crossing = undefined;
        state.crash();
    };

    const createReportHeaders = (): http.OutgoingHttpHeaders => {
        const report = state.getReport();
        return {
            "tarragon-target-state": report.state,
            "tarragon-target-busy": String(report.busy),
            "tarragon-target-boot": report.boot,
        };
    };

    const sendAnswer = ({ response, answer }: Pending): void => {
        if (response.socket === null || silent.has(response.socket)) {
            return;
        }
        response.writeHead(200, answer.headers);
        if (truncateAnswers > 0) {
            truncateAnswers--;
            const { socket } = response;
            response.write(answer.body.subarray(0, answer.body.length >> 1), () => socket.destroy());
            return;
        }
        response.end(answer.body);
    };

    const sendCrossed = (pending: Pending): void => {
        if (crossing !== undefined && crossing.response.socket !== pending.response.socket) {
            const other = crossing;
            crossing = undefined;
            crossAnswers--;
            sendAnswer({ response: other.response, answer: pending.answer });
            sendAnswer({ response: pending.response, answer: other.answer });
            return;
        }
        crossing = pending;
        setTimeout(() => {
            if (crossing === pending) {
                crossing = undefined;
                sendAnswer(pending);
            }
        }, crossWaitMs).unref();
    };

    const sendRefusal = (request: http.IncomingMessage, response: http.ServerResponse, cause: string): void => {
        const { attempt } = getCallFields(request);
        request.resume();
        response.writeHead(503, {
            "content-length": 0,
            "tarragon-outcome": "not-run",
            "x-refused": cause,
            ...createReportHeaders(),
            ...(attempt === undefined || !state.faults.echoesAttempt ? {} : { "tarragon-attempt-id": attempt }),
        });
        response.end();
    };

    const createAnswer = (run: targetState.Run, digest: string): Answer => {
        const query = new URL(run.fields.path ?? "/", "http://target").searchParams;
        const fillerBytes = Number(query.get("answerBytes") ?? 0);
        const body = answers.formatAnswer(run.fields, spec.id, digest, fillerBytes);
        const { attempt } = run.fields;
        return {
            body,
            headers: {
                "content-type": "application/octet-stream",
                ...(query.has("chunked") ? {} : { "content-length": body.length }),
                ...(attempt === undefined || !state.faults.echoesAttempt ? {} : { "tarragon-attempt-id": attempt }),
            },
        };
    };

    const runCall = async (request: http.IncomingMessage, response: http.ServerResponse, run: targetState.Run) => {
        response.once("close", () => state.finish(run, "cancelled"));
        const { bytes, digest } = await readDigest(request);
        state.record("received", run, { bodyBytes: bytes, bodyDigest: digest });
        const serviceMs = state.pickServiceTimeMs();
        if (serviceMs > 0) {
            await httpServer.waitMs(serviceMs);
        }
        if (response.destroyed || run.boot !== state.getReport().boot) {
            return;
        }
        state.finish(run, "finished");
        const answer = createAnswer(run, digest);
        const pending = { response, answer: { ...answer, headers: { ...answer.headers, ...createReportHeaders() } } };
        if (crossAnswers > 0) {
            sendCrossed(pending);
            return;
        }
        sendAnswer(pending);
    };

    const handleCall = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const admission = state.begin(getCallFields(request));
        switch (admission.kind) {
            case "refused":
                sendRefusal(request, response, admission.cause);
                return;
            case "crash":
                crash();
                return;
            case "started":
                // A body that breaks off ends the call, which the close of the response records.
                await runCall(request, response, admission.run).catch(() => undefined);
                return;
        }
    };

    /** `control` is the connection of the test, which a crash leaves open. */
    const setFaults = (change: types.TargetFaultChange, control?: net.Socket): void => {
        const {
            crash: crashes,
            turnCold,
            silenceConnections,
            crossAnswers: pairs,
            truncateAnswers: count,
            ...rest
        } = change;
        state.setFaults(rest);
        crossAnswers = addFaults(crossAnswers, pairs);
        truncateAnswers = addFaults(truncateAnswers, count);
        if (silenceConnections === true) {
            sockets.forEach(socket => silent.add(socket));
        }
        if (turnCold === true) {
            state.turnCold();
        }
        if (crashes === true) {
            crash(control);
        }
    };

    const handle = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        if (request.url === "/_faults") {
            setFaults(await httpServer.readJson<types.TargetFaultChange>(request), request.socket);
            httpServer.sendJson(response, 200, { ok: true });
            return;
        }
        if (request.url === "/_history") {
            httpServer.sendJson(response, 200, { events: state.events });
            return;
        }
        if (silent.has(request.socket)) {
            return;
        }
        if (request.url === "/probe") {
            state.record("probed");
            await httpServer.waitMs(spec.probeMs);
            response.writeHead(200, { "content-length": 0, ...createReportHeaders() }).end();
            return;
        }
        await handleCall(request, response);
    };

    const onConnection = (socket: net.Socket): void => {
        socket.setNoDelay(true);
        if (state.isRestarting()) {
            socket.resetAndDestroy();
            return;
        }
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    };

    const server = await httpServer.startHttpServer(handle, { listen: spec.listen, onConnection });
    return { ...server, state, setFaults: change => setFaults(change) };
};

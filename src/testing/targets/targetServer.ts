/**
 * HTTP server that stands in for a target.
 */
import * as crypto from "node:crypto";
import type * as http from "node:http";
import type * as net from "node:net";
import * as httpServer from "../http/httpServer.js";
import * as responses from "./responses.js";
import * as targetState from "./targetState.js";
import * as types from "./Types.js";

export interface TargetServer extends httpServer.RunningServer {
    readonly state: targetState.TargetState;
    setFaults(change: types.TargetFaultChange): void;
}

interface TargetResponse {
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: Buffer;
}

/** A response that is ready to be sent. */
interface PendingResponse {
    readonly response: http.ServerResponse;
    readonly targetResponse: TargetResponse;
}

/** Maximum time that the first response of a swapped pair waits for the second one. */
const swapTimeoutMs = 2000;

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
 * Fills in the defaults of a target specification.
 *
 * @param spec - settings that differ from the defaults
 * @returns the complete specification
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

/** Adds faults for the next responses; 0 cancels the pending ones. */
const addFaults = (pending: number, added: number | undefined): number => (added === 0 ? 0 : pending + (added ?? 0));

/**
 * Starts a target.
 *
 * The query parameter `answerBytes=<n>` of a call requests that many filler bytes in the response; `chunked=1` requests
 * a response without a content length.
 *
 * @param partial - settings that differ from the defaults
 * @returns the running target
 */
export const startTargetServer = async (partial: Partial<types.TargetSpec>): Promise<TargetServer> => {
    const spec = createTargetSpec(partial);
    const state = targetState.createTargetState(spec);
    const sockets = new Set<net.Socket>();
    const silencedSockets = new WeakSet<net.Socket>();
    let pendingSwaps = 0;
    let pendingTruncations = 0;
    let waitingForSwap: PendingResponse | undefined;

    const crash = (kept?: net.Socket): void => {
        for (const socket of sockets) {
            if (socket !== kept) {
                socket.resetAndDestroy();
            }
        }
        waitingForSwap = undefined;
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

    const sendResponse = ({ response, targetResponse }: PendingResponse): void => {
        if (response.socket === null || silencedSockets.has(response.socket)) {
            return;
        }
        response.writeHead(200, targetResponse.headers);
        if (pendingTruncations > 0) {
            pendingTruncations--;
            const { socket } = response;
            response.write(targetResponse.body.subarray(0, targetResponse.body.length >> 1), () => socket.destroy());
            return;
        }
        response.end(targetResponse.body);
    };

    const sendSwapped = (pending: PendingResponse): void => {
        if (waitingForSwap !== undefined && waitingForSwap.response.socket !== pending.response.socket) {
            const other = waitingForSwap;
            waitingForSwap = undefined;
            pendingSwaps--;
            sendResponse({ response: other.response, targetResponse: pending.targetResponse });
            sendResponse({ response: pending.response, targetResponse: other.targetResponse });
            return;
        }
        waitingForSwap = pending;
        setTimeout(() => {
            if (waitingForSwap === pending) {
                waitingForSwap = undefined;
                sendResponse(pending);
            }
        }, swapTimeoutMs).unref();
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

    const createResponse = (run: targetState.RunningCall, digest: string): TargetResponse => {
        const query = new URL(run.fields.path ?? "/", "http://target").searchParams;
        const fillerBytes = Number(query.get("answerBytes") ?? 0);
        const body = responses.formatResponse(run.fields, spec.id, digest, fillerBytes);
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

    const runCall = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        run: targetState.RunningCall,
    ) => {
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
        const targetResponse = createResponse(run, digest);
        const pending = {
            response,
            targetResponse: { ...targetResponse, headers: { ...targetResponse.headers, ...createReportHeaders() } },
        };
        if (pendingSwaps > 0) {
            sendSwapped(pending);
            return;
        }
        sendResponse(pending);
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
                // A truncated request body ends the call, which is recorded when the response closes.
                await runCall(request, response, admission.run).catch(() => undefined);
                return;
        }
    };

    /** `control` is the test's connection, which a crash leaves open. */
    const setFaults = (change: types.TargetFaultChange, control?: net.Socket): void => {
        const {
            crash: crashes,
            turnCold,
            silenceConnections,
            crossAnswers: addedSwaps,
            truncateAnswers: addedTruncations,
            ...rest
        } = change;
        state.setFaults(rest);
        pendingSwaps = addFaults(pendingSwaps, addedSwaps);
        pendingTruncations = addFaults(pendingTruncations, addedTruncations);
        if (silenceConnections === true) {
            sockets.forEach(socket => silencedSockets.add(socket));
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
        if (silencedSockets.has(request.socket)) {
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

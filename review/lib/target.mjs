/** Stand-in for a target: registers itself in the store, answers probes, and runs requests. */
import * as http from "node:http";
import { sleep } from "./tools.mjs";

/**
 * Starts a target.
 *
 * @param options.respond - writes the answer to a request that has run; undefined for the sound one
 */
export const startTarget = async options => {
    const { id, service, zone, store, record, slots = 4, workMs = 90 } = options;
    const runs = new Map();
    const arrivals = [];
    let running = 0;
    let waiting = 0;

    const baseHeaders = () => ({ "Server-Load": `${running},${waiting},${slots},100` });
    const answerSoundly = (request, response, requestId, body) =>
        response
            .writeHead(200, {
                ...baseHeaders(),
                "Request-Id": requestId,
                "Response-Seal": `${id}.${requestId}`,
                "Content-Type": "text/plain",
                "Content-Length": body.length,
            })
            .end(body);

    const handle = async (request, response) => {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        } catch {
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, { ...baseHeaders(), "Instance-Id": id, "Content-Length": 0 }).end();
            return;
        }
        const requestId = request.headers["request-id"];
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== id) {
            const headers = { "Instance-Id": id, "Request-Id": requestId, "Content-Length": 0 };
            response.writeHead(421, headers).end();
            return;
        }
        if (waiting >= 16) {
            const headers = { ...baseHeaders(), "Request-Id": requestId, "Not-Executed": "1", "Content-Length": 0 };
            response.writeHead(503, headers).end();
            return;
        }
        waiting++;
        while (running >= slots && !response.destroyed) {
            await sleep(1);
        }
        waiting--;
        if (response.destroyed) {
            return;
        }
        running++;
        runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
        arrivals.push({ requestId, atMs: performance.now() });
        record.add(`run ${requestId} at ${id} (${service}) ${request.method} ${request.url}`);
        await sleep(workMs * (0.7 + 0.6 * Math.random()));
        running--;
        if (response.destroyed) {
            return;
        }
        const body = Buffer.from(`${id} ${requestId} ${"x".repeat(300)}`);
        if (options.respond?.({ request, response, requestId, body, baseHeaders }) !== true) {
            answerSoundly(request, response, requestId, body);
        }
    };

    const server = http.createServer(
        { keepAliveTimeout: 10_000 },
        (request, response) => void handle(request, response),
    );
    server.on("clientError", (_error, socket) => socket.destroy());
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${server.address().port}`;
    // Only its heartbeat changes afterwards, which does not change the entry.
    store.put("servers", id, {
        Service: service,
        Address: address,
        Zone: zone,
        Version: "v1",
        MaxConcurrency: slots,
        State: "ready",
        WarmupLeft: "0ms",
        Sequence: 1,
        born: Date.now(),
    });
    return {
        id,
        service,
        address,
        /** Runs by request id. */
        runs,
        /** Times at which requests began to run. */
        arrivals,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

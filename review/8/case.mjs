/**
 * Uploads arrive at an entry daemon that drains, more than 3 s after its SIGTERM, and are at work at their targets when the
 * daemon ends before the grace period is over.
 */
import * as path from "node:path";
import * as url from "node:url";
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import * as client from "../lib-2/client.mjs";
import * as standins from "../lib-2/standins.mjs";

const directory = path.dirname(url.fileURLToPath(import.meta.url));
/** Largest work of `edge-upload` at the site. */
const workMs = 5_300;
const uploadBytes = 60_000;
const deadlineMs = 20_000;
const graceMs = 10_000;
const lossSlackMs = 200;
const sentAtMs = [3_400, 3_800, 4_200, 4_600, 4_800];
const contactMs = 4_000;

await standins.runCase(directory, async ({ record, isTroubled, onEnd }) => {
    const store = await standins.startStore();
    onEnd(store.close);
    standins.writeConfiguration(store, {
        version: 1,
        services: [{ Name: "inspection", HealthPath: "/health" }],
        routes: [
            {
                Name: "edge-upload",
                Prefix: "/edge/",
                Service: "inspection",
                RouteType: "upload",
                MaxAttempts: 1,
                Timeout: "20s",
                LatencySlo: "3s",
                Priority: 1,
            },
        ],
    });
    const runs = new Map();
    for (const id of ["i-inspection-1", "i-inspection-2", "i-inspection-3"]) {
        const target = await standins.startTarget({
            store,
            id,
            service: "inspection",
            respond: ({ id: requestId, response, body, socket }) => {
                record(`${id} runs ${requestId} (${body.length} bytes)`);
                runs.set(requestId, "at work");
                const timer = setTimeout(() => {
                    const headers = { "Request-Id": requestId, "Response-Seal": "s1", "Content-Length": 2 };
                    response.writeHead(200, headers).end("ok");
                    runs.set(requestId, "answered");
                    record(`${id} answers ${requestId}`);
                }, workMs);
                socket.once("close", () => {
                    clearTimeout(timer);
                    if (runs.get(requestId) === "at work") {
                        record(`${id}: the connection of ${requestId} has closed while it was at work`);
                    }
                });
            },
        });
        onEnd(target.close);
    }
    const fleet = await standins.createDaemons({
        store,
        record,
        count: 2,
        bounds: { Contact: `${contactMs}ms`, Grace: `${graceMs}ms`, Drain: "3000ms", ConfigApply: "3000ms" },
    });
    onEnd(fleet.close);
    fleet.daemons.forEach(fleet.start);
    for (const each of fleet.daemons) {
        await fleet.waitUntilServing(each);
    }
    await standins.waitMs(contactMs + 1_000);
    // Clients connect where the directory tells them to.
    const daemon = await fleet.waitUntilServing(fleet.daemons[0]);
    const connections = [];
    for (const index of sentAtMs.keys()) {
        const connection = await client.connect(daemon.front);
        connection.send(
            client.formatRequest({
                id: `warm-${index}`,
                path: "/none",
                clientHost: standins.clientHost,
                deadlineMs,
            }),
        );
        await connection.waitFor(() => connection.responses.length > 0, 2_000);
        connections.push(connection);
    }
    const startedAtMs = performance.now();
    if (isTroubled) {
        record(`SIGTERM to ${daemon.name}`);
        daemon.process.kill("SIGTERM");
        // The platform kills a process that has not ended after its grace period.
        const timer = setTimeout(() => {
            record(`SIGKILL to ${daemon.name}`);
            daemon.process.kill("SIGKILL");
        }, graceMs);
        onEnd(() => clearTimeout(timer));
    }
    const results = sentAtMs.map(async (delayMs, index) => {
        const connection = connections[index];
        await standins.waitMs(startedAtMs + delayMs - performance.now());
        const id = `upload-${index + 1}`;
        if (connection.closedBy !== undefined) {
            record(`${id} is not sent, as the connection has closed`);
            return false;
        }
        connection.send(
            client.formatRequest({
                id,
                method: "POST",
                path: "/edge/photo",
                clientHost: standins.clientHost,
                deadlineMs,
                body: Buffer.alloc(uploadBytes, 99),
            }),
        );
        record(`client sends ${id}, ${delayMs} ms after the SIGTERM`);
        const sentMs = performance.now();
        await connection.waitFor(() => connection.responses[1]?.isWhole === true, 12_000);
        const afterMs = Math.round(performance.now() - sentMs);
        const response = connection.responses[1];
        record(`client: ${id} after ${afterMs} ms: status ${response?.statusCode}, closed by ${connection.closedBy}`);
        const isCut = response?.isWhole !== true && connection.closedBy !== undefined && afterMs > lossSlackMs;
        const isLost = isCut && runs.has(id);
        if (isLost) {
            record(`LOST: ${id} was read whole and passed on, and its connection ended without an answer`);
        }
        return isLost;
    });
    const lost = (await Promise.all(results)).filter(Boolean).length;
    record(`${lost} of ${sentAtMs.length} uploads lost`);
    return lost > 0;
});

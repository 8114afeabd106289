/**
 * Clients that send further safe requests before the first one is answered, on connections of an entry daemon that drains.
 */
import * as path from "node:path";
import * as url from "node:url";
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";
import { setTimeout } from "node:timers";
import * as client from "../lib-2/client.mjs";
import * as standins from "../lib-2/standins.mjs";
import * as link from "./link.mjs";

const directory = path.dirname(url.fileURLToPath(import.meta.url));
const clients = 24;
const fileBytes = 540_000;
const fileWorkMs = 100;
const lookupWorkMs = 40;
const deadlineMs = 6_000;
/** Times after the file's request at which the second request is sent; the daemon's doings play no part in them. */
const firstGapMs = 60;
const gapStepMs = 4;
const delayMs = 8;
/** 14 Mbit/s. */
const bytesPerMs = 1_750;

await standins.runCase(directory, async ({ record, isTroubled, onEnd }) => {
    const store = await standins.startStore();
    onEnd(store.close);
    const route = { RouteType: "safe", MaxAttempts: 2, Timeout: "5s", LatencySlo: "900ms", Priority: 1 };
    standins.writeConfiguration(store, {
        version: 1,
        services: [
            { Name: "files", HealthPath: "/health" },
            { Name: "menus", HealthPath: "/health" },
        ],
        routes: [
            { ...route, Name: "settlement-pull", Prefix: "/files/", Service: "files", RouteType: "download" },
            { ...route, Name: "menu-lookup", Prefix: "/menus/", Service: "menus" },
        ],
    });
    const answered = new Set();
    const startTarget = (id, service, workMs, bytes) =>
        standins.startTarget({
            store,
            id,
            service,
            slots: 32,
            respond: ({ id: requestId, response }) => {
                setTimeout(() => {
                    const headers = { "Request-Id": requestId, "Response-Seal": "s1", "Content-Length": bytes };
                    response.writeHead(200, headers).end(Buffer.alloc(bytes, 100));
                    answered.add(requestId);
                    record(`${id} has answered ${requestId} with ${bytes} bytes`);
                }, workMs);
            },
        });
    for (const id of ["i-files-1", "i-files-2"]) {
        onEnd((await startTarget(id, "files", fileWorkMs, fileBytes)).close);
    }
    for (const id of ["i-menus-1", "i-menus-2"]) {
        onEnd((await startTarget(id, "menus", lookupWorkMs, 1_500)).close);
    }
    const fleet = await standins.createDaemons({ store, record, count: 2 });
    onEnd(fleet.close);
    fleet.daemons.forEach(fleet.start);
    await fleet.waitUntilServing(fleet.daemons[0]);
    await standins.waitMs(4_000);
    const daemon = await fleet.waitUntilServing(fleet.daemons[0]);
    const clientLink = await link.startLink({ port: daemon.front, delayMs, bytesPerMs });
    onEnd(clientLink.close);

    const format = (id, target) =>
        client.formatRequest({ id, path: target, clientHost: standins.clientHost, deadlineMs });
    const connections = [];
    for (let index = 0; index < clients; index++) {
        const connection = await client.connect(clientLink.port);
        connection.send(format(`first-${index}`, "/menus/today"));
        await connection.waitFor(() => connection.responses[0]?.isWhole === true, 2_000);
        connections.push(connection);
    }
    if (isTroubled) {
        record(`SIGTERM to ${daemon.name}`);
        daemon.process.kill("SIGTERM");
    }
    const play = async (connection, index) => {
        await standins.waitMs(100 + index * 100);
        const gapMs = firstGapMs + index * gapStepMs;
        connection.send(format(`file-${index}`, "/files/day.csv"));
        const sentAtMs = performance.now();
        // A client sends nothing behind a response that it knows to close the connection.
        await connection.waitFor(() => connection.responses[1]?.headers.get("connection") === "close", gapMs);
        const mayGoOn = connection.responses[1]?.headers.get("connection") !== "close";
        if (mayGoOn && connection.closedBy === undefined) {
            connection.send(format(`behind-${index}`, "/menus/today"));
        }
        await connection.waitFor(() => connection.responses[mayGoOn ? 2 : 1]?.isWhole === true, 3_000);
        const [, file, behind] = connection.responses;
        const afterMs = Math.round(performance.now() - sentAtMs);
        record(
            `client ${index}: second request ${mayGoOn ? `after ${gapMs} ms` : "not sent"}; file: status ` +
                `${file?.statusCode}, ${file?.bodyBytes} bytes, whole: ${file?.isWhole === true}; second: status ` +
                `${behind?.statusCode}; closed by ${connection.closedBy}, after ${afterMs} ms`,
        );
        const isLost = answered.has(`file-${index}`) && file?.isWhole !== true && connection.closedBy !== undefined;
        if (isLost) {
            record(
                `LOST: file-${index} was passed on and answered, and its connection ended without a complete answer`,
            );
        }
        connection.socket.destroy();
        return isLost;
    };
    const lost = (await Promise.all(connections.map(play))).filter(Boolean).length;
    record(`${lost} of ${clients} files lost`);
    return lost > 0;
});

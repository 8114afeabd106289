import test from "ava";
import * as ids from "../../common/ids.js";
import * as net from "node:net";
import * as undici from "undici";
import * as httpServer from "../http/httpServer.js";
import * as system from "../system/system.js";
import * as systemTypes from "../system/Types.js";

const bodyBytes = 8_000_000;

const plan: systemTypes.DeploymentPlan = {
    name: "refused-upload",
    region: "region",
    zones: ["zone-a"],
    linkDelayMs: 1,
    entries: 1,
    services: [
        {
            service: "photographs",
            targets: 1,
            slots: 1,
            coldSlots: 1,
            connections: 10,
            serviceTime: { kind: "fixed", ms: 1 },
            deadlineMs: 5000,
            maxBodyBytes: 16_000_000,
            idempotent: ["PUT /photographs/*"],
            nonIdempotent: [],
        },
    ],
};

/** Writes all requests at once on one connection and waits for as many responses. */
const sendOnOneConnection = (address: string, requests: readonly string[]): Promise<string[]> =>
    new Promise((resolve, reject) => {
        const socket = net.connect(ids.splitAddress(address));
        let text = "";
        socket.on("data", (chunk: Buffer) => {
            text += chunk.toString("latin1");
            const statuses = text.match(/HTTP\/1\.1 \d{3}/g) ?? [];
            if (statuses.length === requests.length) {
                socket.destroy();
                resolve(statuses);
            }
        });
        socket.on("error", reject);
        socket.on("close", () => reject(new Error(`the connection was closed after: ${text.slice(0, 500)}`)));
        requests.forEach(request => socket.write(request));
    });

// Guards against an unread remainder of a refused upload that blocks the next request on the same connection.
test("after a refused upload, the connection still serves requests", async t => {
    const running = await system.startSystem({ plan, seed: 6 });
    t.is((await running.publish()).exitCode, 0);
    const entry = running.entries[0] as systemTypes.EntryVm;
    await running.waitForHealth(entry);
    const get = "GET /call/photographs/photographs/1 HTTP/1.1\r\nHost: x\r\n\r\n";
    t.deepEqual(await sendOnOneConnection(entry.listen, [get]), ["HTTP/1.1 200"]);
    // A direct call, unknown to the entry VM, takes the only slot, so the target refuses the upload as busy.
    await running.setTargetFaults("photographs-1", { slowFactor: 2000 });
    const direct = undici.request(`http://${running.targets["photographs-1"]}/photographs/2`);
    while (!(await running.readTargetEvents()).some(event => event.path === "/photographs/2")) {
        await httpServer.waitMs(10);
    }
    const upload =
        "PUT /call/photographs/photographs/1 HTTP/1.1\r\nHost: x\r\nTarragon-Deadline-Ms: 1000\r\n" +
        `Content-Length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`;
    const health = "GET /health HTTP/1.1\r\nHost: x\r\n\r\n";
    const statuses = await sendOnOneConnection(entry.listen, [upload, health]);
    t.deepEqual(statuses, ["HTTP/1.1 503", "HTTP/1.1 200"]);
    await (await direct).body.dump();
    t.true((await running.readTargetEvents()).some(event => event.kind === "refused"));
    await running.close();
});

/** The hub's connections to the store are reset; half a second later, targets leave without reporting `draining`. */
import * as path from "node:path";
import * as client from "../lib/client.mjs";
import * as configuration from "../lib/configuration.mjs";
import * as daemons from "../lib/daemons.mjs";
import * as relays from "../lib/relay.mjs";
import * as stores from "../lib/store.mjs";
import * as targets from "../lib/target.mjs";
import * as tools from "../lib/tools.mjs";

const vmCount = 6;
const clientCount = 30;
const targetCount = 8;
const calmMs = 6_000;
const roundCount = 3;
const betweenRoundsMs = 8_000;
const leaveAfterMs = 500;
/** `Drain`; a target that leaves serves for this time and a little longer. */
const drainMs = 2_000;
const littleLongerMs = 300;

const record = tools.createRecord(path.join(import.meta.dirname, "record.txt"));
const store = await stores.startStore();
store.put("op", "config", {
    ...configuration.createConfiguration(3, [["/bookings/", "unsafe", "1200ms", "300ms", 1, "bookings"]]),
});
const links = await Promise.all(Array.from({ length: vmCount }, () => relays.startRelay(store.address)));
const running = await Promise.all(
    Array.from({ length: targetCount }, (_, index) =>
        targets.startTarget({
            id: `i-bookings-${index}`,
            service: "bookings",
            zone: `bc-south-${"abc"[index % 3]}`,
            store,
            record,
        }),
    ),
);
const system = await daemons.startDaemons({ count: vmCount, store: links.map(({ address }) => address), record });

const sent = new Map();
const countEnds = {};
/** Removed targets, and when the store had accepted that. */
const left = [];
const resets = [];

const handleEnd = ({ request, end, address }) => {
    const name = end.kind === "answer" ? String(end.status) : end.kind;
    countEnds[name] = (countEnds[name] ?? 0) + 1;
    sent.set(request.id, { end: name, vm: system.findVm(address) });
};

let exitCode = 2;
if (await system.waitUntilReady(20_000)) {
    let count = 0;
    const clients = Array.from({ length: clientCount }, (_, index) =>
        client.startClient({
            zone: `bc-south-${"abc"[index % 3]}`,
            host: configuration.host,
            lookupPorts: system.lookupPorts,
            pauseMs: 60,
            record,
            createRequest: () => ({
                id: `c${index}-${++count}`,
                method: "POST",
                path: "/bookings/9",
                deadlineMs: 2_500,
                body: "job",
            }),
            handleEnd,
        }),
    );
    await tools.sleep(calmMs);
    for (let round = 0; round < roundCount; round++) {
        // One VM follows the store for the others.
        const hub = links.findIndex(link => link.countOpen() > 0);
        if (tools.isTroubled && hub >= 0) {
            record.add(`reset the ${links[hub].countOpen()} connections of ${system.vms[hub].name} to the store`);
            resets.push({ vm: system.vms[hub], atMs: performance.now() });
            links[hub].reset();
        }
        await tools.sleep(leaveAfterMs);
        const target = running[round];
        store.remove("servers", target.id);
        left.push({ target, atMs: performance.now() });
        record.add(`the entry of ${target.id} is removed`);
        await tools.sleep(drainMs + littleLongerMs);
        record.add(`${target.id} ends`);
        target.close();
        await tools.sleep(betweenRoundsMs - leaveAfterMs - drainMs - littleLongerMs);
    }
    await Promise.all(clients.map(({ stop }) => stop()));
    const wasReset = (vm, atMs) => resets.some(reset => reset.vm === vm && atMs - reset.atMs < 3_000);
    const late = left.flatMap(({ target, atMs }) =>
        target.arrivals.filter(
            arrival => arrival.atMs > atMs + drainMs && !wasReset(sent.get(arrival.requestId)?.vm, arrival.atMs),
        ),
    );
    late.forEach(({ requestId }) => record.add(`late ${requestId}: ended with ${sent.get(requestId)?.end}`));
    const lost = late.filter(({ requestId }) => sent.get(requestId)?.end !== "200");
    record.add(`requests by end: ${JSON.stringify(countEnds)}`);
    record.add(
        `reached a target later than Drain after its removal, from machines in touch: ${late.length}; unanswered or failed: ${lost.length}`,
    );
    exitCode = (countEnds["200"] ?? 0) < 1_000 ? 2 : Number(late.length > 0);
    record.add(["held", "DRAIN broken", "could not run"][exitCode]);
}
await system.close();
running.forEach(target => target.close());
links.forEach(link => link.close());
store.close();
record.save();
process.exit(exitCode);

/** One target sends, in one answer of fifty, a head with a byte that no HTTP header may have. */
import * as path from "node:path";
import * as client from "../lib/client.mjs";
import * as configuration from "../lib/configuration.mjs";
import * as daemons from "../lib/daemons.mjs";
import * as stores from "../lib/store.mjs";
import * as targets from "../lib/target.mjs";
import * as tools from "../lib/tools.mjs";

const vmCount = 6;
const clientCount = 40;
const calmMs = 8_000;
const troubleMs = 24_000;
/** Share of the faulty target's answers that are spoilt; the site's `garble` has 0.35 of the targets and 0.02. */
const spoiltShare = 0.02;
/** `Contact`: a machine whose process was started less long ago is not in touch. */
const contactMs = 3_000;
/** "more than three times" */
const allowedLosses = 3;
/** What is put into a header's value: a control character; with VARIANT=utf8 a quotation mark in UTF-8, which HTTP allows. */
const spoiltBytes = process.env.VARIANT === "utf8" ? Buffer.from("\u2019") : Buffer.from([0x01]);

const record = tools.createRecord(path.join(import.meta.dirname, "record.txt"));
const store = await stores.startStore();
store.put("op", "config", {
    ...configuration.createConfiguration(3, [
        ["/profiles/", "safe", "1000ms", "300ms", 3, "profiles"],
        ["/bookings/", "unsafe", "1200ms", "300ms", 1, "bookings"],
    ]),
});

let isTrouble = false;
let spoilt = 0;
const faultyId = "i-profiles-0";

/** Answers as usual, but for one byte of a header, and ends the connection. */
const spoil = ({ response, requestId, body, baseHeaders }) => {
    if (!isTrouble || Math.random() >= spoiltShare) {
        return false;
    }
    spoilt++;
    record.add(`target ${faultyId} spoils the head of its answer to ${requestId}`);
    const headers = {
        ...baseHeaders(),
        "Request-Id": requestId,
        "Response-Seal": `${faultyId}.${requestId}`,
        "Content-Length": body.length,
        Connection: "close",
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    const [before, after] = ["Content-Type: text/pl", "in\r\n\r\n"];
    const head = Buffer.from(`HTTP/1.1 200 OK\r\n${lines.join("")}${before}`, "latin1");
    response.socket.end(Buffer.concat([head, spoiltBytes, Buffer.from(after), body]));
    return true;
};

const running = await Promise.all(
    ["profiles", "bookings"].flatMap(service =>
        Array.from({ length: 5 }, (_, index) =>
            targets.startTarget({
                id: `i-${service}-${index}`,
                service,
                zone: `bc-south-${"abc"[index % 3]}`,
                store,
                record,
                respond: service === "profiles" && index === 0 ? spoil : undefined,
            }),
        ),
    ),
);
const system = await daemons.startDaemons({ count: vmCount, store: store.address, record });

/** Lost requests of kept connections that had been passed on to sound targets, by VM. */
const losses = new Map();
const countEnds = { answer: 0, closed: 0, reset: 0, deadline: 0 };

const handleEnd = ({ request, end, wasKept, address, atMs }) => {
    countEnds[end.kind]++;
    if (end.kind === "answer" || end.kind === "deadline" || !wasKept) {
        return;
    }
    const ranAt = running.filter(target => target.runs.has(request.id));
    const vm = system.findVm(address);
    const ended = vm.ownEnds.find(ownEnd => Math.abs(ownEnd.atMs - atMs) < 1_000);
    const wasInTouch = ended === undefined || ended.ranMs > contactMs;
    if (wasInTouch && ranAt.length > 0 && ranAt.every(target => target.id !== faultyId)) {
        losses.set(vm.name, (losses.get(vm.name) ?? 0) + 1);
        record.add(`lost ${request.id} at ${vm.name}, passed on to ${ranAt.map(target => target.id).join()}`);
    }
};

let exitCode = 2;
if (await system.waitUntilReady(20_000)) {
    let count = 0;
    const clients = Array.from({ length: clientCount }, (_, index) =>
        client.startClient({
            zone: `bc-south-${"abc"[index % 3]}`,
            host: configuration.host,
            lookupPorts: system.lookupPorts,
            pauseMs: 120,
            record,
            createRequest: () =>
                index % 2 === 0
                    ? { id: `c${index}-${++count}`, method: "GET", path: "/profiles/7", deadlineMs: 2_000 }
                    : {
                          id: `c${index}-${++count}`,
                          method: "POST",
                          path: "/bookings/9",
                          deadlineMs: 2_500,
                          body: "job",
                      },
            handleEnd,
        }),
    );
    await tools.sleep(calmMs);
    isTrouble = tools.isTroubled;
    await tools.sleep(troubleMs);
    await Promise.all(clients.map(({ stop }) => stop()));
    const ends = system.vms.flatMap(({ name, ownEnds }) => ownEnds.map(() => name));
    const worst = Math.max(0, ...losses.values());
    record.add(`requests by end: ${JSON.stringify(countEnds)}; spoilt answers: ${spoilt}`);
    record.add(`processes that ended by themselves: ${ends.length} (${ends.sort().join(" ")})`);
    record.add(`lost at one machine in touch, most: ${worst}; allowed: ${allowedLosses}`);
    exitCode = countEnds.answer < 1_000 ? 2 : Number(worst > allowedLosses);
    record.add(["held", "LOST broken", "could not run"][exitCode]);
}
await system.close();
running.forEach(target => target.close());
store.close();
record.save();
process.exit(exitCode);

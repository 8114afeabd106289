/** One target sends, in a few of its answers, a head with a long line of blanks. */
import * as path from "node:path";
import * as client from "../lib/client.mjs";
import * as configuration from "../lib/configuration.mjs";
import * as daemons from "../lib/daemons.mjs";
import * as stores from "../lib/store.mjs";
import * as targets from "../lib/target.mjs";
import * as tools from "../lib/tools.mjs";

const vmCount = 6;
const clientCount = 40;
const calmMs = 6_000;
const troubleMs = 40_000;
/** Share of the faulty target's answers that are spoilt; the site's `garble` has 0.35 of the targets and 0.02. */
const spoiltShare = 0.02;
const blanks = 60_000;
/** "no answer half a second later" than the route's `Timeout`. */
const slackMs = 500;

const timeouts = { "/profiles/": 1_000, "/bookings/": 1_200 };
const record = tools.createRecord(path.join(import.meta.dirname, "record.txt"));
const store = await stores.startStore();
store.put("op", "config", {
    ...configuration.createConfiguration(3, [
        ["/profiles/", "safe", `${timeouts["/profiles/"]}ms`, "300ms", 3, "profiles"],
        ["/bookings/", "unsafe", `${timeouts["/bookings/"]}ms`, "300ms", 1, "bookings"],
    ]),
});

let isTrouble = false;
let spoilt = 0;
const faultyId = "i-profiles-0";

const spoil = ({ response, requestId }) => {
    if (!isTrouble || Math.random() >= spoiltShare) {
        return false;
    }
    spoilt++;
    record.add(`target ${faultyId} spoils the head of its answer to ${requestId}`);
    response.socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n${" ".repeat(blanks)}\r\n\r\n`);
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

const countEnds = { answer: 0, closed: 0, reset: 0, deadline: 0 };
/** Requests without an answer at their route's timeout, and those of them without one half a second later. */
let open = 0;
let late = 0;
let lateOfSoundService = 0;

const handleEnd = ({ request, end, tookMs }) => {
    countEnds[end.kind]++;
    const timeoutMs = timeouts[request.prefix];
    if (tookMs > timeoutMs) {
        open++;
        if (tookMs > timeoutMs + slackMs) {
            late++;
            lateOfSoundService += Number(request.prefix === "/bookings/");
            record.add(`late ${request.id} ${Math.round(tookMs)} ms`);
        }
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
            createRequest: () => {
                const id = `c${index}-${++count}`;
                return index % 2 === 0
                    ? { id, prefix: "/profiles/", method: "GET", path: "/profiles/7", deadlineMs: 2_000 }
                    : { id, prefix: "/bookings/", method: "POST", path: "/bookings/9", deadlineMs: 2_500, body: "job" };
            },
            handleEnd,
        }),
    );
    await tools.sleep(calmMs);
    isTrouble = tools.isTroubled;
    await tools.sleep(troubleMs);
    await Promise.all(clients.map(({ stop }) => stop()));
    record.add(`requests by end: ${JSON.stringify(countEnds)}; spoilt answers: ${spoilt}`);
    record.add(
        `unanswered at their route's timeout: ${open}; half a second later: ${late} (${lateOfSoundService} to bookings)`,
    );
    exitCode = countEnds.answer < 1_000 ? 2 : Number(late >= 20 && late > open / 2);
    record.add(["held", "CONFIG broken", "could not run"][exitCode]);
}
await system.close();
running.forEach(target => target.close());
store.close();
record.save();
process.exit(exitCode);

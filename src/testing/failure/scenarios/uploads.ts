/**
 * Uploads of tens of MB with a key are cut off midway and sent again with the same key through all entry VMs. Each may
 * run at most once, and a truncated body must not be taken as complete.
 */
import * as net from "node:net";
import * as ids from "../../../common/ids.js";
import * as systemTypes from "../../system/Types.js";
import * as plans from "../plans.js";
import * as requests from "../requests.js";
import * as types from "../Types.js";

const mebibyte = 1024 * 1024;
const uploadBytes = 32 * mebibyte;
const sentBytes = 12 * mebibyte;

/** Sends the head and part of the body, and resets the connection once a target has started the call. */
const sendPartialUpload = async (
    context: types.Context,
    entry: systemTypes.EntryVm,
    requestId: string,
    key: string,
    isChunked: boolean,
): Promise<void> => {
    const socket = net.connect(ids.splitAddress(entry.listen));
    socket.on("error", () => undefined);
    socket.resume();
    const length = isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${uploadBytes}`;
    socket.write(
        `POST /call/bookings/uploads HTTP/1.1\r\nHost: x\r\nX-Request-Id: ${requestId}\r\n` +
            `Idempotency-Key: ${key}\r\nTarragon-Deadline-Ms: 8000\r\n${length}\r\n\r\n`,
    );
    if (isChunked) {
        socket.write(`${sentBytes.toString(16)}\r\n`);
    }
    socket.write(Buffer.alloc(sentBytes, requestId));
    await context.waitFor(`${requestId} has reached a target`, async () =>
        (await context.system.readTargetEvents()).some(
            event => event.kind === "started" && event.requestId === requestId,
        ),
    );
    socket.resetAndDestroy();
};

export const uploads: types.Scenario = {
    name: "uploads",
    requirements: ["G1", "G2", "G3"],
    negativeControls: [{ unsafe: "no-arbiter", rules: ["at-most-once"] }],
    seed: 808,
    plan: plans.threeZones,
    entryArgs: plans.shortIntervalArgs,
    run: async context => {
        const { system } = context;
        await requests.waitForLookups(context, "bookings");
        const traffic = context.startTraffic({ workers: 4, createRequest: requests.createBooking });
        await Promise.all(
            system.entries.flatMap((entry, index) =>
                [false, true].map(async isChunked => {
                    const call = `upload-${index}-${isChunked ? "chunked" : "declared"}`;
                    const prefix = await requests.findKeyPrefix(system.entries, entry, "bookings");
                    const key = `${prefix}${call}`;
                    await sendPartialUpload(context, entry, `${call}.0`, key, isChunked);
                    const body = Buffer.alloc(uploadBytes, call);
                    for (const other of system.entries) {
                        await context.send({ entry: other, call, service: "bookings", path: "/uploads", key, body });
                    }
                }),
            ),
        );
        const events = await system.readTargetEvents();
        const received = events.filter(event => event.kind === "received" && event.requestId?.endsWith(".0") === true);
        for (const event of received) {
            const what = `${event.target} accepted ${event.requestId} with ${event.bodyBytes} bytes as complete`;
            context.addViolation("cut-upload", what);
        }
        await traffic.waitForRuns(10);
        await traffic.stop();
    },
};

import * as net from "node:net";
import * as stream from "node:stream";
import test from "ava";
import * as silentLogger from "../../testing/silentLogger.js";
import * as workGrowth from "../../testing/workGrowth.js";
import * as systemScheduler from "../systemScheduler.js";
import * as peerChannel from "./peerChannel.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

/** Creates a channel whose bytes the test provides. */
const createChannel = () => {
    const socket = new stream.Duplex({ read: () => undefined, write: (_chunk, _encoding, done) => done() });
    let isClosed = false;
    const channel = peerChannel.createPeerChannel({
        socket: Object.assign(socket, { setNoDelay: () => socket }) as unknown as net.Socket,
        clock: scheduler,
        logger: silentLogger.createSilentLogger(),
        onClose: () => (isClosed = true),
    });
    const overdue: number[] = [];
    channel.on("hub.beat", ({ overdueMs }) => void overdue.push(overdueMs));
    const receive = (text: string): void => void socket.emit("data", text);
    return { receive, overdue, isClosed: () => isClosed };
};

const formatBeat = (overdueMs: number): string =>
    `${JSON.stringify({ jsonrpc: "2.0", method: "hub.beat", params: { isHub: true, overdueMs, changed: [], left: [] } })}\n`;

test("messages are received however they are split into segments", async t => {
    const text = [1, 2, 3].map(formatBeat).join("");
    for (let size = 1; size <= text.length; size += 7) {
        const { receive, overdue } = createChannel();
        for (let at = 0; at < text.length; at += size) {
            receive(text.slice(at, at + size));
        }
        await new Promise(resolve => setImmediate(resolve));
        t.deepEqual(overdue, [1, 2, 3], `segments of ${size} bytes`);
    }
});

test("a message without end closes the connection", t => {
    const { receive, isClosed } = createChannel();
    const block = "x".repeat(1024 * 1024);
    for (let count = 0; count < 9; count++) {
        receive(block);
    }
    t.true(isClosed());
});

// Guards against a long message of a peer that keeps the only thread busy, as all of it was copied for each segment.
test("the work for a message in small segments grows no faster than its bytes", t => {
    const segment = "x".repeat(16);
    const growth = workGrowth.measureWorkGrowth(64 * 1024, bytes => {
        const { receive } = createChannel();
        for (let count = 0; count < bytes / segment.length; count++) {
            receive(segment);
        }
    });
    t.true(growth < workGrowth.maxWorkGrowth, `${growth.toFixed(1)} times the work`);
});

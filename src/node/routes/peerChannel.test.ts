import * as net from "node:net";
import * as stream from "node:stream";
import * as zlib from "node:zlib";
import test from "ava";
import * as fixture from "../../testing/routes/fixture.js";
import * as silentLogger from "../../testing/silentLogger.js";
import * as workGrowth from "../../testing/workGrowth.js";
import * as systemScheduler from "../systemScheduler.js";
import * as peerChannel from "./peerChannel.js";
import * as peerMessages from "./peerMessages.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

/** Creates a channel whose bytes the test provides. */
const createChannel = () => {
    const sent: string[] = [];
    const socket = new stream.Duplex({
        read: () => undefined,
        write: (chunk, _encoding, done) => {
            sent.push(String(chunk));
            done();
        },
    });
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
    return { channel, sent, receive, overdue, isClosed: () => isClosed };
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

const createPeers = (count: number) =>
    Array.from({ length: count }, (_value, index) => fixture.createPeer(`vm-${index}`, { startedAtMs: index }));

test("a long message is compressed for a VM that accepts it, and arrives in its place among the others", async t => {
    const sender = createChannel();
    const beat = { isHub: true, overdueMs: 1, changed: createPeers(50), left: [] };
    sender.channel.send("hub.beat", beat);
    sender.channel.setFeatures(peerMessages.ownFeatures);
    // A later message of the same VM that does not repeat what it accepts.
    sender.channel.setFeatures(undefined);
    sender.channel.send("hub.beat", { ...beat, overdueMs: 2 });
    sender.channel.send("hub.beat", { ...beat, overdueMs: 3, changed: [] });
    const [plain = "", compressed = "", short = ""] = sender.sent;
    t.true(plain.includes("vm-49") && short.includes("hub.beat"));
    t.true(compressed.length * 4 < plain.length, `${compressed.length} of ${plain.length} bytes`);
    const receiver = createChannel();
    receiver.receive(sender.sent.join(""));
    await new Promise(resolve => setImmediate(resolve));
    t.deepEqual(receiver.overdue, [1, 2, 3]);
});

// Guards against a peer that ends the process, or fills its memory, with what cannot be decompressed.
test("lines that are no message, and compressed ones that are malformed or too long, are ignored", async t => {
    const { receive, overdue, isClosed } = createChannel();
    const format = (data: unknown): string =>
        `${JSON.stringify({ jsonrpc: "2.0", method: "peer.deflated", params: { data } })}\n`;
    const tooLong = zlib.deflateRawSync("x".repeat(9 * 1024 * 1024)).toString("base64");
    receive(`no json\nnull\n1\n${format("AAAA")}${format(5)}${format(tooLong)}${formatBeat(4)}`);
    await new Promise(resolve => setImmediate(resolve));
    t.deepEqual(overdue, [4]);
    t.false(isClosed());
});

test("a message to many VMs is compressed once", t => {
    const message = peerChannel.createMessage("hub.beat", {
        isHub: true,
        overdueMs: 1,
        changed: createPeers(50),
        left: [],
    });
    t.is(message.getDeflatedText(), message.getDeflatedText());
    let reads = 0;
    const counted = peerMessages.createMessage("hub.beat", {
        toJSON: () => ({ text: "x".repeat(2_000), reads: ++reads }),
    });
    for (let count = 0; count < 92; count++) {
        counted.getDeflatedText();
        counted.getText();
    }
    t.is(reads, 1);
});

import * as net from "node:net";
import test from "ava";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as uploadClient from "../../testing/e2e/uploadClient.js";
import * as httpServer from "../../testing/http/httpServer.js";
import * as fixture from "../../testing/routes/fixture.js";
import * as frontendFixture from "../../testing/routes/frontendFixture.js";
import * as relayFixture from "../../testing/routes/relayFixture.js";
import * as systemScheduler from "../systemScheduler.js";
import * as frontendServer from "./frontendServer.js";
import * as peerRelay from "./peerRelay.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });
/** More than the other VM's socket takes while that does not read. */
const uploadBytes = 900_000;
/** More than a VM holds before it passes a body on. */
const streamedBytes = 200_000;
const deadlineMs = 5_000;
/** Trials of each case, as the order in which the VM reads the bytes and the reset varies. */
const trials = 4;
const head = "HTTP/1.1 200 OK\r\nx-id: r1\r\nx-seal: s\r\n";

const closers: (() => void)[] = [];
test.after.always(() => closers.forEach(close => close()));

interface Answer {
    readonly text: string;
    readonly end: "reset" | "reset-when-client-has-read" | "keep-open";
    /** What the other VM responds to the head; by default it asks for the body. */
    readonly interim?: string;
}

interface OtherVm {
    readonly address: shared.Address;
    /** Number of uploads of which the VM had read a part when it responded. */
    countUnfinished(): number;
    /** Resets the last connection; resolves when that has closed. */
    reset(): Promise<void>;
}

/** A VM that takes requests, and responds when it has read the first bytes of a body, of which it reads no more. */
const startOtherVm = async (answer: Answer): Promise<OtherVm> => {
    const sockets: net.Socket[] = [];
    let unfinished = 0;
    const server = net.createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(answer.interim ?? "HTTP/1.1 100 Continue\r\n\r\n");
            socket.once("data", () => {
                unfinished += Number(socket.bytesRead < uploadBytes);
                socket.pause();
                socket.write(answer.text, "latin1", () => {
                    if (answer.end === "reset") {
                        socket.resetAndDestroy();
                    }
                });
            });
        });
    });
    const address = await httpServer.waitForListening(server, "127.0.0.1:0");
    closers.push(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return {
        address,
        countUnfinished: () => unfinished,
        reset: () =>
            new Promise(resolve => {
                const socket = sockets.at(-1);
                socket?.once("close", () => resolve());
                socket?.resetAndDestroy();
            }),
    };
};

const createRelay = (peers: readonly routes.Peer[]): peerRelay.PeerRelay => {
    const { relay, dispose } = relayFixture.createRelay(peers);
    closers.push(dispose);
    return relay;
};

/** Responds to a client as a VM does; 503 stands for a request that no VM has taken. */
const formatEnd = (end: peerRelay.RelayEnd | undefined): frontendServer.ClientResponse => {
    const empty = { kind: "whole", bytes: Buffer.alloc(0) } as const;
    switch (end?.kind) {
        case "relayed": {
            const { statusCode, head: received, body, isDelimited } = end.response;
            return { statusCode, headers: received.forwardedHeaders, body, isDelimited };
        }
        case "failed":
            return { statusCode: end.statusCode, headers: [], body: empty, isDelimited: true };
        case "refused":
        case "abandoned":
        case undefined:
            return { statusCode: 503, headers: [], body: empty, isDelimited: true };
    }
};

/** Sends uploads to a VM that passes each of them on to another one. */
const sendUploads = async (answer: Answer, isChunked: boolean) => {
    const otherVm = await startOtherVm(answer);
    const outcomes: uploadClient.UploadOutcome[] = [];
    for (let trial = 0; trial < trials; trial++) {
        const relay = createRelay([fixture.createPeer("other", { frontAddress: otherVm.address })]);
        const address = await startVm(relay);
        outcomes.push(
            await uploadClient.sendUpload({
                address,
                head: "POST /jobs/1 HTTP/1.1\r\nhost: a",
                bytes: uploadBytes,
                isChunked,
                handleFirstBytes: async () => {
                    if (answer.end === "reset-when-client-has-read") {
                        await otherVm.reset();
                    }
                },
            }),
        );
    }
    return { outcomes, unfinished: otherVm.countUnfinished() };
};

/** Starts a VM that reaches no target. */
const startVm = async (relay: peerRelay.PeerRelay): Promise<string> => {
    const { server, address } = await frontendFixture.startServer(async ({ method, url, body, signal }) => {
        const end = await relay.run(
            {
                outgoing: { id: "r1", method, url, headers: ["host", "a", "x-id", "r1"], body },
                route: fixture.createRoute({ kind: "non-idempotent" }),
                service: fixture.service,
                deadlineAtMs: scheduler.now() + deadlineMs,
                fingerprint: "f",
                configurationVersion: 1,
                signal,
            },
            { maxTargets: 1, mayHaveRun: false },
        );
        return formatEnd(end);
    });
    closers.push(() => server.dispose());
    return address;
};

const cutAnswers: Readonly<Record<string, string>> = {
    "before the first byte of the body": `${head}\r\n`,
    "within the body": `${head}\r\npart`,
    "within the head": head,
    "within the status line": "HTTP/1.1 200 O",
    "behind a chunk": `${head}transfer-encoding: chunked\r\n\r\n4\r\npart\r\n`,
};

const fillOutcomes = (status: number, looksWhole: boolean): readonly uploadClient.UploadOutcome[] =>
    Array.from({ length: trials }, () => ({ status, looksWhole }));

for (const isChunked of [false, true]) {
    const upload = isChunked ? "a chunked upload" : "an upload";

    // Guards against the other tests passing because no request reaches the other VM, or no response the client.
    test.serial(`another VM's whole response to ${upload} that is still being passed on arrives`, async t => {
        const text = `${head}content-length: 4\r\n\r\ndone`;
        const { outcomes, unfinished } = await sendUploads({ text, end: "keep-open" }, isChunked);
        t.deepEqual(outcomes, fillOutcomes(200, true));
        t.is(unfinished, trials);
    });

    for (const [name, text] of Object.entries(cutAnswers)) {
        // Guards against a part of another VM's response that the client receives as a whole one.
        test.serial(`another VM's success that is reset ${name}, while it gets ${upload}, is no response`, async t => {
            const { outcomes, unfinished } = await sendUploads({ text, end: "reset" }, isChunked);
            t.deepEqual(outcomes, fillOutcomes(502, true));
            t.is(unfinished, trials);
        });
    }

    for (const [name, start] of [
        ["without a length", `${head}\r\n`],
        ["in chunks", `${head}transfer-encoding: chunked\r\n\r\n${streamedBytes.toString(16)}\r\n`],
    ] as const) {
        // Guards against a break between VMs that looks like the end of the body to a client that reads later.
        test.serial(`another VM's success ${name} that is reset behind 64 KB of ${upload} looks cut`, async t => {
            const text = `${start}${"x".repeat(streamedBytes)}`;
            const answer = { text, end: "reset-when-client-has-read" } as const;
            const { outcomes, unfinished } = await sendUploads(answer, isChunked);
            t.deepEqual(outcomes, fillOutcomes(200, false));
            t.is(unfinished, trials);
        });
    }
}

for (const status of ["000", "0200", "099", "1000", "2000", "-1", "2 0"]) {
    // Guards against a status of which a part is passed on.
    test.serial(`another VM's response with the status ${status} is no response`, async t => {
        const text = `HTTP/1.1 ${status} OK\r\nx-id: r1\r\nx-seal: s\r\ncontent-length: 4\r\n\r\ndone`;
        const { outcomes, unfinished } = await sendUploads({ text, end: "keep-open" }, false);
        t.deepEqual(outcomes, fillOutcomes(502, true));
        t.is(unfinished, trials);
    });
}

// Guards against a body that is sent to a VM that has not asked for it, as the first digits of its status are those of 100.
test.serial("another VM's response with the status 1000 does not ask for the body", async t => {
    const interim = "HTTP/1.1 1000 Continue\r\n\r\n";
    const { outcomes, unfinished } = await sendUploads({ text: "", end: "reset", interim }, false);
    t.deepEqual(outcomes, fillOutcomes(503, true));
    t.is(unfinished, 0);
});

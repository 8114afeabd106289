/** Stand-in for a client: looks up where to connect, keeps connections open, and judges answers as HTTP/1.1 frames them. */
import * as http from "node:http";
import * as net from "node:net";
import { sleep } from "./tools.mjs";

/** Asks a daemon where to connect. */
export const resolveAddresses = (port, name, zone) =>
    new Promise(resolve => {
        const path = `/-/resolve?Name=${name}&Region=bc-south&Zone=${zone}`;
        const request = http.get({ host: "127.0.0.1", port, path, agent: false }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                try {
                    const { Addresses, Ttl } = JSON.parse(Buffer.concat(chunks).toString());
                    resolve(response.statusCode === 200 ? { addresses: Addresses, ttl: Ttl } : undefined);
                } catch {
                    resolve(undefined);
                }
            });
            response.on("error", () => resolve(undefined));
        });
        request.setTimeout(1_000, () => request.destroy());
        request.on("error", () => resolve(undefined));
    });

const readHead = text => {
    const [statusLine, ...lines] = text.split("\r\n");
    const headers = new Map(
        lines.map(line => [line.slice(0, line.indexOf(":")).toLowerCase(), line.slice(line.indexOf(":") + 1).trim()]),
    );
    return { status: Number(statusLine.split(" ")[1]), headers };
};

/** Splits a chunked body; undefined while it is incomplete. */
const readChunks = bytes => {
    const parts = [];
    let offset = 0;
    for (;;) {
        const lineEnd = bytes.indexOf("\r\n", offset);
        if (lineEnd < 0) {
            return undefined;
        }
        const size = Number.parseInt(bytes.subarray(offset, lineEnd).toString("latin1"), 16);
        if (bytes.length < lineEnd + 2 + size + 2) {
            return undefined;
        }
        if (size === 0) {
            return Buffer.concat(parts);
        }
        parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
        offset = lineEnd + 2 + size + 2;
    }
};

/** Opens a connection; undefined if that takes more than a second or fails. */
export const openConnection = address =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const socket = net.connect({ host, port: Number(port) });
        const timer = setTimeout(() => socket.destroy(), 1_000);
        socket.on("error", () => undefined);
        socket.once("close", () => {
            clearTimeout(timer);
            resolve(undefined);
        });
        socket.once("connect", () => {
            clearTimeout(timer);
            socket.setNoDelay(true);
            resolve({ socket, address, served: 0 });
        });
    });

/**
 * Sends one request and waits for its answer.
 *
 * @returns how it ended: `answer` (with whether the body is complete), `closed`, `reset` or `deadline`
 */
export const sendRequest = (connection, { method, path, host, id, deadlineMs, body = "" }) =>
    new Promise(resolve => {
        const { socket } = connection;
        let received = Buffer.alloc(0);
        let wasReset = false;
        const finish = end => {
            clearTimeout(timer);
            socket.off("data", handleData);
            socket.off("end", handleEnd);
            socket.off("close", handleClose);
            socket.off("error", handleError);
            resolve(end);
        };
        const parse = hasEnded => {
            const headEnd = received.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return undefined;
            }
            const head = readHead(received.subarray(0, headEnd).toString("latin1"));
            const rest = received.subarray(headEnd + 4);
            const answer = { kind: "answer", ...head };
            if (head.headers.has("content-length")) {
                const length = Number(head.headers.get("content-length"));
                const isComplete = rest.length >= length;
                return isComplete || hasEnded ? { ...answer, isComplete, body: rest.subarray(0, length) } : undefined;
            }
            if (head.headers.get("transfer-encoding") === "chunked") {
                const content = readChunks(rest);
                const isComplete = content !== undefined;
                return isComplete || hasEnded ? { ...answer, isComplete, body: content ?? rest } : undefined;
            }
            // The end of the connection ends the body; after a reset it is not complete.
            return hasEnded ? { ...answer, isComplete: !wasReset, body: rest } : undefined;
        };
        const handleData = chunk => {
            received = Buffer.concat([received, chunk]);
            const answer = parse(false);
            if (answer !== undefined) {
                connection.served++;
                connection.mustClose = answer.headers.get("connection") === "close";
                finish(answer);
            }
        };
        const handleError = error => (wasReset ||= error.code === "ECONNRESET");
        const handleEnd = () => undefined;
        const handleClose = () => {
            connection.mustClose = true;
            finish(parse(true) ?? { kind: wasReset ? "reset" : "closed" });
        };
        const timer = setTimeout(() => {
            connection.mustClose = true;
            socket.destroy();
            finish({ kind: "deadline" });
        }, deadlineMs);
        socket.on("data", handleData);
        socket.on("end", handleEnd);
        socket.on("error", handleError);
        socket.on("close", handleClose);
        const length = method === "GET" ? "" : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
        const head = `${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${deadlineMs}\r\n`;
        socket.write(`${head}${length}\r\n${body}`);
    });

/**
 * Starts a client that sends one request after the other on connections that it keeps.
 *
 * @param options.createRequest - creates the next request
 * @param options.handleEnd - called with each request, its end, and whether its connection had served others before
 */
export const startClient = options => {
    const { zone, host, lookupPorts, pauseMs, record } = options;
    let isStopped = false;
    let known = [];
    let expiresAtMs = 0;
    let connection;

    const refresh = async () => {
        for (let attempt = 0; attempt < 3 && performance.now() >= expiresAtMs; attempt++) {
            const port = lookupPorts[Math.floor(Math.random() * lookupPorts.length)];
            const found = await resolveAddresses(port, host, zone);
            if (found !== undefined) {
                known = found.addresses;
                expiresAtMs =
                    performance.now() +
                    Math.min(5_000, Number.parseFloat(found.ttl) * (/ms$/.test(found.ttl) ? 1 : 1_000));
            }
        }
    };
    const connect = async () => {
        if (connection !== undefined && !connection.mustClose && !connection.socket.destroyed) {
            if (known.includes(connection.address)) {
                return;
            }
        }
        connection?.socket.destroy();
        const address = known[Math.floor(Math.random() * known.length)];
        connection = address === undefined ? undefined : await openConnection(address);
    };
    const run = async () => {
        while (!isStopped) {
            await sleep(pauseMs * (0.5 + Math.random()));
            await refresh();
            await connect();
            if (connection === undefined) {
                continue;
            }
            const request = options.createRequest();
            const wasKept = connection.served > 0;
            record.add(
                `send ${request.id} ${request.method} ${request.path} to ${connection.address}${wasKept ? " (kept)" : ""}`,
            );
            const sentTo = connection.address;
            const sentAtMs = performance.now();
            const end = await sendRequest(connection, { ...request, host });
            const status = end.kind === "answer" ? ` ${end.status}${end.isComplete ? "" : " incomplete"}` : "";
            record.add(`end ${request.id} ${end.kind}${status}`);
            const atMs = performance.now();
            options.handleEnd({ request, end, wasKept, address: sentTo, atMs, tookMs: atMs - sentAtMs });
        }
        connection?.socket.destroy();
    };
    const done = run();
    return {
        stop: () => {
            isStopped = true;
            return done;
        },
    };
};

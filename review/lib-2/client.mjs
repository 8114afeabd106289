/**
 * A client of the entry daemon on one connection: sends requests, also several at once, and parses the responses in order.
 */
import * as net from "node:net";
import { Buffer } from "node:buffer";
import { performance } from "node:perf_hooks";

const host = "127.0.0.1";
const headEnd = Buffer.from("\r\n\r\n");

/** Formats a request. */
export const formatRequest = ({ id, method = "GET", path, clientHost, deadlineMs, headers = [], body }) =>
    Buffer.concat([
        Buffer.from(
            [
                `${method} ${path} HTTP/1.1`,
                `Host: ${clientHost}`,
                `Request-Id: ${id}`,
                `Deadline-Ms: ${deadlineMs}`,
                ...headers,
                ...(body === undefined ? [] : [`Content-Length: ${body.length}`]),
                "",
                "",
            ].join("\r\n"),
        ),
        body ?? Buffer.alloc(0),
    ]);

const parseHead = text => {
    const [statusLine, ...lines] = text.split("\r\n");
    const headers = new Map(
        lines.map(line => {
            const colonAt = line.indexOf(":");
            return [line.slice(0, colonAt).toLowerCase(), line.slice(colonAt + 1).trim()];
        }),
    );
    return { statusCode: Number(statusLine.split(" ")[1]), headers };
};

/**
 * Opens a connection. `responses` holds one entry for each response whose head has arrived, in order; `isWhole` is set once
 * its body has ended as HTTP says: by its length, its last chunk, or, without both, by an ordinary end of the connection.
 */
export const connect = port =>
    new Promise((resolve, reject) => {
        const socket = net.connect({ host, port });
        const responses = [];
        let pending = Buffer.alloc(0);
        let current;
        let wake = () => undefined;
        const connection = {
            socket,
            responses,
            /** "end" for an ordinary end, otherwise the error's code; undefined while it is open. */
            closedBy: undefined,
            send: bytes => socket.write(bytes),
            /** Waits until a condition holds, the connection has closed, or the time is up. */
            waitFor: async (condition, timeoutMs) => {
                const untilMs = performance.now() + timeoutMs;
                while (!condition() && connection.closedBy === undefined && performance.now() < untilMs) {
                    await new Promise(resolveWait => {
                        const timer = globalThis.setTimeout(resolveWait, Math.min(50, untilMs - performance.now()));
                        wake = () => {
                            globalThis.clearTimeout(timer);
                            resolveWait();
                        };
                    });
                }
                return condition();
            },
        };

        const finish = () => {
            current.isWhole = true;
            current = undefined;
        };
        const parseChunks = () => {
            for (;;) {
                const lineEnd = pending.indexOf("\r\n");
                if (lineEnd < 0) {
                    return;
                }
                const size = Number.parseInt(pending.toString("latin1", 0, lineEnd), 16);
                if (pending.length < lineEnd + 2 + size + 2) {
                    return;
                }
                current.bodyBytes += size;
                current.body.push(pending.subarray(lineEnd + 2, lineEnd + 2 + size));
                pending = pending.subarray(lineEnd + 2 + size + 2);
                if (size === 0) {
                    finish();
                    return;
                }
            }
        };
        const parse = () => {
            for (;;) {
                if (current === undefined) {
                    const at = pending.indexOf(headEnd);
                    if (at < 0) {
                        return;
                    }
                    const head = parseHead(pending.toString("latin1", 0, at));
                    pending = pending.subarray(at + headEnd.length);
                    const length = head.headers.get("content-length");
                    current = {
                        ...head,
                        atMs: performance.now(),
                        length: length === undefined ? undefined : Number(length),
                        isChunked: head.headers.get("transfer-encoding") === "chunked",
                        bodyBytes: 0,
                        body: [],
                        isWhole: false,
                    };
                    responses.push(current);
                }
                if (current.isChunked) {
                    parseChunks();
                } else {
                    const wanted = Math.min(pending.length, (current.length ?? Infinity) - current.bodyBytes);
                    current.bodyBytes += wanted;
                    current.body.push(pending.subarray(0, wanted));
                    pending = pending.subarray(wanted);
                    if (current.bodyBytes === current.length) {
                        finish();
                    }
                }
                if (current !== undefined || pending.length === 0) {
                    return;
                }
            }
        };

        socket.setNoDelay(true);
        socket.on("data", bytes => {
            pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
            parse();
            wake();
        });
        socket.once("end", () => {
            // Node.js may report a reset that arrives together with data as an ordinary end; such a socket has no peer.
            connection.closedBy ??= socket.remoteAddress === undefined ? "reset" : "end";
            const isOpenEnded = current !== undefined && current.length === undefined && !current.isChunked;
            if (isOpenEnded && connection.closedBy === "end") {
                finish();
            }
            wake();
        });
        socket.on("error", error => {
            connection.closedBy ??= error.code ?? error.message;
            wake();
            reject(error);
        });
        socket.once("connect", () => resolve(connection));
    });

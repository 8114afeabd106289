/**
 * A link between a client and the entry daemon: a proxy that delays both directions and bounds the bandwidth towards the
 * client. What it has not read yet stays in the sockets of the daemon.
 */
import * as net from "node:net";
import { performance } from "node:perf_hooks";
import { clearInterval, setInterval, setTimeout } from "node:timers";

const host = "127.0.0.1";
const tickMs = 2;

const carry = (client, { port, delayMs, bytesPerMs }) => {
    const daemon = net.connect({ host, port, allowHalfOpen: true });
    const later = action => void setTimeout(action, delayMs);
    client.setNoDelay(true);
    daemon.setNoDelay(true);
    client.on("data", bytes => later(() => !daemon.destroyed && daemon.write(bytes)));
    client.on("error", () => daemon.destroy());
    client.on("close", () => daemon.destroy());
    // Reads from the daemon's connection at the pace of the link.
    let readAtMs = performance.now();
    daemon.pause();
    const timer = setInterval(() => {
        const nowMs = performance.now();
        const budget = Math.floor((nowMs - readAtMs) * bytesPerMs);
        const bytes = daemon.read(Math.min(budget, daemon.readableLength) || undefined);
        readAtMs = nowMs;
        if (bytes !== null) {
            later(() => !client.destroyed && client.write(bytes));
        }
    }, tickMs);
    daemon.on("readable", () => undefined);
    daemon.on("end", () => later(() => client.end()));
    daemon.on("error", () => later(() => client.resetAndDestroy()));
    daemon.on("close", () => clearInterval(timer));
};

/** Starts a link to a port; returns its own port. */
export const startLink = options =>
    new Promise(resolve => {
        const server = net.createServer({ allowHalfOpen: true }, client => carry(client, options));
        server.listen(0, host, () => resolve({ port: server.address().port, close: () => server.close() }));
    });

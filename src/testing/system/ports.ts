/**
 * Allocates free ports on loopback.
 */
import * as crypto from "node:crypto";
import * as net from "node:net";

// Below the ephemeral port range of Linux (from 32768), so that no outgoing connection takes a free port before the
// process that is to use it has started.
const firstPort = 20_000;
const portsPerBlock = 100;
const blockCount = 120;
/** The process that listens on the lock port of a block is the only one on the machine that uses the block. */
const firstLockPort = 19_000;
const maxAttempts = 1_000;

const listen = (port: number): Promise<net.Server | undefined> =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(undefined));
        server.listen({ host: "127.0.0.1", port }, () => resolve(server));
    });

const canListen = async (port: number): Promise<boolean> => {
    const server = await listen(port);
    await new Promise(resolve => (server === undefined ? resolve(undefined) : server.close(resolve)));
    return server !== undefined;
};

/** Ports in the blocks of this process that are not allocated yet. */
const freePorts: number[] = [];

/** Without separate blocks, two tests that check the same port at the same time would both take it. */
const acquireBlock = async (): Promise<void> => {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const block = crypto.randomInt(blockCount);
        const server = await listen(firstLockPort + block);
        if (server !== undefined) {
            server.unref();
            const first = firstPort + block * portsPerBlock;
            freePorts.push(...Array.from({ length: portsPerBlock }, (_, index) => first + index));
            return;
        }
    }
    throw new Error("found no free block of ports");
};

let pendingAcquisition: Promise<void> | undefined;

/**
 * Acquires a free port. This process never allocates it again, and no other process does while this one runs.
 *
 * @returns the port
 */
export const acquirePort = async (): Promise<number> => {
    for (;;) {
        if (freePorts.length === 0) {
            // Concurrent callers share one acquisition.
            pendingAcquisition ??= acquireBlock().finally(() => (pendingAcquisition = undefined));
            await pendingAcquisition;
        }
        const port = freePorts.shift();
        if (port !== undefined && (await canListen(port))) {
            return port;
        }
    }
};

/**
 * Acquires a free address on loopback.
 *
 * @returns `127.0.0.1:port`
 */
export const acquireAddress = async (): Promise<string> => `127.0.0.1:${await acquirePort()}`;

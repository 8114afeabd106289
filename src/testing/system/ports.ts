/**
 * Free ports on loopback.
 */
import * as crypto from "node:crypto";
import * as net from "node:net";

// Below the range that Linux uses for outgoing connections (from 32768), so that a port which is free now is not taken
// by a connection before the process that gets the port has started.
const firstPort = 20_000;
const portsPerBlock = 100;
const blocks = 120;
/** A process that listens on the port of a block has the block to itself, also from other test processes. */
const firstBlockPort = 19_000;
const maxTries = 1_000;

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

/** Ports of the blocks of this process that were not given out yet. */
const free: number[] = [];

/** Two tests that check the same random port at the same time would both take it, so each has blocks of its own. */
const acquireBlock = async (): Promise<void> => {
    for (let tries = 0; tries < maxTries; tries++) {
        const block = crypto.randomInt(blocks);
        const server = await listen(firstBlockPort + block);
        if (server !== undefined) {
            server.unref();
            const first = firstPort + block * portsPerBlock;
            free.push(...Array.from({ length: portsPerBlock }, (_, index) => first + index));
            return;
        }
    }
    throw new Error("all blocks of ports are in use");
};

let acquiring: Promise<void> | undefined;

/**
 * Acquires a free port. This process does not give it out again, and no other one does while this process runs.
 *
 * @returns the port
 */
export const acquirePort = async (): Promise<number> => {
    for (;;) {
        if (free.length === 0) {
            // Callers at the same time share a block.
            acquiring ??= acquireBlock().finally(() => (acquiring = undefined));
            await acquiring;
        }
        const port = free.shift();
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

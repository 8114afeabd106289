/**
 * Free ports on loopback.
 */
import * as crypto from "node:crypto";
import * as net from "node:net";

// Below the range that Linux uses for outgoing connections (from 32768), so that a port which is free now is not taken
// by a connection before the process that gets the port has started.
const firstPort = 20_000;
const endPort = 32_000;
const maxTries = 100;

const given = new Set<number>();

const canListen = (port: number): Promise<boolean> =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen({ host: "127.0.0.1", port }, () => server.close(() => resolve(true)));
    });

/**
 * Acquires a free port. This process does not give it out again.
 *
 * @returns the port
 */
export const acquirePort = async (): Promise<number> => {
    for (let tries = 0; tries < maxTries; tries++) {
        const port = crypto.randomInt(firstPort, endPort);
        if (!given.has(port) && (await canListen(port))) {
            given.add(port);
            return port;
        }
    }
    throw new Error(`no free port from ${firstPort} to ${endPort - 1}`);
};

/**
 * Acquires a free address on loopback.
 *
 * @returns `127.0.0.1:port`
 */
export const acquireAddress = async (): Promise<string> => `127.0.0.1:${await acquirePort()}`;

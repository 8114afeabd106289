/**
 * A frontend server in tests, and clients that send raw bytes.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as bodyBudget from "../../common/routes/bodyBudget.js";
import * as frontendServer from "../../node/routes/frontendServer.js";
import * as unreadableRequests from "../../node/routes/unreadableRequests.js";
import * as systemScheduler from "../../node/systemScheduler.js";
import * as ports from "../system/ports.js";
import * as fixture from "./fixture.js";

const scheduler = systemScheduler.createSystemScheduler({ keepAlive: false });

/** Creates a response with a whole body. */
export const createResponse = (text: string, isDelimited = true): frontendServer.ClientResponse => ({
    statusCode: 200,
    headers: ["x-own", "1"],
    body: { kind: "whole", bytes: Buffer.from(text) },
    isDelimited,
});

/** Options of a server that no test brings to its limits of memory and connections. */
export const createUnlimitedBodies = () => ({
    budget: bodyBudget.createBodyBudget({
        clock: scheduler,
        memoryBytes: 1024 ** 3,
        getMaxBodyBytes: () => Infinity,
        getLongestTimeoutMs: () => Infinity,
    }),
    maxConnections: 1_000,
    recordRefusedBody: () => undefined,
    recordExcessConnection: () => undefined,
    recordCutOff: () => undefined,
    recordUnclosed: () => undefined,
    mayBegin: () => true,
});

/**
 * Starts a server.
 *
 * @param handle - handles the requests
 * @param limits - limits that differ from those of the fixture
 * @param options - other options that differ
 * @returns the server, its address, what it recorded, and a function that connects a client
 */
export const startServer = async (
    handle: frontendServer.FrontendOptions["handle"],
    limits: Partial<ReturnType<typeof fixture.createConfiguration>["limits"]> = {},
    options: Partial<frontendServer.FrontendOptions> = {},
) => {
    const address = ids.toAddress(await ports.acquireAddress());
    const errors: unknown[] = [];
    const unreadable: unreadableRequests.UnreadableRequest[] = [];
    const server = frontendServer.createFrontendServer({
        address,
        scheduler,
        ...createUnlimitedBodies(),
        getLimits: () => ({ ...fixture.createConfiguration(1).limits, ...limits }),
        handle,
        formatRefusal: (_headers, statusCode, reason) => ({ ...createResponse(reason), statusCode }),
        recordError: error => void errors.push(error),
        recordUnreadable: request => void unreadable.push(request),
        ...options,
    });
    await server.listen();
    const connect = (): {
        readonly socket: net.Socket;
        readonly read: () => string;
        readonly ended: Promise<unknown>;
    } => {
        const { host, port } = ids.splitAddress(address);
        const socket = net.connect({ host, port });
        let text = "";
        socket.on("data", chunk => (text += chunk.toString()));
        socket.on("error", () => undefined);
        return { socket, read: () => text, ended: new Promise(resolve => socket.once("close", resolve)) };
    };
    return { server, address, connect, errors, unreadable };
};

/** Waits for a duration in milliseconds. */
export const wait = (delayMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, delayMs));

/** Waits until a condition holds. */
export const waitFor = async (isTrue: () => boolean): Promise<void> => {
    while (!isTrue()) {
        await wait(5);
    }
};

/** Formats a request without a body; further header lines end in line breaks. */
export const formatRequest = (path: string, more = ""): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n${more}\r\n`;

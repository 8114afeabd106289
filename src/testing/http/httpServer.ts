/**
 * HTTP servers of the stand-ins, on loopback.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as types from "../../common/Types.js";
import * as ids from "../../common/ids.js";

export type Handler = (request: http.IncomingMessage, response: http.ServerResponse) => Promise<void>;

export interface RunningServer {
    readonly address: types.Address;
    readonly url: string;
    /** Closes all connections and the listening socket. */
    close(): Promise<void>;
}

export interface ServerOptions {
    /** `ip:port`; port 0 picks a free one. */
    readonly listen?: string;
    readonly onConnection?: (socket: net.Socket) => void;
}

/**
 * Waits until a server listens.
 *
 * @param server - the server
 * @param listen - `ip:port`
 * @returns the address it listens on
 */
export const waitForListening = (server: net.Server, listen: string): Promise<types.Address> =>
    new Promise((resolve, reject) => {
        const { host, port } = ids.splitAddress(listen);
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, () => {
            const bound = server.address() as net.AddressInfo;
            resolve(ids.toAddress(`${bound.family === "IPv6" ? `[${bound.address}]` : bound.address}:${bound.port}`));
        });
    });

/**
 * Starts an HTTP server.
 *
 * @param handler - handles a request; if it throws, the answer is 500
 * @param options - where to listen
 * @returns the running server
 */
export const startHttpServer = async (handler: Handler, options: ServerOptions = {}): Promise<RunningServer> => {
    const server = http.createServer({ keepAliveTimeout: 0 }, (request, response) => {
        handler(request, response).catch((error: unknown) => {
            if (response.headersSent) {
                response.destroy();
                return;
            }
            sendJson(response, 500, { kind: "failed", message: String(error) });
        });
    });
    if (options.onConnection !== undefined) {
        server.on("connection", options.onConnection);
    }
    const address = await waitForListening(server, options.listen ?? "127.0.0.1:0");
    return {
        address,
        url: `http://${address}`,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};

/**
 * Reads a whole body.
 *
 * @param stream - a request or response
 * @returns the bytes
 */
export const readBody = async (stream: AsyncIterable<Uint8Array>): Promise<Buffer> => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/**
 * Reads a JSON body.
 *
 * @param stream - a request or response
 * @returns the value, not checked further; an empty body is `{}`
 */
export const readJson = async <T>(stream: AsyncIterable<Uint8Array>): Promise<T> => {
    const body = await readBody(stream);
    return JSON.parse(body.length === 0 ? "{}" : body.toString("utf8")) as T;
};

/**
 * Sends a JSON answer.
 *
 * @param response - the response to write
 * @param status - HTTP status
 * @param value - the body
 */
export const sendJson = (response: http.ServerResponse, status: number, value: unknown): void => {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    response.end(body);
};

/**
 * Waits for a time.
 *
 * @param durationMs - how long
 */
export const waitMs = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/**
 * Reads the clock that all processes of one machine share, for histories of several processes.
 *
 * @returns monotonic milliseconds since the machine started
 */
export const readMachineClockMs = (): number => Number(process.hrtime.bigint()) / 1e6;

/**
 * HTTP server for the stand-ins, with helpers for bodies and time.
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
    /** `ip:port`; port 0 selects a free port. */
    readonly listen?: string;
    readonly onConnection?: (socket: net.Socket) => void;
}

/**
 * Starts listening and waits until the server is bound.
 *
 * @param server - the server
 * @param listen - `ip:port`
 * @returns the bound address
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
 * @param handler - handles a request; if it rejects, the response is 500
 * @param options - address and connection listener
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
 * Reads a complete body.
 *
 * @param stream - a request or response
 * @returns the body
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
 * @returns the parsed value, without validation; `{}` for an empty body
 */
export const readJson = async <T>(stream: AsyncIterable<Uint8Array>): Promise<T> => {
    const body = await readBody(stream);
    return JSON.parse(body.length === 0 ? "{}" : body.toString("utf8")) as T;
};

/**
 * Sends a JSON response.
 *
 * @param response - the response to write
 * @param status - HTTP status
 * @param value - value to send as the body
 */
export const sendJson = (response: http.ServerResponse, status: number, value: unknown): void => {
    const body = Buffer.from(JSON.stringify(value));
    response.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    response.end(body);
};

/**
 * Waits for a duration.
 *
 * @param durationMs - duration in milliseconds
 */
export const waitMs = (durationMs: number): Promise<void> => new Promise(resolve => setTimeout(resolve, durationMs));

/**
 * Reads the monotonic clock that all processes of a machine share, so that their histories can be merged.
 *
 * @returns milliseconds since the machine started
 */
export const readMachineClockMs = (): number => Number(process.hrtime.bigint()) / 1e6;

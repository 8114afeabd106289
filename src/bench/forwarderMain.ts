/**
 * Minimal HTTP forwarder built on `http` and `undici`: a lower bound for the cost of a proxy on Node.js.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as streams from "node:stream/promises";
import * as commander from "commander";
import * as undici from "undici";

const callPrefix = /^\/call\/[^/]+/;
const maxConnections = 200;

const connectionHeaders = new Set(["connection", "keep-alive", "transfer-encoding", "host"]);

const toHeaders = (headers: http.IncomingHttpHeaders): Record<string, string | string[]> =>
    Object.fromEntries(
        Object.entries(headers).filter(
            (entry): entry is [string, string | string[]] => entry[1] !== undefined && !connectionHeaders.has(entry[0]),
        ),
    );

const startForwarder = (target: string): http.Server => {
    const pool = new undici.Pool(`http://${target}`, { connections: maxConnections });

    const forward = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const { headers } = request;
        const hasBody = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
        const targetResponse = await pool.request({
            method: request.method as undici.Dispatcher.HttpMethod,
            path: (request.url ?? "/").replace(callPrefix, ""),
            headers: toHeaders(headers),
            body: hasBody ? request : null,
        });
        response.writeHead(targetResponse.statusCode, toHeaders(targetResponse.headers));
        await streams.pipeline(targetResponse.body, response);
    };

    return http.createServer((request, response) => {
        forward(request, response).catch(() => response.destroy());
    });
};

const run = (options: { readonly target: string }): void => {
    const server = startForwarder(options.target);
    server.listen(0, "127.0.0.1", () => {
        const { port } = server.address() as net.AddressInfo;
        process.stdout.write(`${JSON.stringify({ kind: "ready", addresses: { forwarder: `127.0.0.1:${port}` } })}\n`);
    });
    process.once("SIGTERM", () => process.exit(0));
};

await new commander.Command("forwarder").requiredOption("--target <address>").action(run).parseAsync();

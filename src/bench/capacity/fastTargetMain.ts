/**
 * Targets that respond immediately, so that they do not limit measurements of the daemon.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as commander from "commander";

const body = Buffer.from("ok\n");

const handleRequest = (request: http.IncomingMessage, response: http.ServerResponse): void => {
    request.resume();
    const attempt = request.headers["tarragon-attempt-id"];
    response.writeHead(200, {
        "content-length": body.length,
        "tarragon-target-state": "warm",
        "tarragon-target-busy": "0",
        "tarragon-target-boot": "boot-1",
        ...(attempt === undefined ? {} : { "tarragon-attempt-id": attempt }),
    });
    response.end(body);
};

const startServer = (): Promise<string> =>
    new Promise(resolve => {
        const server = http.createServer({ keepAliveTimeout: 0 }, handleRequest);
        server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${(server.address() as net.AddressInfo).port}`));
    });

const run = async (options: { readonly count: string }): Promise<void> => {
    const started = await Promise.all(Array.from({ length: Number(options.count) }, startServer));
    const addresses = Object.fromEntries(started.map((address, index) => [String(index), address]));
    process.stdout.write(`${JSON.stringify({ kind: "ready", addresses })}\n`);
    process.once("SIGTERM", () => process.exit(0));
};

await new commander.Command("fast-targets").requiredOption("--count <number>").action(run).parseAsync();

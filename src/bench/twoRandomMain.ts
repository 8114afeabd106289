/**
 * Alternative (a) of section 2.1 of the design: a router that picks two random targets and sends to the one with fewer
 * calls in flight from this router. A refused call is retried at another target.
 */
import * as fs from "node:fs/promises";
import * as http from "node:http";
import * as commander from "commander";
import * as undici from "undici";
import * as random from "../common/random.js";
import * as httpServer from "../testing/http/httpServer.js";

interface RouterFile {
    /** Target addresses by service. */
    readonly services: Readonly<Record<string, readonly string[]>>;
    /** Addresses of all routers, this router's own first. */
    readonly routers: readonly string[];
    readonly zone: string;
    readonly seed: number;
}

const callPattern = /^\/call\/([^/]+)(\/.*)$/;
const maxAttempts = 4;
const maxConnections = 200;
const lookupTtlMs = 60_000;

const connectionHeaders = new Set(["connection", "keep-alive", "transfer-encoding", "host"]);

const toHeaders = (headers: http.IncomingHttpHeaders): Record<string, string | string[]> =>
    Object.fromEntries(
        Object.entries(headers).filter(
            (entry): entry is [string, string | string[]] => entry[1] !== undefined && !connectionHeaders.has(entry[0]),
        ),
    );

const createRouter = (file: RouterFile): httpServer.Handler => {
    const agent = new undici.Agent({ connections: maxConnections });
    const generator = random.createRandom(file.seed);
    const inFlight = new Map<string, number>();
    const getLoad = (address: string): number => inFlight.get(address) ?? 0;

    const pickTarget = (addresses: readonly string[]): string => {
        const left = addresses[generator.nextInt(addresses.length)] ?? "";
        const right = addresses[generator.nextInt(addresses.length)] ?? "";
        return getLoad(left) <= getLoad(right) ? left : right;
    };

    const sendOnce = async (address: string, path: string, request: http.IncomingMessage, body: Buffer) => {
        inFlight.set(address, getLoad(address) + 1);
        try {
            const targetResponse = await undici.request(`http://${address}${path}`, {
                method: request.method as undici.Dispatcher.HttpMethod,
                headers: toHeaders(request.headers),
                body: body.length === 0 ? null : body,
                dispatcher: agent,
            });
            const content = await httpServer.readBody(targetResponse.body);
            return {
                status: targetResponse.statusCode,
                outcome: targetResponse.headers["tarragon-outcome"] ?? "ran",
                content,
            };
        } finally {
            inFlight.set(address, getLoad(address) - 1);
        }
    };

    const handleCall = async (
        request: http.IncomingMessage,
        response: http.ServerResponse,
        service: string,
        path: string,
    ): Promise<void> => {
        const body = await httpServer.readBody(request);
        const addresses = file.services[service] ?? [];
        for (let attempt = 1; ; attempt++) {
            const targetResponse = await sendOnce(pickTarget(addresses), path, request, body);
            if (targetResponse.outcome === "not-run" && attempt < maxAttempts) {
                continue;
            }
            const error = targetResponse.outcome === "not-run" ? { "tarragon-error": "target_refused" } : {};
            response.writeHead(targetResponse.status, { "tarragon-outcome": targetResponse.outcome, ...error });
            response.end(targetResponse.content);
            return;
        }
    };

    return async (request, response) => {
        const match = callPattern.exec(request.url ?? "");
        if (match !== null) {
            await handleCall(request, response, match[1] ?? "", match[2] ?? "/");
            return;
        }
        const entries = file.routers.map(address => ({ vm: address, address, zone: file.zone, keyPrefix: "a.1." }));
        httpServer.sendJson(response, 200, { service: "", revision: 1, ttlMs: lookupTtlMs, entries });
    };
};

const run = async (options: { readonly file: string; readonly listen: string }): Promise<void> => {
    const file = JSON.parse(await fs.readFile(options.file, "utf8")) as RouterFile;
    const server = await httpServer.startHttpServer(createRouter(file), { listen: options.listen });
    process.stdout.write(`${JSON.stringify({ kind: "ready", addresses: { router: server.address } })}\n`);
    process.once("SIGTERM", () => process.exit(0));
};

await new commander.Command("two-random")
    .requiredOption("--file <path>")
    .requiredOption("--listen <address>")
    .action(run)
    .parseAsync();

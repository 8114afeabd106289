/**
 * Alternative (a) of section 2.1 of the design: a router that sends to any target, picking the less loaded of two random
 * ones by its own calls in flight. A refusal is tried again at another target.
 */
import * as fs from "node:fs/promises";
import * as http from "node:http";
import * as commander from "commander";
import * as undici from "undici";
import * as random from "../common/random.js";
import * as httpServer from "../testing/http/httpServer.js";

interface RouterFile {
    /** Addresses of targets by service. */
    readonly services: Readonly<Record<string, readonly string[]>>;
    /** Own address first. */
    readonly routers: readonly string[];
    readonly zone: string;
    readonly seed: number;
}

const callPattern = /^\/call\/([^/]+)(\/.*)$/;
const maxTries = 4;
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
            const answer = await undici.request(`http://${address}${path}`, {
                method: request.method as undici.Dispatcher.HttpMethod,
                headers: toHeaders(request.headers),
                body: body.length === 0 ? null : body,
                dispatcher: agent,
            });
            const content = await httpServer.readBody(answer.body);
            return { status: answer.statusCode, outcome: answer.headers["tarragon-outcome"] ?? "ran", content };
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
        for (let tries = 1; ; tries++) {
            const answer = await sendOnce(pickTarget(addresses), path, request, body);
            if (answer.outcome === "not-run" && tries < maxTries) {
                continue;
            }
            const error = answer.outcome === "not-run" ? { "tarragon-error": "target_refused" } : {};
            response.writeHead(answer.status, { "tarragon-outcome": answer.outcome, ...error });
            response.end(answer.content);
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

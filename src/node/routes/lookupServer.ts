/**
 * Serves the platform's readiness checks and the clients' lookups of active VMs.
 */
import * as http from "node:http";
import type * as net from "node:net";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/**
 * Clients repeat the lookup after this time, which delays a request by a round trip (docs/platform.md, "Active VMs").
 */
export const lookupLifetimeMs = 3_000;
/** A VM that has just started may know no other VM yet, and would direct clients to itself for the whole lifetime. */
const startupLifetimeMs = 500;
const startupMs = 2_000;

export interface LookupServerOptions {
    readonly address: shared.Address;
    readonly dialect: types.LookupDialect;
    getLifetimeMs(): number;
    isReady(): boolean;
    pickActiveAddresses(lookup: types.LookupRequest): readonly shared.Address[];
    /** Called with an error that no other handler expects; it ends the request. */
    recordError(error: unknown): void;
    watchSocket?(socket: net.Socket): void;
}

/**
 * Computes how long clients may keep a lookup response.
 *
 * @param uptimeMs - time since the start of this process, in milliseconds
 * @param longestMs - longest lifetime that the platform allows, in milliseconds
 * @returns the lifetime in milliseconds
 */
export const computeLifetimeMs = (uptimeMs: number, longestMs: number): number =>
    Math.min(uptimeMs < startupMs ? startupLifetimeMs : lookupLifetimeMs, longestMs);

/**
 * Creates the server.
 *
 * @param options - address and the source of the responses
 * @returns resolves when the server listens; disposing the result closes it
 */
export const listenForLookups = (options: LookupServerOptions): Promise<shared.Disposable> => {
    const { dialect } = options;

    const respondToLookup = (lookup: types.LookupRequest, response: http.ServerResponse): void => {
        const addresses = options.pickActiveAddresses(lookup);
        if (addresses.length === 0) {
            response.writeHead(503).end();
            return;
        }
        const body = dialect.formatLookup(addresses, options.getLifetimeMs());
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    };

    const respond = (request: http.IncomingMessage, response: http.ServerResponse): void => {
        const url = request.url ?? "/";
        const lookup = dialect.parseLookup(url);
        if (lookup !== undefined) {
            respondToLookup(lookup, response);
        } else if (url.startsWith(dialect.readinessPath)) {
            response.writeHead(options.isReady() ? 200 : 503).end();
        } else {
            response.writeHead(404).end();
        }
    };

    const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
        request.resume();
        try {
            respond(request, response);
        } catch (error) {
            options.recordError(error);
            if (!response.headersSent) {
                response.writeHead(500);
            }
            response.end();
        }
    });
    server.on("connection", socket => options.watchSocket?.(socket));
    const { host, port } = ids.splitAddress(options.address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port, backlog: 1024 }, () =>
            resolve({
                dispose: () => {
                    server.close();
                    server.closeAllConnections();
                },
            }),
        );
    });
};

/**
 * Listens on several addresses.
 *
 * @param addresses - the addresses, which may be equal; undefined ones are left out
 * @param options - the source of the responses
 */
export const listenOnAddresses = async (
    addresses: readonly (shared.Address | undefined)[],
    options: Omit<LookupServerOptions, "address">,
): Promise<void> => {
    for (const address of new Set(addresses)) {
        if (address !== undefined) {
            await listenForLookups({ ...options, address });
        }
    }
};

/**
 * Answers the platform's question whether this VM is ready, and the clients' question which VMs to use.
 */
import * as http from "node:http";
import * as ids from "../../common/ids.js";
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

/** Clients ask again after this time, which delays their next request by a round trip (docs/platform.md, "Fronts"). */
export const lookupLifetimeMs = 3_000;

export interface LookupServerOptions {
    readonly address: shared.Address;
    readonly dialect: types.LookupDialect;
    getLifetimeMs(): number;
    isReady(): boolean;
    pickFronts(question: types.LookupQuestion): readonly shared.Address[];
}

/**
 * Creates the server.
 *
 * @param options - address and what to answer
 * @returns starts to listen; disposing the result closes the server
 */
export const listenForLookups = (options: LookupServerOptions): Promise<shared.Disposable> => {
    const { dialect } = options;

    const answerLookup = (question: types.LookupQuestion, response: http.ServerResponse): void => {
        const addresses = options.pickFronts(question);
        if (addresses.length === 0) {
            response.writeHead(503).end();
            return;
        }
        const body = dialect.formatLookup(addresses, options.getLifetimeMs());
        response.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) });
        response.end(body);
    };

    const server = http.createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
        request.resume();
        const url = request.url ?? "/";
        const question = dialect.parseLookup(url);
        if (question !== undefined) {
            answerLookup(question, response);
        } else if (url.startsWith(dialect.readinessPath)) {
            response.writeHead(options.isReady() ? 200 : 503).end();
        } else {
            response.writeHead(404).end();
        }
    });
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

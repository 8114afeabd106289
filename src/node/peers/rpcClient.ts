/**
 * RPC client for other entry daemons: JSON-RPC 2.0 over HTTP/1.1 with keep-alive.
 */
import * as jsonRpc from "json-rpc-2.0";
import * as undici from "undici";
import * as shared from "../../common/Types.js";
import * as errorText from "../../common/errors/errorText.js";
import * as types from "./Types.js";

interface Destination {
    readonly control: shared.Address;
    readonly timeoutMs: number;
}

/** Two connections, so that a slow `config.getSections` does not block gossip. */
const connectionsPerPeer = 2;

/** About the longest interval between two random pulls from the same peer in a group of about 50 daemons. */
const keepAliveTimeoutMs = 30_000;

/** Limits the response to `config.getSections`; a whole configuration of the target size is about 110 KB. */
const maxResponseBytes = 16 * 1024 * 1024;

const toMessage = (error: unknown): string => {
    const message = errorText.toErrorText(error);
    return message === "" ? "unknown cause" : message;
};

/**
 * Creates the client. A call fails at its timeout, and the connection of a timed-out call is closed.
 *
 * @returns the client; `close` closes all connections
 */
export const createRpcClient = (): types.RpcClient => {
    const agent = new undici.Agent({
        connections: connectionsPerPeer,
        keepAliveTimeout: keepAliveTimeoutMs,
        maxResponseSize: maxResponseBytes,
    });

    const send = async (request: jsonRpc.JSONRPCRequest, destination: Destination): Promise<void> => {
        const response = await undici.request(`http://${destination.control}/rpc`, {
            dispatcher: agent,
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify(request),
            signal: AbortSignal.timeout(destination.timeoutMs),
        });
        if (response.statusCode !== 200) {
            await response.body.dump();
            throw new Error(`HTTP status ${response.statusCode}`);
        }
        const rpcResponse: unknown = await response.body.json();
        if (!jsonRpc.isJSONRPCResponse(rpcResponse) || rpcResponse.id !== request.id) {
            throw new Error("the response does not match the request");
        }
        client.receive(rpcResponse);
    };

    const client = new jsonRpc.JSONRPCClient<Destination>(send);

    return {
        call: async (control, method, params, timeoutMs) => {
            try {
                const result: unknown = await client.request(method, params, { control, timeoutMs });
                return { kind: "answered", result: result as types.RpcMethods[typeof method]["result"] };
            } catch (error) {
                return { kind: "failed", cause: toMessage(error) };
            }
        },
        close: () => agent.destroy(),
    };
};

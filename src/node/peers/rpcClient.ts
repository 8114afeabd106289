/**
 * Calls to other entry daemons: JSON-RPC 2.0 over HTTP/1.1 with kept connections.
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

/** Two connections let a slow `config.getSections` run beside gossip. */
const connectionsPerPeer = 2;

/** About the longest interval at which a daemon meets the same peer by chance in a group of about 50. */
const keepAliveMs = 30_000;

/** Bounds the answer to `config.getSections`; a whole configuration is about 110 KB at the target size. */
const maxAnswerBytes = 16 * 1024 * 1024;

const toMessage = (error: unknown): string => {
    const message = errorText.toErrorText(error);
    return message === "" ? "unknown cause" : message;
};

/**
 * Creates the client. A call ends with its timeout, and a connection that missed one is closed.
 *
 * @returns the client; `close` ends all connections
 */
export const createRpcClient = (): types.RpcClient => {
    const agent = new undici.Agent({
        connections: connectionsPerPeer,
        keepAliveTimeout: keepAliveMs,
        maxResponseSize: maxAnswerBytes,
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
        const answer: unknown = await response.body.json();
        if (!jsonRpc.isJSONRPCResponse(answer) || answer.id !== request.id) {
            throw new Error("the answer does not belong to the request");
        }
        client.receive(answer);
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

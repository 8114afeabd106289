/**
 * Placeholder until the JSON-RPC client exists.
 */
import * as peers from "./Types.js";

/**
 * Creates a client that calls other entry daemons.
 *
 * @returns the client
 */
export const createRpcClient = (): peers.RpcClient => {
    throw new Error("not implemented");
};

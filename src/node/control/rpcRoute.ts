/**
 * Handles `POST /rpc` on the control port.
 */
import type * as http from "node:http";
import * as peers from "../peers/Types.js";

/** Larger than any message of the protocol; the largest has a head and its changed sections. */
const maxBodyBytes = 4 * 1024 * 1024;

const readBodyText = async (request: http.IncomingMessage): Promise<string | undefined> => {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request) {
        size += (chunk as Buffer).length;
        if (size > maxBodyBytes) {
            return undefined;
        }
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};

/**
 * Creates the handler of JSON-RPC requests.
 *
 * @param rpcServer - dispatches the requests
 * @returns the handler
 */
export const createRpcRoute =
    (rpcServer: peers.RpcServer) =>
    async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
        const body = await readBodyText(request);
        if (body === undefined) {
            response.writeHead(413, { connection: "close" });
            response.end();
            return;
        }
        const responseText = await rpcServer.receive(body);
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(responseText),
        });
        response.end(responseText);
    };

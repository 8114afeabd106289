/**
 * Sends responses to clients.
 */
import type * as http from "node:http";
import * as frontendServer from "./frontendServer.js";
import * as responseBodies from "./responseBodies.js";

const writeHead = (
    serverResponse: http.ServerResponse,
    response: frontendServer.ClientResponse,
    decideClose: () => boolean,
): void => {
    const { body } = response;
    const headers = [...response.headers];
    const bodyBytes = body.kind === "whole" ? body.bytes.length : body.bodyBytes;
    if (!response.isDelimited) {
        serverResponse.useChunkedEncodingByDefault = false;
    } else if (bodyBytes !== undefined) {
        headers.push("Content-Length", String(bodyBytes));
    }
    if (decideClose()) {
        headers.push("Connection", "close");
    }
    serverResponse.writeHead(response.statusCode, headers);
};

/**
 * Sends a response.
 *
 * @param serverResponse - where it is written
 * @param response - the response
 * @param client - decides when the head is written whether the connection closes after the response; its signal is aborted
 *     when the client leaves
 * @returns resolves when it was handed over to the connection or has been cut off; rejects if the head cannot be written
 */
export const sendResponse = async (
    serverResponse: http.ServerResponse,
    response: frontendServer.ClientResponse,
    client: { readonly signal: AbortSignal; decideClose(): boolean },
): Promise<void> => {
    const { body } = response;
    const { signal } = client;
    if (serverResponse.destroyed || serverResponse.headersSent) {
        responseBodies.destroyBody(body);
        return;
    }
    try {
        writeHead(serverResponse, response, client.decideClose);
    } catch (error) {
        responseBodies.destroyBody(body);
        throw error;
    }
    switch (body.kind) {
        case "whole":
            await responseBodies.sendBytes(serverResponse, body.bytes, signal);
            return;
        case "stream":
            await responseBodies.sendStream(serverResponse, body.stream, response.isDelimited, signal);
    }
};

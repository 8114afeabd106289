/**
 * Reads the bodies of clients' requests.
 */
import type * as http from "node:http";
import * as joinedBytes from "../../common/joinedBytes.js";

/** A body may have this many pieces, each the data of a chunk or of a segment, ... */
const maxPieces = 4 * 1024;
/** ... and one more for each of so many bytes. */
const bytesPerPiece = 16;

export type RequestBody =
    | { readonly kind: "whole"; readonly body: Buffer }
    /** The body cannot be read as HTTP. */
    | { readonly kind: "malformed" }
    | { readonly kind: "too-large" }
    /** The client disconnected in the middle of its request, so that no response can be sent. */
    | { readonly kind: "aborted" };

export interface BodyReader {
    readonly result: Promise<RequestBody>;
    /** Ends the reading, as the bytes that follow cannot be read. */
    abortMalformed(): void;
}

/**
 * Starts to read a body.
 *
 * @param request - the request
 * @param maxBytes - size from which on the body is too large
 * @param handleTooLarge - called while the bytes are parsed; what follows belongs to no request
 * @returns the reader
 */
export const startReading = (
    request: http.IncomingMessage,
    maxBytes: number,
    handleTooLarge: () => void,
): BodyReader => {
    const received = joinedBytes.createJoinedBytes();
    let pieces = 0;
    let resolveResult: (result: RequestBody) => void = () => undefined;
    const result = new Promise<RequestBody>(resolve => (resolveResult = resolve));

    const finish = (body: RequestBody): void => {
        request.off("data", handleData);
        received.drop();
        resolveResult(body);
    };
    const handleData = (chunk: Buffer): void => {
        received.add(chunk);
        if (received.count() > maxBytes || ++pieces > maxPieces + received.count() / bytesPerPiece) {
            handleTooLarge();
            finish({ kind: "too-large" });
        }
    };
    request.on("data", handleData);
    request.once("end", () =>
        finish(request.complete ? { kind: "whole", body: received.take() } : { kind: "aborted" }),
    );
    request.once("error", () => finish({ kind: "aborted" }));
    request.once("close", () => finish({ kind: "aborted" }));
    return { result, abortMalformed: () => finish({ kind: "malformed" }) };
};

/**
 * Reads the bodies of clients' requests.
 */
import type * as http from "node:http";
import * as growingBytes from "../../common/growingBytes.js";
import * as bodyBudget from "../../common/routes/bodyBudget.js";
import * as shared from "../../common/Types.js";
import * as clientReading from "./clientReading.js";

/** A body may have this many pieces, each the data of a chunk or of a segment, ... */
const maxPieces = 4 * 1024;
/** ... and one more for each of so many bytes. */
const bytesPerPiece = 16;
/** The bytes that a body of unknown length asks for grow by this factor. */
const growthFactor = 2;
const budgetCheckIntervalMs = 100;

export type RequestBody =
    | { readonly kind: "whole"; readonly body: Buffer }
    /** The body cannot be read as HTTP. */
    | { readonly kind: "malformed" }
    | { readonly kind: "too-large" }
    /** The budget of all bodies has no room for it, or no more time. */
    | { readonly kind: "refused"; readonly refusal: bodyBudget.BodyRefusal }
    /** The VM drains, and would not complete the request. */
    | { readonly kind: "draining" }
    /** The client disconnected in the middle of its request, so that no response can be sent. */
    | { readonly kind: "aborted" };

export interface BodyReader {
    readonly result: Promise<RequestBody>;
    /** Ends the reading, as the bytes that follow cannot be read. */
    abortMalformed(): void;
    /** Ends the reading, as the VM drains and would not complete the request. */
    abortDraining(): void;
    /** Gives the bytes of the body back to the budget; called once the request has ended. */
    release(): void;
}

/** What the bodies of all connections are held in. */
export interface BodyStore extends shared.Disposable {
    readonly budget: bodyBudget.BodyBudget;
}

/**
 * Creates the store of a server.
 *
 * @param budget - its budget, which is checked from now on
 * @returns the store
 */
export const createBodyStore = (budget: bodyBudget.BodyBudget): BodyStore => {
    const timer = setInterval(budget.check, budgetCheckIntervalMs).unref();
    return { budget, dispose: () => clearInterval(timer) };
};

export interface BodyOptions {
    /** Size from which on the body is too large. */
    readonly maxBytes: number;
    readonly store: BodyStore;
    /** Reading of the connection. */
    readonly reading: clientReading.ClientReading;
    /** Called while the bytes are parsed, once the rest of the body is not wanted; what follows belongs to no request. */
    handleUnwanted(): void;
}

/** Reads the length that a request announces; undefined if there is none. The HTTP parser has checked it. */
const readLength = (request: http.IncomingMessage): number | undefined => {
    const { "content-length": length, "transfer-encoding": encoding } = request.headers;
    return length === undefined && encoding === undefined ? 0 : length === undefined ? undefined : Number(length);
};

/**
 * Starts to read a body, once the budget has room for it.
 *
 * @param request - the request
 * @param options - limit, budget and connection
 * @returns the reader
 */
export const startReading = (request: http.IncomingMessage, options: BodyOptions): BodyReader => {
    const { maxBytes, store, reading } = options;
    const announced = readLength(request);
    const received = growingBytes.createGrowingBytes(announced);
    let pieces = 0;
    let reserved = 0;
    let hasEnded = false;
    let resolveResult: (result: RequestBody) => void = () => undefined;
    const result = new Promise<RequestBody>(resolve => (resolveResult = resolve));
    const hold = store.budget.begin({
        handleGrant: () => reading.setBlocked(false),
        handleRefusal: refusal => {
            options.handleUnwanted();
            finish({ kind: "refused", refusal });
        },
    });

    const finish = (body: RequestBody): void => {
        if (hasEnded) {
            return;
        }
        hasEnded = true;
        request.off("data", handleData);
        received.drop();
        if (body.kind === "whole") {
            hold.recordWhole();
        } else {
            hold.release();
            // What has been parsed and not been delivered is dropped.
            request.resume();
        }
        reading.setBlocked(false);
        resolveResult(body);
    };
    const refuseTooLarge = (): void => {
        options.handleUnwanted();
        finish({ kind: "too-large" });
    };
    const reserve = (bytes: number): void => {
        reserved = Math.min(bytes, maxBytes);
        if (!hold.request(reserved) && !hasEnded) {
            reading.setBlocked(true);
        }
    };
    const handleData = (chunk: Buffer): void => {
        const count = received.count() + chunk.length;
        if (count > maxBytes || ++pieces > maxPieces + count / bytesPerPiece) {
            refuseTooLarge();
            return;
        }
        received.add(chunk);
        hold.recordReceived(count);
        if (announced === undefined && reserved < maxBytes && count > reserved - bodyBudget.overshootBytes) {
            reserve(reserved * growthFactor);
        }
    };
    request.once("end", () =>
        finish(request.complete ? { kind: "whole", body: received.take() } : { kind: "aborted" }),
    );
    request.once("error", () => finish({ kind: "aborted" }));
    request.once("close", () => finish({ kind: "aborted" }));
    if (announced !== undefined && announced > maxBytes) {
        refuseTooLarge();
    } else {
        request.on("data", handleData);
        reserve(announced ?? bodyBudget.smallBodyBytes);
    }
    return {
        result,
        abortMalformed: () => finish({ kind: "malformed" }),
        abortDraining: () => {
            if (!hasEnded) {
                options.handleUnwanted();
                finish({ kind: "draining" });
            }
        },
        release: hold.release,
    };
};

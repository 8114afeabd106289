/**
 * Writes the response of a call to its caller.
 */
import type * as http from "node:http";
import * as errorTable from "../../common/errors/errorTable.js";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

export interface ResponseWriterOptions {
    readonly response: http.ServerResponse;
    readonly entry: shared.VmId;
    readonly requestId: shared.CallId;
    /** Addresses of other entry VMs that the caller may try after an error. */
    listOtherAddresses(): readonly shared.Address[];
    /** Whether to close the connection after the response, so that callers move to other entry VMs. */
    isClosing(): boolean;
}

const statusesWithOtherAddresses = new Set([502, 503, 504]);

/**
 * Creates the response writer of a call.
 *
 * @param options - the HTTP response, and values for the headers of all responses
 * @returns the writer
 */
export const createResponseWriter = (options: ResponseWriterOptions): types.ResponseWriter => {
    const { response } = options;
    const didDisconnect = events.createEmitter<void>();
    let hasBegun = false;
    let hasEnded = false;
    let isDisconnected = false;

    response.on("close", () => {
        if (!hasEnded) {
            isDisconnected = true;
            didDisconnect.fire();
        }
        didDisconnect.dispose();
    });
    // `close` reports that the caller has disconnected; without a listener the error would end the process.
    response.on("error", () => undefined);

    const writeHead = (status: number, extra: http.OutgoingHttpHeaders): void => {
        hasBegun = true;
        response.writeHead(status, {
            [headers.headerNames.entry]: options.entry,
            ...extra,
            [headers.headerNames.requestId]: options.requestId,
            ...(options.isClosing() ? { connection: "close" } : {}),
        });
    };

    const writeResponse = (status: number, extra: http.OutgoingHttpHeaders, body: Uint8Array | string): void => {
        writeHead(status, { ...extra, "content-length": Buffer.byteLength(body) });
        hasEnded = true;
        response.end(body);
    };

    const isOpen = (): boolean => !hasBegun && !isDisconnected;

    return {
        isOpen,
        begin: (status, extra) => {
            if (!isOpen()) {
                return { write: () => true, onDrain: resume => resume() };
            }
            writeHead(status, extra);
            return {
                write: chunk => isDisconnected || response.write(chunk),
                onDrain: resume => {
                    response.once("drain", resume);
                    response.once("close", resume);
                },
            };
        },
        finish: () => {
            if (isDisconnected || hasEnded) {
                return;
            }
            hasEnded = true;
            response.end();
        },
        abort: () => {
            hasEnded = true;
            response.destroy();
        },
        refuse: (kind, message) => {
            if (!isOpen()) {
                return;
            }
            const rule = errorTable.errorTable[kind];
            const entries = statusesWithOtherAddresses.has(rule.status) ? options.listOtherAddresses() : undefined;
            const body = {
                kind,
                outcome: rule.outcome,
                message,
                advice: rule.advice,
                requestId: options.requestId,
                entries,
            };
            const extra = {
                "content-type": "application/json",
                [headers.headerNames.outcome]: rule.outcome,
                [headers.headerNames.error]: kind,
            };
            writeResponse(rule.status, extra, `${JSON.stringify(body)}\n`);
        },
        replay: keptResponse => {
            if (!isOpen()) {
                return;
            }
            const extra: http.OutgoingHttpHeaders = {
                ...Object.fromEntries(keptResponse.headers),
                [headers.headerNames.outcome]: "ran",
                [headers.headerNames.replayed]: "true",
            };
            writeResponse(keptResponse.status, extra, keptResponse.body ?? "");
        },
        onDidDisconnect: didDisconnect.event,
    };
};

/**
 * Writes the answer of a call to its caller.
 */
import type * as http from "node:http";
import * as errorTable from "../../common/errors/errorTable.js";
import * as events from "../../common/events.js";
import * as shared from "../../common/Types.js";
import * as headers from "./headers.js";
import * as types from "./Types.js";

export interface AnswerPortOptions {
    readonly response: http.ServerResponse;
    readonly entry: shared.VmId;
    readonly requestId: shared.CallId;
    /** Addresses that a refused caller may try instead. */
    listOtherAddresses(): readonly shared.Address[];
    /** Whether the connection is to be closed after the answer, so that callers move to other entry VMs. */
    mustClose(): boolean;
}

const statusesThatNameAddresses = new Set([502, 503, 504]);

/**
 * Creates the way back to a caller.
 *
 * @param options - the response and what all answers carry
 * @returns the port
 */
export const createAnswerPort = (options: AnswerPortOptions): types.AnswerPort => {
    const { response } = options;
    const didLeave = events.createEmitter<void>();
    let hasBegun = false;
    let hasEnded = false;
    let hasLeft = false;

    response.on("close", () => {
        if (!hasEnded) {
            hasLeft = true;
            didLeave.fire();
        }
        didLeave.dispose();
    });
    // A caller that leaves shows as `close`; without a listener the error would end the process.
    response.on("error", () => undefined);

    const writeHead = (status: number, extra: http.OutgoingHttpHeaders): void => {
        hasBegun = true;
        response.writeHead(status, {
            [headers.headerNames.entry]: options.entry,
            ...extra,
            [headers.headerNames.requestId]: options.requestId,
            ...(options.mustClose() ? { connection: "close" } : {}),
        });
    };

    const endWith = (status: number, extra: http.OutgoingHttpHeaders, body: Uint8Array | string): void => {
        writeHead(status, { ...extra, "content-length": Buffer.byteLength(body) });
        hasEnded = true;
        response.end(body);
    };

    const isOpen = (): boolean => !hasBegun && !hasLeft;

    return {
        isOpen,
        begin: (status, extra) => {
            if (!isOpen()) {
                return { write: () => true, onDrain: resume => resume() };
            }
            writeHead(status, extra);
            return {
                write: chunk => hasLeft || response.write(chunk),
                onDrain: resume => {
                    response.once("drain", resume);
                    response.once("close", resume);
                },
            };
        },
        end: () => {
            if (hasLeft || hasEnded) {
                return;
            }
            hasEnded = true;
            response.end();
        },
        cutOff: () => {
            hasEnded = true;
            response.destroy();
        },
        refuse: (kind, message) => {
            if (!isOpen()) {
                return;
            }
            const rule = errorTable.errorTable[kind];
            const entries = statusesThatNameAddresses.has(rule.status) ? options.listOtherAddresses() : undefined;
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
            endWith(rule.status, extra, `${JSON.stringify(body)}\n`);
        },
        replay: answer => {
            if (!isOpen()) {
                return;
            }
            const extra: http.OutgoingHttpHeaders = {
                ...Object.fromEntries(answer.headers),
                [headers.headerNames.outcome]: "ran",
                [headers.headerNames.replayed]: "true",
            };
            endWith(answer.status, extra, answer.body ?? "");
        },
        onDidLeave: didLeave.event,
    };
};

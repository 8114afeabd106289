/**
 * Serialised messages between entry VMs. A long one is compressed for the VMs that accept it, as bytes between zones are
 * paid for.
 */
import * as zlib from "node:zlib";
import * as jsonRpc from "json-rpc-2.0";

/** What a VM accepts from others; VMs of earlier versions say nothing and get what they have always got. */
export type PeerFeature = "deflate" | "differences";
export const ownFeatures: readonly PeerFeature[] = ["deflate", "differences"];

/** Notification that contains the compressed text of another one. */
const deflatedMethod = "peer.deflated";
/** A shorter message hardly shrinks, as its head and base64 take up what is saved. */
const minDeflatedBytes = 1_024;
/** Takes as long as level 1 and saves 5 % of its bytes; level 6 takes up to twice as long for 6 % less (trial, 26 to 41 KB). */
const deflateLevel = 3;

export interface PeerMessage {
    /** Returns the line without its end. */
    getText(): string;
    /** Returns the shortest line for a VM that accepts compressed ones. */
    getDeflatedText(): string;
}

/**
 * Creates a message that is serialised and compressed at most once, however many VMs get it.
 *
 * @param method - the notification's method
 * @param params - its parameters
 * @returns the message
 */
export const createMessage = (method: string, params: object): PeerMessage => {
    let text: string | undefined;
    let deflatedText: string | undefined;
    const getText = (): string => (text ??= JSON.stringify(jsonRpc.createJSONRPCNotification(method, params)));

    const encodeDeflated = (plain: string): string => {
        const data = zlib.deflateRawSync(plain, { level: deflateLevel }).toString("base64");
        const deflated = JSON.stringify(jsonRpc.createJSONRPCNotification(deflatedMethod, { data }));
        return deflated.length < plain.length ? deflated : plain;
    };

    return {
        getText,
        getDeflatedText: () =>
            (deflatedText ??= getText().length < minDeflatedBytes ? getText() : encodeDeflated(getText())),
    };
};

const readDeflatedData = (message: object): string | undefined => {
    if (!("method" in message) || !("params" in message)) {
        return undefined;
    }
    const { method, params } = message;
    const isDeflated = method === deflatedMethod && typeof params === "object" && params !== null && "data" in params;
    return isDeflated && typeof params.data === "string" ? params.data : undefined;
};

const parseObject = (text: string): object => {
    const value: unknown = JSON.parse(text);
    if (typeof value !== "object" || value === null) {
        throw new Error("not an object");
    }
    return value;
};

/**
 * Parses a line.
 *
 * @param line - the line without its end
 * @param maxBytes - longest text that a compressed line may have
 * @returns the notification, decompressed
 * @throws Error if the line is no JSON object, or its text cannot be decompressed or is too long
 */
export const parseLine = (line: string, maxBytes: number): object => {
    const message = parseObject(line);
    const data = readDeflatedData(message);
    if (data === undefined) {
        return message;
    }
    const text = zlib.inflateRawSync(Buffer.from(data, "base64"), { maxOutputLength: maxBytes }).toString("utf8");
    return parseObject(text);
};

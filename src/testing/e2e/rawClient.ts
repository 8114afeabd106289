/**
 * A client that writes raw bytes, for requests that no HTTP library would send.
 */
import * as net from "node:net";
import * as ids from "../../common/ids.js";

export interface RawResponse {
    /** 0 if the connection ended without a response. */
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
}

export interface RawClient {
    readonly write: (text: string | Buffer) => void;
    /** Resolves when one response is complete or the connection has ended. */
    readonly waitForResponse: () => Promise<RawResponse>;
    readonly waitForClose: () => Promise<void>;
    readonly destroy: () => void;
}

const noResponse: RawResponse = { status: 0, headers: {}, body: "" };

const parseHead = (head: string): Pick<RawResponse, "status" | "headers"> => {
    const [first = "", ...lines] = head.split("\r\n");
    const headers = lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    });
    return { status: Number(first.split(" ")[1] ?? 0), headers: Object.fromEntries(headers) as Record<string, string> };
};

/** Returns undefined while the response is incomplete. */
const parseResponse = (text: string, hasEnded: boolean): RawResponse | undefined => {
    const end = text.indexOf("\r\n\r\n");
    if (end < 0) {
        return hasEnded ? noResponse : undefined;
    }
    const head = parseHead(text.slice(0, end));
    const body = text.slice(end + 4);
    const length = head.headers["content-length"];
    const isComplete = length === undefined ? body.endsWith("0\r\n\r\n") : body.length >= Number(length);
    return isComplete || hasEnded ? { ...head, body } : undefined;
};

/**
 * Opens a connection.
 *
 * @param address - `ip:port`
 * @returns the client
 */
export const openRawClient = (address: string): RawClient => {
    const socket = net.connect(ids.splitAddress(address));
    let text = "";
    let hasEnded = false;
    const waiters = new Set<() => void>();
    const runWaiters = (): void => waiters.forEach(waiter => waiter());
    socket.on("data", (chunk: Buffer) => {
        text += chunk.toString("latin1");
        runWaiters();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => {
        hasEnded = true;
        runWaiters();
    });

    const waitUntil = <T>(read: () => T | undefined): Promise<T> =>
        new Promise(resolve => {
            const check = (): void => {
                const value = read();
                if (value !== undefined) {
                    waiters.delete(check);
                    resolve(value);
                }
            };
            waiters.add(check);
            check();
        });

    return {
        write: bytes => void socket.write(bytes),
        waitForResponse: () => waitUntil(() => parseResponse(text, hasEnded)),
        waitForClose: () => waitUntil(() => (hasEnded ? true : undefined)).then(() => undefined),
        destroy: () => void socket.destroy(),
    };
};

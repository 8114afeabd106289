/**
 * HTTP client of the platform's services. Section 6 of the design describes the protocol.
 */
import * as undici from "undici";
import * as errorText from "../../common/errors/errorText.js";
import * as types from "./Types.js";

const requestTimeoutMs = 2_000;
const maxConnections = 4;

interface PlatformResponse {
    readonly status: number;
    readonly text: string;
}

type SendResult =
    | { readonly kind: "response"; readonly response: PlatformResponse }
    | { readonly kind: "failed"; readonly maybeSent: boolean; readonly cause: string };

/** Codes of errors that occur before undici writes the first byte of the request. */
const notSentErrorCodes = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

const isNotSent = (error: unknown): boolean =>
    error instanceof Error && "code" in error && typeof error.code === "string" && notSentErrorCodes.has(error.code);

const formatListPath = (filter: types.VmFilter = {}): string => {
    const query = new URLSearchParams(Object.entries(filter) as [string, string][]).toString();
    return query === "" ? "/vms" : `/vms?${query}`;
};

/** A platform client that owns its connections. */
export interface PlatformClient extends types.Platform {
    close(): Promise<void>;
}

/**
 * Creates a client of the table service, the object store and the VM list.
 *
 * @param baseUrl - base URL of the services, for example `http://10.0.0.5:7000`
 * @returns the client
 */
export const createPlatformClient = (baseUrl: string): PlatformClient => {
    const pool = new undici.Pool(baseUrl, { connections: maxConnections, connect: { timeout: requestTimeoutMs } });

    const send = async (
        method: undici.Dispatcher.HttpMethod,
        path: string,
        body?: string,
        headers: Record<string, string> = {},
    ): Promise<SendResult> => {
        try {
            const response = await pool.request({
                method,
                path,
                headers: body === undefined ? headers : { ...headers, "content-type": "application/json" },
                body: body ?? null,
                signal: AbortSignal.timeout(requestTimeoutMs),
            });
            const text = await response.body.text();
            return { kind: "response", response: { status: response.statusCode, text } };
        } catch (error) {
            return { kind: "failed", maybeSent: !isNotSent(error), cause: errorText.toErrorText(error) };
        }
    };

    const toUnavailable = (result: SendResult): { readonly kind: "unavailable"; readonly cause: string } => ({
        kind: "unavailable",
        cause: result.kind === "failed" ? result.cause : `status ${result.response.status}`,
    });

    const toReadResult = (result: SendResult): types.ReadResult => {
        if (result.kind === "response" && result.response.status === 200) {
            return { kind: "found", row: JSON.parse(result.response.text) as types.Row };
        }
        if (result.kind === "response" && result.response.status === 404) {
            return { kind: "absent" };
        }
        return toUnavailable(result);
    };

    const table: types.TableService = {
        read: async key => toReadResult(await send("GET", `/rows/${encodeURIComponent(key)}`)),
        readIfChanged: async (key, version) => {
            const headers = { "if-none-match": `"${version}"` };
            const result = await send("GET", `/rows/${encodeURIComponent(key)}`, undefined, headers);
            const isUnchanged = result.kind === "response" && result.response.status === 304;
            return isUnchanged ? { kind: "unchanged" } : toReadResult(result);
        },
        scan: async prefix => {
            const result = await send("GET", `/rows?prefix=${encodeURIComponent(prefix)}`);
            if (result.kind === "response" && result.response.status === 200) {
                return { kind: "found", rows: (JSON.parse(result.response.text) as { rows: types.Row[] }).rows };
            }
            return toUnavailable(result);
        },
        transact: async (conditions, writes) => {
            const result = await send("POST", "/transact", JSON.stringify({ conditions, writes }));
            if (result.kind === "failed") {
                return result.maybeSent ? { kind: "unknown", cause: result.cause } : toUnavailable(result);
            }
            const { status, text } = result.response;
            if (status === 200) {
                return { kind: "committed" };
            }
            if (status === 409) {
                return { kind: "conflict", rows: (JSON.parse(text) as { rows: types.Row[] }).rows };
            }
            // 503 means refused before the transaction began; any other status leaves it open whether it was committed.
            return status === 503 ? toUnavailable(result) : { kind: "unknown", cause: `status ${status}` };
        },
    };

    const objects: types.ObjectStore = {
        get: async name => {
            const result = await send("GET", `/objects/${encodeURIComponent(name)}`);
            if (result.kind === "response" && result.response.status === 200) {
                return { kind: "found", content: result.response.text };
            }
            if (result.kind === "response" && result.response.status === 404) {
                return { kind: "absent" };
            }
            return toUnavailable(result);
        },
        put: async (name, content) => {
            const result = await send("PUT", `/objects/${encodeURIComponent(name)}`, content);
            const isStored =
                result.kind === "response" && (result.response.status === 200 || result.response.status === 204);
            return isStored ? { kind: "stored" } : toUnavailable(result);
        },
    };

    const vms: types.VmList = {
        list: async filter => {
            const result = await send("GET", formatListPath(filter));
            if (result.kind === "response" && result.response.status === 200) {
                return { kind: "found", vms: (JSON.parse(result.response.text) as { vms: types.ListedVm[] }).vms };
            }
            return toUnavailable(result);
        },
    };

    return { table, objects, vms, close: () => pool.destroy() };
};

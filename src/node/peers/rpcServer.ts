/**
 * RPC server: dispatches JSON-RPC requests from other daemons and from operators.
 */
import * as jsonRpc from "json-rpc-2.0";
import * as shared from "../../common/Types.js";
import * as parameters from "./parameters.js";
import * as types from "./Types.js";

/** Limits the work that one HTTP request can cause, in JSON-RPC requests. */
const maxBatchRequests = 16;

/** Error responses are created here because the library does not export the error types of its server. */
const formatError = (id: jsonRpc.JSONRPCID, code: number, message: string): string =>
    JSON.stringify(jsonRpc.createJSONRPCErrorResponse(id, code, message));

const parseBody = (body: string): unknown => {
    try {
        return JSON.parse(body);
    } catch {
        return undefined;
    }
};

const isObject = (value: unknown): boolean => typeof value === "object" && value !== null;

/** Checks for objects first, because the library's checks throw on null. */
const isRequest = (body: unknown): body is jsonRpc.JSONRPCRequest | jsonRpc.JSONRPCRequest[] => {
    if (Array.isArray(body)) {
        return body.length > 0 && body.every(isObject) && jsonRpc.isJSONRPCRequests(body);
    }
    return isObject(body) && jsonRpc.isJSONRPCRequest(body);
};

/**
 * Creates the server. A request that is malformed or whose handler fails receives a JSON-RPC error.
 *
 * @param logger - logs handler failures
 * @returns the server, without handlers
 */
export const createRpcServer = (logger: shared.Logger): types.RpcServer => {
    const server = new jsonRpc.JSONRPCServer({
        errorListener: (message, data) =>
            logger.warn("member: RPC request failed", {
                message,
                cause: data instanceof Error ? data.message : String(data),
            }),
    });
    const methods = new Set<string>();

    const addMethod = <M extends types.RpcMethod>(
        method: M,
        handler: (params: types.RpcMethods[M]["params"]) => Promise<types.RpcMethods[M]["result"]>,
    ): void => {
        if (methods.has(method)) {
            throw new Error(`method ${method} already has a handler`);
        }
        methods.add(method);
        server.addMethodAdvanced(method, async request => {
            const id = request.id ?? null;
            const parsed = parameters.parseParameters(method, request.params);
            if (parsed.kind === "invalid") {
                const code = jsonRpc.JSONRPCErrorCode.InvalidParams;
                return jsonRpc.createJSONRPCErrorResponse(id, code, parsed.message);
            }
            return jsonRpc.createJSONRPCSuccessResponse(id, await handler(parsed.params));
        });
    };

    // The library looks up methods in a plain object, where "constructor" would be found.
    server.applyMiddleware((next, request) =>
        methods.has(request.method)
            ? next(request, undefined)
            : Promise.resolve(jsonRpc.createMethodNotFoundResponse(request.id ?? null)),
    );

    return {
        addHandlers: handlers => {
            for (const method of Object.keys(handlers) as types.RpcMethod[]) {
                const handler = handlers[method];
                if (handler !== undefined) {
                    addMethod(method, handler as Parameters<typeof addMethod>[1]);
                }
            }
        },
        receive: async body => {
            const request = parseBody(body);
            if (request === undefined) {
                return formatError(null, jsonRpc.JSONRPCErrorCode.ParseError, "the body is not JSON");
            }
            if (!isRequest(request)) {
                return formatError(null, jsonRpc.JSONRPCErrorCode.InvalidRequest, "not a JSON-RPC 2.0 request");
            }
            if (Array.isArray(request) && request.length > maxBatchRequests) {
                const message = `more than ${maxBatchRequests} requests in one batch`;
                return formatError(null, jsonRpc.JSONRPCErrorCode.InvalidRequest, message);
            }
            const response = await server.receive(request as jsonRpc.JSONRPCRequest);
            return response === null ? "" : JSON.stringify(response);
        },
    };
};

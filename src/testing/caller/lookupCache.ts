/**
 * Caches lookup responses for their time to live.
 */
import * as undici from "undici";
import * as httpServer from "../http/httpServer.js";
import * as types from "./Types.js";

export interface LookupCache {
    /** Returns the cached response, or a new one if `mustRefresh` is set or the time to live has passed. */
    readonly get: (service: string, mustRefresh: boolean) => Promise<types.LookupResponse>;
}

const lookupTimeoutMs = 2000;

/**
 * Creates the cache of lookup responses of one caller.
 *
 * @param options - the caller's options
 * @param agent - the connections to use
 * @returns the cache
 */
export const createLookupCache = (options: types.CallerOptions, agent: undici.Dispatcher): LookupCache => {
    const cache = new Map<string, { readonly lookup: types.LookupResponse; readonly endsAtMs: number }>();
    const pending = new Map<string, Promise<types.LookupResponse>>();

    const fetchFrom = async (address: string, service: string): Promise<types.LookupResponse | undefined> => {
        try {
            const response = await undici.request(`http://${address}/lookup/${service}?zone=${options.zone}`, {
                dispatcher: agent,
                signal: AbortSignal.timeout(lookupTimeoutMs),
            });
            const lookup = (await response.body.json()) as types.LookupResponse;
            return response.statusCode === 200 && lookup.entries.length > 0 ? lookup : undefined;
        } catch {
            return undefined;
        }
    };

    const fetchFromAny = async (service: string): Promise<types.LookupResponse> => {
        for (const address of options.entries) {
            const sentAtMs = httpServer.readMachineClockMs();
            const lookup = await fetchFrom(address, service);
            if (lookup !== undefined) {
                cache.set(service, { lookup, endsAtMs: sentAtMs + lookup.ttlMs });
                return lookup;
            }
        }
        throw new Error(`no entry VM responded to the lookup of ${service}`);
    };

    return {
        get: (service, mustRefresh) => {
            const entry = cache.get(service);
            if (!mustRefresh && entry !== undefined && httpServer.readMachineClockMs() < entry.endsAtMs) {
                return Promise.resolve(entry.lookup);
            }
            const current = pending.get(service) ?? fetchFromAny(service).finally(() => pending.delete(service));
            pending.set(service, current);
            return current;
        },
    };
};

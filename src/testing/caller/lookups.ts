/**
 * Lookup answers, kept for their time to live.
 */
import * as undici from "undici";
import * as httpServer from "../http/httpServer.js";
import * as types from "./Types.js";

export interface Lookups {
    /** Returns the kept answer, or a new one if `isFresh` or the time to live has passed. */
    readonly get: (service: string, isFresh: boolean) => Promise<types.LookupAnswer>;
}

const lookupTimeoutMs = 2000;

/**
 * Creates the store of lookup answers of one caller.
 *
 * @param options - the caller's options
 * @param agent - the connections to use
 * @returns the store
 */
export const createLookups = (options: types.CallerOptions, agent: undici.Dispatcher): Lookups => {
    const kept = new Map<string, { readonly answer: types.LookupAnswer; readonly endsAtMs: number }>();
    const running = new Map<string, Promise<types.LookupAnswer>>();

    const fetchFrom = async (address: string, service: string): Promise<types.LookupAnswer | undefined> => {
        try {
            const response = await undici.request(`http://${address}/lookup/${service}?zone=${options.zone}`, {
                dispatcher: agent,
                signal: AbortSignal.timeout(lookupTimeoutMs),
            });
            const answer = (await response.body.json()) as types.LookupAnswer;
            return response.statusCode === 200 && answer.entries.length > 0 ? answer : undefined;
        } catch {
            return undefined;
        }
    };

    const fetchAny = async (service: string): Promise<types.LookupAnswer> => {
        for (const address of options.entries) {
            const sentAtMs = httpServer.readMachineClockMs();
            const answer = await fetchFrom(address, service);
            if (answer !== undefined) {
                kept.set(service, { answer, endsAtMs: sentAtMs + answer.ttlMs });
                return answer;
            }
        }
        throw new Error(`no entry VM answered the lookup of ${service}`);
    };

    return {
        get: (service, isFresh) => {
            const entry = kept.get(service);
            if (!isFresh && entry !== undefined && httpServer.readMachineClockMs() < entry.endsAtMs) {
                return Promise.resolve(entry.answer);
            }
            const current = running.get(service) ?? fetchAny(service).finally(() => running.delete(service));
            running.set(service, current);
            return current;
        },
    };
};

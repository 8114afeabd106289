/**
 * Stores traces of recent calls.
 */
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

interface TraceEntry {
    readonly atMs: number;
    readonly text: string;
}

const maxEntriesPerCall = 50;

/**
 * Creates a store for the traces of the most recent calls.
 *
 * @param clock - clock for the times of the entries
 * @param maxCalls - number of calls kept; the oldest is dropped first
 * @returns the store
 */
export const createTraceStore = (clock: shared.Clock, maxCalls: number): types.TraceStore => {
    const traces = new Map<shared.CallId, TraceEntry[]>();
    return {
        record: (call, text) => {
            let entries = traces.get(call);
            if (entries === undefined) {
                entries = [];
                traces.set(call, entries);
                if (traces.size > maxCalls) {
                    const oldest = traces.keys().next();
                    if (oldest.done !== true) {
                        traces.delete(oldest.value);
                    }
                }
            }
            if (entries.length < maxEntriesPerCall) {
                entries.push({ atMs: clock.now(), text });
            }
        },
        find: call => traces.get(call),
    };
};

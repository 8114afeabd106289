/**
 * History of recent calls.
 */
import * as shared from "../../common/Types.js";
import * as types from "./Types.js";

interface Step {
    readonly atMs: number;
    readonly text: string;
}

const maxSteps = 50;

/**
 * Creates a store of the newest calls.
 *
 * @param clock - time of the steps
 * @param maxCalls - calls kept; the oldest is dropped first
 * @returns the store
 */
export const createTraceStore = (clock: shared.Clock, maxCalls: number): types.TraceStore => {
    const traces = new Map<shared.CallId, Step[]>();
    return {
        record: (call, text) => {
            let steps = traces.get(call);
            if (steps === undefined) {
                steps = [];
                traces.set(call, steps);
                if (traces.size > maxCalls) {
                    const oldest = traces.keys().next();
                    if (oldest.done !== true) {
                        traces.delete(oldest.value);
                    }
                }
            }
            if (steps.length < maxSteps) {
                steps.push({ atMs: clock.now(), text });
            }
        },
        find: call => traces.get(call),
    };
};

/**
 * Delay of the event loop: by how much timers run late. While one callback is busy, no request is answered, refused or timed
 * out, and the other timers say nothing.
 */
import * as shared from "../../common/Types.js";

const loggedDelayMs = 400;
/** All timers that are due during a delay run late; the first of them is logged. */
const logIntervalMs = 1_000;

export interface LoopDelay {
    /** Records by how much a timer has run late, in milliseconds. */
    recordRun(latenessMs: number): void;
    /** Returns the longest delay since the last call, in milliseconds. */
    takeMaxMs(): number;
}

/**
 * Creates the record of a process whose event loop has not been delayed.
 *
 * @param logger - long delays are logged
 * @returns the record
 */
export const createLoopDelay = (logger: shared.Logger): LoopDelay => {
    let maxMs = 0;
    let loggedAtMs = -Infinity;
    return {
        recordRun: latenessMs => {
            maxMs = Math.max(maxMs, latenessMs);
            if (latenessMs >= loggedDelayMs && performance.now() - loggedAtMs >= logIntervalMs) {
                loggedAtMs = performance.now();
                logger.warn("life: event loop was delayed", { delayMs: Math.round(latenessMs) });
            }
        },
        takeMaxMs: () => {
            const takenMs = maxMs;
            maxMs = 0;
            return takenMs;
        },
    };
};

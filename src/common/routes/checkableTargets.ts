/**
 * Targets by which a VM checks its connectivity.
 */
import * as shared from "../Types.js";
import * as targetEntry from "./targetEntry.js";
import * as targetLimits from "./targetLimits.js";
import * as targetSet from "./targetSet.js";
import * as types from "./Types.js";

/**
 * Lists the targets that take requests and probes from this VM without a limit.
 *
 * @param options - the targets, their limits, and the clock
 * @returns the targets
 */
export const listCheckableTargets = (options: {
    readonly set: targetSet.TargetSet;
    readonly limits: Pick<targetLimits.TargetLimits, "check">;
    readonly clock: shared.Clock;
}): readonly types.Registration[] => {
    const nowMs = options.clock.now();
    return options.set
        .list()
        .filter(
            entry =>
                targetEntry.isServing(entry) &&
                !targetEntry.isPaused(entry, nowMs) &&
                entry.misdirectedUntilMs <= nowMs &&
                options.limits.check(entry.registration).kind === "unlimited",
        )
        .map(entry => entry.registration);
};

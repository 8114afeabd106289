/**
 * What targets say about themselves in their responses, apart from their load and limits: that they are leaving, or that
 * they want no requests from this VM for a while.
 */
import * as events from "../events.js";
import * as shared from "../Types.js";
import * as targetSet from "./targetSet.js";
import * as types from "./Types.js";

export interface TargetNotices {
    /**
     * Records what a response says about its target.
     *
     * @param registration - the target
     * @param notice - what it says
     */
    recordResponse(registration: types.Registration, notice: Omit<types.TargetNotice, "limit">): void;
    /**
     * Applies reports of peers.
     *
     * @param reports - runs of targets that are leaving
     * @returns those that were not known
     */
    applyLeaving(reports: readonly types.LeavingReport[]): readonly types.LeavingReport[];
    /** Targets that have said that they are leaving, for a peer that joins. */
    listLeaving(): readonly types.LeavingReport[];
    /** Number of registered targets that have said that they are leaving. */
    countLeaving(): number;
    /** Fires when a response has said that its target is leaving. */
    readonly onDidLeave: shared.Event<types.LeavingReport>;
}

/**
 * Creates the notices of a set of targets.
 *
 * @param options - the targets, clock, logger, and the callback for malformed pauses
 * @returns the notices
 */
export const createTargetNotices = (options: {
    readonly set: targetSet.TargetSet;
    readonly clock: shared.Clock;
    readonly logger: shared.Logger;
    handleMalformedPause(): void;
}): TargetNotices => {
    const { set, logger } = options;
    const leaveEmitter = events.createEmitter<types.LeavingReport>();

    const markLeaving = ({ target, startedAtMs }: types.LeavingReport): boolean => {
        const entry = set.findRun(target, startedAtMs);
        if (entry === undefined || entry.isLeaving) {
            return false;
        }
        entry.isLeaving = true;
        logger.info("target: says that it is leaving", { target, service: entry.registration.service });
        return true;
    };

    const recordPause = ({ id, startedAtMs }: types.Registration, pause: types.RequestedPause): void => {
        switch (pause.kind) {
            case "none":
                break;
            case "pause": {
                const entry = set.findRun(id, startedAtMs);
                if (entry !== undefined) {
                    entry.pausedUntilMs = Math.max(entry.pausedUntilMs, options.clock.now() + pause.forMs);
                    logger.info("target: asks for a pause", { target: id, forMs: Math.round(pause.forMs) });
                }
                break;
            }
            case "malformed":
                logger.warn("target: malformed pause ignored", { target: id, value: pause.text });
                options.handleMalformedPause();
                break;
        }
    };

    return {
        recordResponse: (registration, { pause, isLeaving }) => {
            const report = { target: registration.id, startedAtMs: registration.startedAtMs };
            const entry = set.findRun(registration.id, registration.startedAtMs);
            if (entry !== undefined) {
                entry.respondedAtMs = options.clock.now();
            }
            if (isLeaving && markLeaving(report)) {
                leaveEmitter.fire(report);
            }
            recordPause(registration, pause);
        },
        applyLeaving: reports => reports.filter(markLeaving),
        listLeaving: () =>
            set
                .listKnown()
                .filter(entry => entry.isLeaving)
                .map(({ registration }) => ({ target: registration.id, startedAtMs: registration.startedAtMs })),
        countLeaving: () => set.list().filter(entry => entry.isLeaving).length,
        onDidLeave: leaveEmitter.event,
    };
};

/**
 * What targets say about themselves in their responses, apart from their load and limits: that they are leaving.
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
 * @param options - the targets and the logger
 * @returns the notices
 */
export const createTargetNotices = (options: {
    readonly set: targetSet.TargetSet;
    readonly logger: shared.Logger;
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

    return {
        recordResponse: (registration, { isLeaving }) => {
            const report = { target: registration.id, startedAtMs: registration.startedAtMs };
            if (isLeaving && markLeaving(report)) {
                leaveEmitter.fire(report);
            }
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

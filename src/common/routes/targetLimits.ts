/**
 * Limits on their requests from all VMs together that targets name in their responses.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

/** A limit that a target has named. */
interface LimitEntry {
    readonly startedAtMs: number;
    readonly perSecond: number;
}

export interface TargetLimits {
    /** Records what a response of a target says about its limit. */
    recordResponse(registration: types.Registration, limit: types.NamedLimit): void;
    /** Limit of a target in requests per second; undefined if it has none. */
    getPerSecond(registration: types.Registration): number | undefined;
    /** Number of targets that have a limit. */
    count(): number;
    /** Forgets the targets that are not in use any more. */
    retainTargets(registrations: ReadonlyMap<shared.TargetId, types.Registration>): void;
}

export interface TargetLimitsOptions {
    readonly logger: shared.Logger;
    /** Called with each limit that has a malformed value. */
    handleMalformed(): void;
}

/**
 * Creates an empty set of limits.
 *
 * @param options - the logger, and the callback for malformed values
 * @returns the limits
 */
export const createTargetLimits = (options: TargetLimitsOptions): TargetLimits => {
    const { logger } = options;
    const entries = new Map<shared.TargetId, LimitEntry>();

    const getPerSecond = ({ id, startedAtMs }: types.Registration): number | undefined => {
        const entry = entries.get(id);
        return entry?.startedAtMs === startedAtMs ? entry.perSecond : undefined;
    };

    return {
        recordResponse: (registration, limit) => {
            const { id, service, startedAtMs } = registration;
            const known = getPerSecond(registration);
            switch (limit.kind) {
                case "limited":
                    if (known !== limit.perSecond) {
                        entries.set(id, { startedAtMs, perSecond: limit.perSecond });
                        logger.info("limit: named by a target", { target: id, service, perSecond: limit.perSecond });
                    }
                    break;
                case "none":
                    if (known !== undefined) {
                        entries.delete(id);
                        logger.info("limit: ended by a target", { target: id, service, perSecond: known });
                    }
                    break;
                case "malformed":
                    logger.warn("limit: malformed value ignored", { target: id, service, value: limit.text });
                    options.handleMalformed();
                    break;
            }
        },
        getPerSecond,
        count: () => entries.size,
        retainTargets: registrations => {
            for (const [id, entry] of entries) {
                if (registrations.get(id)?.startedAtMs !== entry.startedAtMs) {
                    entries.delete(id);
                }
            }
        },
    };
};

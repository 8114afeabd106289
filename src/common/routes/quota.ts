/**
 * Quotas of organisations over all VMs, and the parts into which the tolerance of a quota is divided. In any window an
 * organisation may run `windowMs` of its rate and its burst, and a tolerance, of which at most these parts are used:
 *
 * - `creditPart` by requests that are charged before the ledger knows of them,
 * - `maxHoldMs` of the rate by tokens that the ledger took before a window and that are used in it,
 * - `returnPart` by tokens that are returned to a bucket which was refilled in the meantime.
 */

export interface Quota {
    /** Requests per second over all VMs together. */
    readonly perSecond: number;
    readonly burst: number;
}

/** Bound that the platform sets for all quotas. */
export interface QuotaBounds {
    readonly quotaWindowMs: number;
    /** Share of the rate and the burst by which a window may exceed them. */
    readonly quotaOvershoot: number;
    /** Requests by which a window may exceed them in any case. */
    readonly quotaSlack: number;
}

export interface QuotaSettings {
    readonly windowMs: number;
    readonly overshoot: number;
    readonly slack: number;
    readonly creditPart: number;
    readonly returnPart: number;
    /** A granted token is used within this time after the VM has asked for it, or returned. */
    readonly maxHoldMs: number;
    /** How long credit is valid after the report that it answers, by the clock of the VM that has it. */
    readonly leaseMs: number;
}

/**
 * Bounds of the platform, and the division of the tolerance: 0.4 for credit, at most 0.3 for grants (150 ms are 0.03 of the
 * window's rate) and 0.2 for returned tokens.
 */
export const defaultSettings: QuotaSettings = {
    windowMs: 5_000,
    overshoot: 0.1,
    slack: 20,
    creditPart: 0.4,
    returnPart: 0.2,
    maxHoldMs: 150,
    leaseMs: 10_000,
};

/** Bounds of the platform, where its settings do not name them. */
export const defaultBounds: QuotaBounds = {
    quotaWindowMs: defaultSettings.windowMs,
    quotaOvershoot: defaultSettings.overshoot,
    quotaSlack: defaultSettings.slack,
};

/**
 * Converts the platform's bounds to settings, with the division of the tolerance.
 *
 * @param bounds - the bounds
 * @returns the settings
 */
export const toSettings = (bounds: QuotaBounds): QuotaSettings => ({
    ...defaultSettings,
    windowMs: bounds.quotaWindowMs,
    overshoot: bounds.quotaOvershoot,
    slack: bounds.quotaSlack,
});

const computeTolerance = ({ perSecond, burst }: Quota, settings: QuotaSettings): number =>
    ((perSecond * settings.windowMs) / 1_000 + burst) * settings.overshoot + settings.slack;

/**
 * Computes the requests that may run in a window.
 *
 * @param quota - the quota
 * @param settings - window and tolerance
 * @returns the bound over all VMs
 */
export const computeWindowBound = (quota: Quota, settings: QuotaSettings): number =>
    (quota.perSecond * settings.windowMs) / 1_000 + quota.burst + computeTolerance(quota, settings);

/**
 * Computes the credit of all VMs together.
 *
 * @param quota - the quota
 * @param settings - division of the tolerance
 * @returns the number of requests, with fractions
 */
export const computeCreditPool = (quota: Quota, settings: QuotaSettings): number =>
    computeTolerance(quota, settings) * settings.creditPart;

/**
 * Computes how long after it was taken a token may be returned. A bucket may have been refilled in that time, so that
 * the returned token adds to a full bucket's worth.
 *
 * @param quota - the quota
 * @param settings - division of the tolerance
 * @returns the time in milliseconds
 */
export const computeReturnMs = (quota: Quota, settings: QuotaSettings): number =>
    quota.perSecond > 0
        ? Math.min(
              settings.windowMs,
              (computeTolerance(quota, settings) * settings.returnPart * 1_000) / quota.perSecond,
          )
        : settings.windowMs;

/** Tokens that are given back, as nothing ran. */
export interface ReturnedTokens {
    /** Time at which the ledger took them, by the ledger's clock. */
    readonly takenAtMs: number;
    readonly count: number;
}

/** What a VM tells the ledger about an organisation; counts are cumulative within a session and never fall. */
export interface QuotaReport {
    /** Charges that were made without a grant. */
    readonly charged: number;
    /** The first charges, up to this one, are older than a window and need no token any more. */
    readonly expired: number;
    /** Grants that were received, and one for each request that waits. */
    readonly wanted: number;
    /** Tokens that are given back by this report. */
    readonly returned: readonly ReturnedTokens[];
}

/** What the ledger responds; counts are cumulative within a session and never fall. */
export interface QuotaAcknowledgement {
    /** The first charges, up to this one, have their tokens. */
    readonly settled: number;
    readonly granted: number;
    /** Part of the credit of all VMs that this VM may use; null while an earlier ledger's credit may be in use. */
    readonly creditShare: number | null;
    /** Time until the bucket has room, 0 if it has; null if this ledger has no part of the rate. */
    readonly roomInMs: number | null;
}

/** When a message was sent, for the judgement of its age by the VM that sent it. */
export interface AcknowledgementTimes {
    /** Time of the report that is answered, by the clock of the VM that sent it. */
    readonly reportedAtMs: number;
    /** Time at which the ledger took the tokens, by its own clock. */
    readonly takenAtMs: number;
}

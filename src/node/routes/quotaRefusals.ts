/**
 * Log lines of requests that were refused because of a quota: one for each, and regularly the organisations that were
 * refused most often.
 */
import * as shared from "../../common/Types.js";

const summaryIntervalMs = 5_000;
const maxListed = 10;

export interface QuotaCounts {
    readonly charged: number;
    readonly refused: number;
    readonly takenBack: number;
}

export interface QuotaRefusals extends shared.Disposable {
    record(refusal: shared.LogFields & { readonly organisation: shared.OrganisationName }): void;
}

/**
 * Creates the log of refusals.
 *
 * @param options - timers and the logger
 * @returns the log; nothing is scheduled without refusals
 */
export const createQuotaRefusals = (options: {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
}): QuotaRefusals => {
    const { scheduler, logger } = options;
    const counts = new Map<shared.OrganisationName, number>();
    let timer: shared.Disposable | undefined;

    const logSummary = (): void => {
        timer = undefined;
        const sorted = [...counts].sort(([, left], [, right]) => right - left);
        logger.warn("quota: organisations refused most often", {
            organisations: sorted
                .slice(0, maxListed)
                .map(([organisation, count]) => `${organisation}=${String(count)}`)
                .join(" "),
            organisationCount: sorted.length,
            refused: sorted.reduce((sum, [, count]) => sum + count, 0),
        });
        counts.clear();
    };

    return {
        record: refusal => {
            logger.warn("quota: request refused", refusal);
            counts.set(refusal.organisation, (counts.get(refusal.organisation) ?? 0) + 1);
            timer ??= scheduler.schedule(summaryIntervalMs, logSummary);
        },
        dispose: () => timer?.dispose(),
    };
};

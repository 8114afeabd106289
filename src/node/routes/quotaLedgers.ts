/**
 * The ledgers of all organisations on a VM that follows no hub. They settle the charges of this VM and of its followers.
 */
import * as quota from "../../common/routes/quota.js";
import * as quotaLedger from "../../common/routes/quotaLedger.js";
import * as quotaShare from "../../common/routes/quotaShare.js";
import * as repeat from "../../common/repeat.js";
import * as shared from "../../common/Types.js";
import * as quotaMessages from "./quotaMessages.js";

const settleIntervalMs = 100;
/**
 * A hub counts a lost VM until the heartbeats time out (1.2 s), and the VM may have left it at any time since its last one.
 * The interval is added, as a share that rises within one applies to all of it.
 */
const riseDelayMs = 1_200 + settleIntervalMs;
/** A VM that was paused for longer may have been left by its followers, which have another ledger since. */
const maxPauseMs = 800;

export type Quotas = ReadonlyMap<shared.OrganisationName, quota.Quota>;

export interface QuotaLedgers extends shared.Disposable {
    /** Applies changed quotas; a ledger that is new here begins with an empty bucket. */
    setQuotas(quotas: Quotas): void;
    /** Begins anew, as this VM has no hub any more. */
    restart(): void;
    /** This VM follows a hub, which has the ledgers. */
    stop(): void;
    receiveReport(
        id: string,
        report: quotaMessages.ReportMessage,
        send: (acknowledgement: quotaMessages.AcknowledgementMessage) => void,
    ): void;
    /** Forgets the debt of a VM that is no longer connected, but not its credit. */
    closeSession(id: string): void;
    /** Share of the quotas that is in force here; 0 on a follower. */
    getShare(): number;
}

export interface QuotaLedgersOptions {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly settings: quota.QuotaSettings;
    readonly knownVms: quotaShare.KnownVms;
    getShareView(): quotaShare.ShareView;
}

interface LedgerSession {
    readonly session: number;
    readonly reportedAtMs: number;
    readonly send: (acknowledgement: quotaMessages.AcknowledgementMessage) => void;
}

/**
 * Creates ledgers that are running, without quotas.
 *
 * @param options - timers, and this VM's view of the others
 * @returns the ledgers
 */
export const createQuotaLedgers = (options: QuotaLedgersOptions): QuotaLedgers => {
    const { scheduler, logger, settings } = options;
    const ledgers = new Map<shared.OrganisationName, quotaLedger.Ledger>();
    /** Organisations with charges that have no tokens yet. */
    const indebted = new Set<shared.OrganisationName>();
    const sessions = new Map<string, LedgerSession>();
    let quotas: Quotas = new Map();
    let history = quotaShare.createShareHistory(scheduler.now());
    /** Share that all ledgers were refilled with up to `updatedAtMs`. */
    let share = 0;
    let updatedAtMs = scheduler.now();
    let isRunning = true;
    let timer: shared.Disposable | undefined;

    const toTerms = (own: quota.Quota): quotaLedger.LedgerTerms => ({
        quota: own,
        settings,
        share,
        creditShare: quotaShare.computeDelayedShare(history, settings.leaseMs + riseDelayMs, scheduler.now()),
        nowMs: scheduler.now(),
    });

    /** Refills all buckets at the share and the quotas that were in force until now. */
    const refreshAll = (): void => {
        for (const [organisation, own] of quotas) {
            const ledger = ledgers.get(organisation) ?? quotaLedger.createLedger(scheduler.now());
            ledgers.set(organisation, quotaLedger.refreshLedger(ledger, toTerms(own)));
        }
    };

    const beginAnew = (): void => {
        const nowMs = scheduler.now();
        history = quotaShare.createShareHistory(nowMs);
        share = 0;
        updatedAtMs = nowMs;
        ledgers.forEach((ledger, organisation) => ledgers.set(organisation, quotaLedger.restartLedger(ledger, nowMs)));
    };

    /** Applies the current share; must come before each use of a ledger. */
    const updateShare = (): void => {
        const nowMs = scheduler.now();
        if (nowMs - updatedAtMs > maxPauseMs) {
            logger.warn("quota: paused, the buckets begin empty", { forMs: Math.round(nowMs - updatedAtMs) });
            beginAnew();
        }
        updatedAtMs = nowMs;
        const view = options.getShareView();
        const raw = options.knownVms.updateShare(view);
        history = quotaShare.addShare(history, raw, nowMs, settings.leaseMs + riseDelayMs);
        const isAtOnce = view.isFirstStart && raw > 0.5;
        const next = isAtOnce ? raw : quotaShare.computeDelayedShare(history, riseDelayMs, nowMs);
        if (next !== share) {
            refreshAll();
            logger.info("quota: share changed", { before: share, after: next });
            share = next;
            refreshAll();
        }
    };

    const sendAcknowledgements = (
        rows: ReadonlyMap<string, readonly (readonly [shared.OrganisationName, quota.QuotaAcknowledgement])[]>,
    ): void => {
        // Rounded down, so that tokens never seem to have been taken later than they were.
        const takenAtMs = Math.floor(scheduler.now());
        for (const [id, acknowledgements] of rows) {
            const target = sessions.get(id);
            target?.send({
                session: target.session,
                reportedAtMs: target.reportedAtMs,
                takenAtMs,
                rows: acknowledgements.map(row => quotaMessages.encodeAcknowledgement(...row)),
            });
        }
    };

    const setLedger = (organisation: shared.OrganisationName, ledger: quotaLedger.Ledger): void => {
        ledgers.set(organisation, ledger);
        if (quotaLedger.countDebt(ledger) > 0) {
            indebted.add(organisation);
        } else {
            indebted.delete(organisation);
        }
    };

    const settleDebts = (): void => {
        if (!isRunning) {
            return;
        }
        updateShare();
        const rows = new Map<string, (readonly [shared.OrganisationName, quota.QuotaAcknowledgement])[]>();
        for (const organisation of [...indebted]) {
            const [own, ledger] = [quotas.get(organisation), ledgers.get(organisation)];
            if (own === undefined || ledger === undefined) {
                indebted.delete(organisation);
                continue;
            }
            const step = quotaLedger.settleDebt(ledger, toTerms(own));
            setLedger(organisation, step.ledger);
            for (const [id, acknowledgement] of step.acknowledgements) {
                rows.set(id, [...(rows.get(id) ?? []), [organisation, acknowledgement]]);
            }
        }
        sendAcknowledgements(rows);
    };

    const closeAll = (): void => {
        sessions.clear();
        indebted.clear();
        ledgers.clear();
    };

    return {
        setQuotas: next => {
            if (timer === undefined && next.size > 0) {
                updatedAtMs = scheduler.now();
                timer = repeat.repeatAction(scheduler, settleIntervalMs, settleDebts);
            }
            refreshAll();
            quotas = next;
            refreshAll();
        },
        restart: () => {
            isRunning = true;
            closeAll();
            beginAnew();
            refreshAll();
        },
        stop: () => {
            isRunning = false;
            share = 0;
            closeAll();
        },
        receiveReport: (id, message, send) => {
            if (!isRunning || timer === undefined) {
                return;
            }
            updateShare();
            sessions.set(id, { session: message.session, reportedAtMs: message.atMs, send });
            const acknowledgements = message.rows.flatMap(row => {
                const [organisation] = row;
                const [own, ledger] = [quotas.get(organisation), ledgers.get(organisation)];
                if (own === undefined || ledger === undefined) {
                    return [];
                }
                const report = quotaMessages.decodeReport(row);
                const step = quotaLedger.applyReport(ledger, id, report, toTerms(own));
                setLedger(organisation, step.ledger);
                return [...step.acknowledgements.values()].map(value => [organisation, value] as const);
            });
            sendAcknowledgements(new Map([[id, acknowledgements]]));
        },
        closeSession: id => {
            sessions.delete(id);
            for (const [organisation, ledger] of ledgers) {
                if (ledger.sessions.has(id)) {
                    setLedger(organisation, quotaLedger.closeSession(ledger, id, scheduler.now()));
                }
            }
        },
        getShare: () => share,
        dispose: () => timer?.dispose(),
    };
};

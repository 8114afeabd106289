/**
 * Quotas of organisations over all VMs: charges requests to the accounts of this VM, and reports the charges to the ledger,
 * which the hub keeps, or this VM itself without one.
 */
import * as quota from "../../common/routes/quota.js";
import * as quotaAccount from "../../common/routes/quotaAccount.js";
import * as quotaShare from "../../common/routes/quotaShare.js";
import * as routes from "../../common/routes/Types.js";
import * as shared from "../../common/Types.js";
import * as quotaLedgers from "./quotaLedgers.js";
import * as quotaMessages from "./quotaMessages.js";
import * as quotaRefusals from "./quotaRefusals.js";
import * as quotaWaiters from "./quotaWaiters.js";

const reportDelayMs = 100;
/** While requests wait, or the credit may soon be used up. */
const urgentReportDelayMs = 20;
/** The room that a ledger expects changes with its share, which is small while VMs look for their hub. */
const maxExhaustedMs = 200;
/** Without a ledger in reach a VM finds its next hub within about this time. */
const unavailableRetryAfterMs = 500;
/** How long the view of the other VMs is cached; it is used for each report and each refusal. */
const viewCacheMs = 50;

/** A request that was charged, or that needs no charge. */
export interface Charge {
    readonly organisation: shared.OrganisationName;
    readonly charge: quotaAccount.Charge;
}

export type ChargeResult =
    /** `charge` is undefined if the organisation has no quota. */
    | { readonly kind: "charged"; readonly charge: Charge | undefined }
    /** Over the quota. */
    | { readonly kind: "exhausted"; readonly retryAfterMs: number }
    /** The VM can't charge it: no ledger in reach and no credit. */
    | { readonly kind: "unavailable"; readonly retryAfterMs: number };

export interface Quotas extends shared.Disposable {
    /** Charges a request; resolves at once if there is credit. */
    charge(
        organisation: shared.OrganisationName,
        request: { readonly id: string; readonly signal: AbortSignal },
    ): Promise<ChargeResult>;
    /** Takes a charge back, as the request has run nowhere. */
    takeBack(charge: Charge): void;
    setConfiguration(organisations: readonly routes.Organisation[]): void;
    /** This VM has joined a hub, or lost it. */
    handleHubChange(): void;
    receiveAcknowledgement(message: quotaMessages.AcknowledgementMessage): void;
    /** Ledgers of this VM, for its followers. */
    readonly ledgers: quotaLedgers.QuotaLedgers;
    getCounts(): quotaRefusals.QuotaCounts;
}

export interface QuotasOptions {
    readonly scheduler: shared.Scheduler;
    readonly logger: shared.Logger;
    readonly settings?: quota.QuotaSettings;
    hasHub(): boolean;
    sendReport(message: quotaMessages.ReportMessage): void;
    getShareView(): quotaShare.ShareView;
}

type Entry = quotaWaiters.AccountEntry<ChargeResult>;

/**
 * Creates quotas without organisations.
 *
 * @param options - timers and the way to the hub
 * @returns the quotas
 */
export const createQuotas = (options: QuotasOptions): Quotas => {
    const { scheduler, logger, settings = quota.defaultSettings } = options;
    const entries = new Map<shared.OrganisationName, Entry>();
    const changed = new Set<shared.OrganisationName>();
    const knownVms = quotaShare.createKnownVms(scheduler);
    let view: quotaShare.ShareView | undefined;
    let viewAtMs = -Infinity;
    const getShareView = (): quotaShare.ShareView => {
        if (view === undefined || scheduler.now() - viewAtMs >= viewCacheMs) {
            view = options.getShareView();
            viewAtMs = scheduler.now();
        }
        return view;
    };
    const ledgers = quotaLedgers.createQuotaLedgers({ scheduler, logger, settings, knownVms, getShareView });
    const refusals = quotaRefusals.createQuotaRefusals({ scheduler, logger });
    let quotas: quotaLedgers.Quotas = new Map();
    let session = 0;
    let counts: quotaRefusals.QuotaCounts = { charged: 0, refused: 0, takenBack: 0 };
    let timer: shared.Disposable | undefined;
    let reportAtMs = Infinity;

    const toTerms = (own: quota.Quota): quotaAccount.AccountTerms => ({ quota: own, settings, nowMs: scheduler.now() });

    const findEntry = (organisation: shared.OrganisationName): Entry => {
        const entry = entries.get(organisation) ?? quotaWaiters.createEntry<ChargeResult>(session);
        entries.set(organisation, entry);
        return entry;
    };

    /** The smaller of two delays counts. */
    const scheduleReport = (delayMs: number): void => {
        const atMs = scheduler.now() + delayMs;
        if (atMs < reportAtMs) {
            timer?.dispose();
            reportAtMs = atMs;
            timer = scheduler.schedule(delayMs, sendReport);
        }
    };

    const markChanged = (organisation: shared.OrganisationName, entry: Entry, own: quota.Quota): void => {
        changed.add(organisation);
        const { account } = entry;
        const terms = toTerms(own);
        const isUrgent =
            entry.waiters.length > 0 ||
            quotaAccount.countDebt(account, terms) * 2 > quotaAccount.computeCredit(account, terms);
        scheduleReport(isUrgent ? urgentReportDelayMs : reportDelayMs);
    };

    const sendReport = (): void => {
        timer?.dispose();
        timer = undefined;
        reportAtMs = Infinity;
        const rows = [...changed].flatMap(organisation => {
            const [entry, own] = [entries.get(organisation), quotas.get(organisation)];
            if (entry === undefined || own === undefined) {
                return [];
            }
            const step = quotaAccount.toReport(entry.account, entry.waiters.length, toTerms(own));
            entry.account = step.account;
            return [quotaMessages.encodeReport(organisation, step.report)];
        });
        changed.clear();
        if (rows.length === 0) {
            return;
        }
        // Rounded down, so that a report never seems to be younger than it is.
        const message = { session, atMs: Math.floor(scheduler.now()), rows };
        if (options.hasHub()) {
            options.sendReport(message);
        } else {
            ledgers.receiveReport(`own ${String(session)}`, message, receiveAcknowledgement);
        }
    };

    const charge = (organisation: shared.OrganisationName, own: quota.Quota): ChargeResult | undefined => {
        const entry = findEntry(organisation);
        const step = quotaAccount.chargeRequest(entry.account, toTerms(own));
        if (step === undefined) {
            return undefined;
        }
        entry.account = step.account;
        counts = { ...counts, charged: counts.charged + 1 };
        markChanged(organisation, entry, own);
        return { kind: "charged", charge: { organisation, charge: step.charge } };
    };

    const refuse = (
        organisation: shared.OrganisationName,
        id: string,
        own: quota.Quota,
        result: Exclude<ChargeResult, { readonly kind: "charged" }>,
    ): ChargeResult => {
        counts = { ...counts, refused: counts.refused + 1 };
        const { account } = findEntry(organisation);
        const { connected, reported, unreachedSeeds } = getShareView();
        refusals.record({
            organisation,
            request: id,
            kind: result.kind,
            retryAfterMs: Math.round(result.retryAfterMs),
            debt: quotaAccount.countDebt(account, toTerms(own)),
            credit: quotaAccount.computeCredit(account, toTerms(own)),
            connected: connected.length,
            known: new Set([...connected, ...reported]).size + unreachedSeeds,
            hasHub: options.hasHub(),
            ledgerShare: ledgers.getShare(),
        });
        return result;
    };

    const refuseWaiters = (
        organisation: shared.OrganisationName,
        own: quota.Quota,
        result: Exclude<ChargeResult, { readonly kind: "charged" }>,
        keptCount = 0,
    ): void => {
        const entry = findEntry(organisation);
        const refused = entry.waiters.slice(keptCount);
        entry.waiters = entry.waiters.slice(0, keptCount);
        refused.forEach(waiter => waiter.resolve(refuse(organisation, waiter.id, own, result)));
    };

    /** Charges requests that wait, in the order of their arrival, as far as grants and credit allow. */
    const chargeWaiters = (organisation: shared.OrganisationName, own: quota.Quota): void => {
        const entry = findEntry(organisation);
        for (let [first] = entry.waiters; first !== undefined; [first] = entry.waiters) {
            const result = charge(organisation, own);
            if (result === undefined) {
                return;
            }
            entry.waiters = entry.waiters.slice(1);
            first.resolve(result);
        }
    };

    const receiveAcknowledgement = (message: quotaMessages.AcknowledgementMessage): void => {
        if (message.session !== session) {
            return;
        }
        for (const row of message.rows) {
            const [organisation] = row;
            const [entry, own] = [entries.get(organisation), quotas.get(organisation)];
            if (entry === undefined || own === undefined) {
                continue;
            }
            const acknowledgement = quotaMessages.decodeAcknowledgement(row);
            entry.account = quotaAccount.applyAcknowledgement(entry.account, acknowledgement, message, toTerms(own));
            chargeWaiters(organisation, own);
            entry.account = quotaAccount.returnSpareGrants(entry.account);
            if (entry.account.returned.length > 0) {
                markChanged(organisation, entry, own);
            }
            const { roomInMs } = acknowledgement;
            if (roomInMs === null) {
                refuseWaiters(organisation, own, { kind: "unavailable", retryAfterMs: unavailableRetryAfterMs });
            } else if (roomInMs > 0) {
                entry.roomAtMs = scheduler.now() + roomInMs;
                entry.askAtMs = scheduler.now() + Math.min(roomInMs, maxExhaustedMs);
                const keptCount = quotaWaiters.countServable(roomInMs, own);
                refuseWaiters(organisation, own, { kind: "exhausted", retryAfterMs: roomInMs }, keptCount);
            } else {
                entry.askAtMs = -Infinity;
            }
            if (entry.waiters.length > 0) {
                changed.add(organisation);
                scheduleReport(Math.max(urgentReportDelayMs, roomInMs ?? 0));
            }
        }
    };

    const waitForGrant = (
        organisation: shared.OrganisationName,
        own: quota.Quota,
        { id, signal }: { readonly id: string; readonly signal: AbortSignal },
    ): Promise<ChargeResult> =>
        new Promise(resolve => {
            const entry = findEntry(organisation);
            const leave = (): void => {
                entry.waiters = entry.waiters.filter(other => other !== waiter);
                waiter.resolve({ kind: "unavailable", retryAfterMs: unavailableRetryAfterMs });
            };
            const timeout = scheduler.schedule(quotaWaiters.maxWaitMs, () => {
                const result = { kind: "unavailable", retryAfterMs: unavailableRetryAfterMs } as const;
                refuse(organisation, id, own, result);
                leave();
            });
            const waiter: quotaWaiters.Waiter<ChargeResult> = {
                id,
                resolve: result => {
                    timeout.dispose();
                    signal.removeEventListener("abort", leave);
                    resolve(result);
                },
            };
            signal.addEventListener("abort", leave);
            entry.waiters = [...entry.waiters, waiter];
            markChanged(organisation, entry, own);
        });

    return {
        charge: async (organisation, request) => {
            const own = quotas.get(organisation);
            if (own === undefined) {
                return { kind: "charged", charge: undefined };
            }
            if (own.perSecond <= 0 && own.burst <= 0) {
                return refuse(organisation, request.id, own, { kind: "exhausted", retryAfterMs: settings.windowMs });
            }
            const entry = findEntry(organisation);
            const charged = entry.waiters.length > 0 ? undefined : charge(organisation, own);
            if (charged !== undefined) {
                return charged;
            }
            const retryAfterMs = entry.roomAtMs - scheduler.now();
            return entry.askAtMs > scheduler.now()
                ? refuse(organisation, request.id, own, { kind: "exhausted", retryAfterMs })
                : waitForGrant(organisation, own, request);
        },
        takeBack: ({ organisation, charge: taken }) => {
            const [entry, own] = [entries.get(organisation), quotas.get(organisation)];
            counts = { ...counts, takenBack: counts.takenBack + 1 };
            if (entry !== undefined && own !== undefined) {
                entry.account = quotaAccount.takeBackCharge(entry.account, taken);
                markChanged(organisation, entry, own);
            }
        },
        setConfiguration: organisations => {
            const limited = organisations.flatMap(({ name, perSecond, burst }) =>
                perSecond === undefined ? [] : [[name, { perSecond, burst }] as const],
            );
            quotas = new Map(limited);
            ledgers.setQuotas(quotas);
        },
        handleHubChange: () => {
            session += 1;
            view = undefined;
            if (options.hasHub()) {
                ledgers.stop();
            } else {
                ledgers.restart();
            }
            for (const [organisation, entry] of entries) {
                const own = quotas.get(organisation);
                if (own === undefined) {
                    entries.delete(organisation);
                    continue;
                }
                entry.account = { ...quotaAccount.beginSession(entry.account, toTerms(own)), session };
                entry.askAtMs = -Infinity;
                if (entry.waiters.length > 0 || entry.account.charged > 0) {
                    markChanged(organisation, entry, own);
                }
            }
        },
        receiveAcknowledgement,
        ledgers,
        getCounts: () => counts,
        dispose: () => {
            timer?.dispose();
            refusals.dispose();
            ledgers.dispose();
        },
    };
};

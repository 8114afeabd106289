/**
 * Account of one organisation on one VM: the requests that were charged here and have no token of the ledger yet (its
 * debt), as pure functions on immutable values.
 */
import * as quotas from "./quota.js";

/** A charge without a token. */
interface DebtEntry {
    readonly charge: number;
    /** Number of the charge within the session. */
    readonly sequence: number;
    readonly atMs: number;
    /** Whether the request has run nowhere; then the token is returned once the ledger has taken it. */
    readonly isTakenBack: boolean;
}

/** Charges, up to a sequence, whose tokens were taken at a time of the ledger's clock. */
interface Settlement {
    readonly sequence: number;
    readonly takenAtMs: number;
    /** By the clock of this VM. */
    readonly receivedAtMs: number;
}

export interface Account {
    /** Counts the ledgers that this account was reported to. */
    readonly session: number;
    readonly nextCharge: number;
    readonly charged: number;
    readonly expired: number;
    readonly granted: number;
    /** Grants that were received and not used yet; used or returned before the account is left. */
    readonly spareGrants: number;
    readonly grantsTakenAtMs: number;
    /** Oldest first. */
    readonly debt: readonly DebtEntry[];
    readonly settlements: readonly Settlement[];
    /** Tokens to give back by the next report. */
    readonly returned: readonly quotas.ReturnedTokens[];
    readonly creditShare: number;
    readonly creditUntilMs: number;
}

/** A request that was charged. */
export interface Charge {
    readonly id: number;
    readonly session: number;
    /** Its sequence for a charge on credit, or the time at which the ledger took the token for a grant. */
    readonly source:
        { readonly kind: "credit"; readonly sequence: number } | { readonly kind: "grant"; readonly takenAtMs: number };
}

/** Terms that the VM knows itself. */
export interface AccountTerms {
    readonly quota: quotas.Quota;
    readonly settings: quotas.QuotaSettings;
    readonly nowMs: number;
}

/**
 * Creates an account without debt and credit.
 *
 * @returns the account
 */
export const createAccount = (): Account => ({
    session: 0,
    nextCharge: 0,
    charged: 0,
    expired: 0,
    granted: 0,
    spareGrants: 0,
    grantsTakenAtMs: 0,
    debt: [],
    settlements: [],
    returned: [],
    creditShare: 0,
    creditUntilMs: -Infinity,
});

/** Removes debt whose window is over. */
const expireDebt = (account: Account, terms: AccountTerms): Account => {
    const isOld = (entry: DebtEntry): boolean => terms.nowMs - entry.atMs > terms.settings.windowMs;
    const last = account.debt.findLast(isOld);
    return last === undefined
        ? account
        : { ...account, debt: account.debt.filter(entry => !isOld(entry)), expired: last.sequence };
};

/**
 * Counts the charges of the current window that have no token and may run.
 *
 * @param account - the account
 * @param terms - window and time
 * @returns the debt
 */
export const countDebt = (account: Account, terms: AccountTerms): number =>
    expireDebt(account, terms).debt.filter(entry => !entry.isTakenBack).length;

/**
 * Computes how many charges may be without a token.
 *
 * @param account - the account
 * @param terms - quota and time; a quota that falls lowers the credit at once
 * @returns the credit, in whole requests
 */
export const computeCredit = (account: Account, terms: AccountTerms): number =>
    terms.nowMs < account.creditUntilMs
        ? Math.floor(account.creditShare * quotas.computeCreditPool(terms.quota, terms.settings))
        : 0;

export interface ChargeStep {
    readonly account: Account;
    readonly charge: Charge;
}

/**
 * Charges a request by a grant, or else by credit.
 *
 * @param before - the account
 * @param terms - quota and time
 * @returns the account after, or undefined if there is neither
 */
export const chargeRequest = (before: Account, terms: AccountTerms): ChargeStep | undefined => {
    const account = expireDebt(before, terms);
    const { session, nextCharge: id, grantsTakenAtMs: takenAtMs } = account;
    const next = { ...account, nextCharge: id + 1 };
    if (account.spareGrants > 0) {
        const charge: Charge = { id, session, source: { kind: "grant", takenAtMs } };
        return { account: { ...next, spareGrants: account.spareGrants - 1 }, charge };
    }
    if (countDebt(account, terms) >= computeCredit(account, terms)) {
        return undefined;
    }
    const sequence = account.charged + 1;
    const entry: DebtEntry = { charge: id, sequence, atMs: terms.nowMs, isTakenBack: false };
    return {
        account: { ...next, charged: sequence, debt: [...account.debt, entry] },
        charge: { id, session, source: { kind: "credit", sequence } },
    };
};

const addReturned = (account: Account, takenAtMs: number, count: number): Account => {
    const before = account.returned.find(tokens => tokens.takenAtMs === takenAtMs)?.count ?? 0;
    const others = account.returned.filter(tokens => tokens.takenAtMs !== takenAtMs);
    return count === 0 ? account : { ...account, returned: [...others, { takenAtMs, count: before + count }] };
};

/**
 * Takes a charge back, as the request has run nowhere. The VM doesn't use its token for another request: only the ledger
 * knows whether that token may still be used.
 *
 * @param account - the account
 * @param charge - the charge
 * @returns the account after
 */
export const takeBackCharge = (account: Account, charge: Charge): Account => {
    if (account.debt.some(entry => entry.charge === charge.id)) {
        const mark = (entry: DebtEntry): DebtEntry =>
            entry.charge === charge.id ? { ...entry, isTakenBack: true } : entry;
        return { ...account, debt: account.debt.map(mark) };
    }
    if (charge.session !== account.session) {
        return account;
    }
    const { source } = charge;
    switch (source.kind) {
        case "grant":
            return addReturned(account, source.takenAtMs, 1);
        case "credit": {
            const settlement = account.settlements.find(({ sequence }) => sequence >= source.sequence);
            return settlement === undefined ? account : addReturned(account, settlement.takenAtMs, 1);
        }
    }
};

/**
 * Returns grants that no request waits for.
 *
 * @param account - the account
 * @returns the account after
 */
export const returnSpareGrants = (account: Account): Account => ({
    ...addReturned(account, account.grantsTakenAtMs, account.spareGrants),
    spareGrants: 0,
});

export interface ReportStep {
    readonly account: Account;
    readonly report: quotas.QuotaReport;
}

/**
 * Computes what to report to the ledger. Each report must be sent, as it gives tokens back.
 *
 * @param before - the account
 * @param waiting - requests that wait for a grant
 * @param terms - window and time
 * @returns the account after, and the report
 */
export const toReport = (before: Account, waiting: number, terms: AccountTerms): ReportStep => {
    const account = expireDebt(before, terms);
    const { charged, expired, granted, returned } = account;
    return {
        account: { ...account, returned: [] },
        report: { charged, expired, wanted: granted + waiting, returned },
    };
};

/** Records which debt has its tokens now. */
const settleDebt = (account: Account, settled: number, takenAtMs: number, terms: AccountTerms): Account => {
    const done = account.debt.filter(entry => entry.sequence <= settled);
    if (done.length === 0) {
        return account;
    }
    const isOld = ({ receivedAtMs }: Settlement): boolean =>
        terms.nowMs - receivedAtMs > quotas.computeReturnMs(terms.quota, terms.settings);
    // The last old one stands for those before it, whose tokens the ledger doesn't take back either.
    const firstKept = Math.max(0, account.settlements.findLastIndex(isOld));
    const settlement: Settlement = { sequence: settled, takenAtMs, receivedAtMs: terms.nowMs };
    const next: Account = {
        ...account,
        debt: account.debt.filter(entry => entry.sequence > settled),
        settlements: [...account.settlements.slice(firstKept), settlement],
    };
    return addReturned(next, takenAtMs, done.filter(entry => entry.isTakenBack).length);
};

/**
 * Applies an acknowledgement. Grants that come too late are returned: their tokens may belong to an earlier window.
 *
 * @param before - the account
 * @param acknowledgement - what the ledger says
 * @param times - when the report was sent and the tokens were taken
 * @param terms - quota and time
 * @returns the account after
 */
export const applyAcknowledgement = (
    before: Account,
    acknowledgement: quotas.QuotaAcknowledgement,
    times: quotas.AcknowledgementTimes,
    terms: AccountTerms,
): Account => {
    const { settled, granted, creditShare } = acknowledgement;
    const account = settleDebt(expireDebt(before, terms), settled, times.takenAtMs, terms);
    const received: Account = {
        ...account,
        granted: Math.max(account.granted, granted),
        spareGrants: Math.max(0, granted - account.granted),
        grantsTakenAtMs: times.takenAtMs,
    };
    const isLate = terms.nowMs - times.reportedAtMs > terms.settings.maxHoldMs;
    const next = isLate ? returnSpareGrants(received) : received;
    const creditUntilMs = times.reportedAtMs + terms.settings.leaseMs;
    // A ledger that may not give credit yet leaves what an earlier one gave.
    return creditShare === null ? next : { ...next, creditShare, creditUntilMs };
};

/**
 * Begins a session with another ledger. Only debt of the current window is reported to it; the credit that an earlier
 * ledger gave stays until it expires.
 *
 * @param before - the account
 * @param terms - window and time
 * @returns the account after
 */
export const beginSession = (before: Account, terms: AccountTerms): Account => {
    const account = expireDebt(before, terms);
    const debt = account.debt
        .filter(entry => !entry.isTakenBack)
        .map((entry, index) => ({ ...entry, sequence: index + 1 }));
    return {
        ...account,
        session: account.session + 1,
        charged: debt.length,
        expired: 0,
        granted: 0,
        spareGrants: 0,
        debt,
        settlements: [],
        returned: [],
    };
};

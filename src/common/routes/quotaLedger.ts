/**
 * Ledger of one organisation: a token bucket from which the charges of all VMs that are connected to it are settled, as
 * pure functions on immutable values. A ledger has the share k/n of the rate, the burst and the credit: k is the number of
 * VMs connected to it and n the number of VMs that may be alive, so that all ledgers together stay within the quota.
 */
import * as quotas from "./quota.js";

/** A part of the credit that a VM may use until a time. */
interface Lease {
    readonly share: number;
    readonly untilMs: number;
}

/** A connection to a VM, as far as the ledger knows it; counts are those of the last report and acknowledgement. */
interface Session {
    readonly charged: number;
    readonly settled: number;
    readonly granted: number;
    /** The last lease, and earlier ones that were greater: the VM uses one of them. */
    readonly leases: readonly Lease[];
    /** A closed session has no debt here, but its VM may still use its credit. */
    readonly isOpen: boolean;
}

export interface Ledger {
    readonly tokens: number;
    readonly updatedAtMs: number;
    /** In the order in which they are settled. */
    readonly sessions: ReadonlyMap<string, Session>;
}

/** What a ledger may use at the moment. */
export interface LedgerTerms {
    readonly quota: quotas.Quota;
    readonly settings: quotas.QuotaSettings;
    /** Share of rate and burst; 0 until the ledger has one. */
    readonly share: number;
    /** Share of the credit; 0 while credit that another ledger gave may be in use. */
    readonly creditShare: number;
    readonly nowMs: number;
}

/** Credit is sent with this many steps to the whole, which keeps messages short. */
const creditSteps = 1_000;
/** A share that only rounding separates from the next step is taken as that step. */
const roundingMargin = 1e-9;
/** From this share on, a bucket holds a whole token even of a small burst; at most eight ledgers have such a share. */
const minShareForToken = 1 / 8;

const newSession: Session = { charged: 0, settled: 0, granted: 0, leases: [], isOpen: true };

/**
 * Creates a ledger with an empty bucket.
 *
 * @param nowMs - local monotonic time
 * @returns the ledger
 */
export const createLedger = (nowMs: number): Ledger => ({ tokens: 0, updatedAtMs: nowMs, sessions: new Map() });

/**
 * Empties the bucket, as another ledger may have used the quota in the meantime.
 *
 * @param ledger - the ledger
 * @param nowMs - local monotonic time
 * @returns the ledger after
 */
export const restartLedger = (ledger: Ledger, nowMs: number): Ledger => ({ ...ledger, tokens: 0, updatedAtMs: nowMs });

const computeCapacity = ({ quota, share }: LedgerTerms): number =>
    Math.max(quota.burst * share, share >= minShareForToken && quota.perSecond > 0 ? 1 : 0);

/**
 * Refills the bucket. Must be called with the former terms before they change, and with the new ones after it, which cuts
 * what exceeds their burst.
 *
 * @param ledger - the ledger
 * @param terms - share and quota in force since the last update
 * @returns the ledger at `terms.nowMs`
 */
export const refreshLedger = (ledger: Ledger, terms: LedgerTerms): Ledger => {
    const elapsedMs = Math.max(0, terms.nowMs - ledger.updatedAtMs);
    const filled = ledger.tokens + (elapsedMs * terms.quota.perSecond * terms.share) / 1_000;
    return { ...ledger, tokens: Math.min(computeCapacity(terms), filled), updatedAtMs: terms.nowMs };
};

/**
 * Puts returned tokens back. Those taken too long ago are dropped: the bucket may have been refilled since, and a report
 * may have been delayed.
 */
const returnTokens = (ledger: Ledger, returned: readonly quotas.ReturnedTokens[], terms: LedgerTerms): Ledger => {
    const returnMs = quotas.computeReturnMs(terms.quota, terms.settings);
    const count = returned
        .filter(tokens => terms.nowMs - tokens.takenAtMs <= returnMs)
        .reduce((sum, tokens) => sum + tokens.count, 0);
    return count === 0 ? ledger : { ...ledger, tokens: Math.min(computeCapacity(terms), ledger.tokens + count) };
};

const setSession = (ledger: Ledger, id: string, session: Session): Ledger => ({
    ...ledger,
    sessions: new Map(ledger.sessions).set(id, session),
});

const countUnsettled = (session: Session): number => (session.isOpen ? session.charged - session.settled : 0);

/**
 * Counts the charges of all connected VMs that have no tokens yet.
 *
 * @param ledger - the ledger
 * @returns the number of charges
 */
export const countDebt = (ledger: Ledger): number =>
    [...ledger.sessions.values()].reduce((sum, session) => sum + countUnsettled(session), 0);

const settleSession = (ledger: Ledger, id: string, session: Session): Ledger => {
    const count = Math.min(countUnsettled(session), Math.floor(ledger.tokens));
    const settled = { ...session, settled: session.settled + count };
    return setSession({ ...ledger, tokens: ledger.tokens - count }, id, settled);
};

const computeHeldShare = (session: Session, nowMs: number): number =>
    session.leases.filter(lease => lease.untilMs > nowMs).reduce((most, lease) => Math.max(most, lease.share), 0);

/** Divides the credit evenly among the VMs that use it, beyond what the others still hold. */
const computeCreditShare = (ledger: Ledger, id: string, terms: LedgerTerms): number => {
    const isUser = (session: Session): boolean =>
        session.isOpen && session.leases.some(lease => lease.untilMs > terms.nowMs);
    const others = [...ledger.sessions].filter(([other]) => other !== id).map(([, session]) => session);
    const held = others.reduce((sum, session) => sum + computeHeldShare(session, terms.nowMs), 0);
    const users = 1 + others.filter(isUser).length;
    const share = Math.min(terms.creditShare / users, terms.creditShare - held);
    return Math.max(0, Math.floor(share * creditSteps + roundingMargin) / creditSteps);
};

/** Adds a lease; those that expire before it and are not greater have no effect any more. */
const addLease = (leases: readonly Lease[], lease: Lease, nowMs: number): readonly Lease[] => [
    ...leases.filter(({ share, untilMs }) => untilMs > nowMs && share > lease.share),
    lease,
];

const computeRoomInMs = (ledger: Ledger, terms: LedgerTerms): number | null => {
    if (terms.share <= 0) {
        return null;
    }
    const missing = countDebt(ledger) + 1 - ledger.tokens;
    const perSecond = terms.quota.perSecond * terms.share;
    const roomInMs = perSecond > 0 ? Math.ceil((missing * 1_000) / perSecond) : Infinity;
    return missing <= 0 ? 0 : Math.min(roomInMs, terms.settings.windowMs);
};

const toAcknowledgement = (ledger: Ledger, session: Session, terms: LedgerTerms): quotas.QuotaAcknowledgement => ({
    settled: session.settled,
    granted: session.granted,
    creditShare: terms.creditShare > 0 ? (session.leases.at(-1)?.share ?? 0) : null,
    roomInMs: computeRoomInMs(ledger, terms),
});

export interface LedgerStep {
    readonly ledger: Ledger;
    /** By session. */
    readonly acknowledgements: ReadonlyMap<string, quotas.QuotaAcknowledgement>;
}

/**
 * Applies a report: takes back what did not run, settles what has run, and grants tokens to requests that wait.
 *
 * @param ledger - the ledger
 * @param id - session that the report came by
 * @param report - the report
 * @param terms - share and quota in force
 * @returns the ledger after, and the acknowledgement
 */
export const applyReport = (ledger: Ledger, id: string, report: quotas.QuotaReport, terms: LedgerTerms): LedgerStep => {
    const known = ledger.sessions.get(id) ?? newSession;
    const returned = returnTokens(refreshLedger(ledger, terms), report.returned, terms);
    const settled = settleSession(returned, id, {
        ...known,
        charged: report.charged,
        settled: Math.max(known.settled, report.expired),
    });
    const session = settled.sessions.get(id) ?? known;
    // Tokens that charges of other VMs wait for are not granted to requests that have not run yet.
    const free = Math.max(0, Math.floor(settled.tokens - countDebt(settled)));
    const grants = Math.min(Math.max(0, report.wanted - session.granted), free);
    const share = computeCreditShare(settled, id, terms);
    const untilMs = terms.nowMs + terms.settings.leaseMs;
    const next: Session = {
        ...session,
        granted: session.granted + grants,
        leases: addLease(session.leases, { share, untilMs }, terms.nowMs),
    };
    const after = setSession({ ...settled, tokens: settled.tokens - grants }, id, next);
    return { ledger: after, acknowledgements: new Map([[id, toAcknowledgement(after, next, terms)]]) };
};

/**
 * Settles what tokens that have come since allow, sessions that were settled longest ago first.
 *
 * @param ledger - the ledger
 * @param terms - share and quota in force
 * @returns the ledger after, and an acknowledgement for each session of which charges were settled
 */
export const settleDebt = (ledger: Ledger, terms: LedgerTerms): LedgerStep => {
    let next = refreshLedger(ledger, terms);
    const changed: string[] = [];
    for (const [id, session] of ledger.sessions) {
        if (countUnsettled(session) > 0 && next.tokens >= 1) {
            const settled = settleSession(next, id, session);
            const sessions = new Map(settled.sessions);
            // Moves the session to the end of the order.
            sessions.delete(id);
            next = { ...settled, sessions: sessions.set(id, settled.sessions.get(id) ?? session) };
            changed.push(id);
        }
    }
    const acknowledgements = changed.map(id => {
        const session = next.sessions.get(id) ?? newSession;
        return [id, toAcknowledgement(next, session, terms)] as const;
    });
    return { ledger: next, acknowledgements: new Map(acknowledgements) };
};

/**
 * Closes the session of a VM that is no longer connected. Its VM reports its debt to its next ledger, but keeps its
 * credit until that expires.
 *
 * @param ledger - the ledger
 * @param id - the session
 * @param nowMs - local monotonic time
 * @returns the ledger after, without closed sessions whose credit has expired
 */
export const closeSession = (ledger: Ledger, id: string, nowMs: number): Ledger => {
    const closed = [...ledger.sessions].map(([other, session]) => {
        return [other, other === id ? { ...session, isOpen: false } : session] as const;
    });
    const isUsed = (session: Session): boolean => session.isOpen || computeHeldShare(session, nowMs) > 0;
    return { ...ledger, sessions: new Map(closed.filter(([, session]) => isUsed(session))) };
};

/**
 * The account of an organisation on this VM, and the requests that wait for a grant of the ledger.
 */
import * as quota from "../../common/routes/quota.js";
import * as quotaAccount from "../../common/routes/quotaAccount.js";

/** Longest wait for an acknowledgement: a hub in another zone answers within about 30 ms, coalescing included. */
export const maxWaitMs = 150;
/** A request waits for room that comes within this time, so that it is asked for again before the wait ends. */
const maxRoomMs = 100;

export interface Waiter<T> {
    readonly id: string;
    resolve(result: T): void;
}

export interface AccountEntry<T> {
    account: quotaAccount.Account;
    waiters: readonly Waiter<T>[];
    /** The ledger expects to have room at this time. */
    roomAtMs: number;
    /** It is asked again at this time. */
    askAtMs: number;
}

/**
 * Creates the entry of an organisation without charges.
 *
 * @param session - the session with the ledger
 * @returns the entry
 */
export const createEntry = <T>(session: number): AccountEntry<T> => ({
    account: { ...quotaAccount.createAccount(), session },
    waiters: [],
    roomAtMs: -Infinity,
    askAtMs: -Infinity,
});

/**
 * Counts the waiting requests for which room is expected before their wait ends.
 *
 * @param roomInMs - time until the ledger has room for one
 * @param own - the organisation's quota
 * @returns the number of requests, of which the first ones are kept
 */
export const countServable = (roomInMs: number, own: quota.Quota): number =>
    roomInMs > maxRoomMs ? 0 : 1 + Math.floor(((maxRoomMs - roomInMs) * own.perSecond) / 1_000);

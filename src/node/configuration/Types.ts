/**
 * The part of the daemon that keeps the configuration up to date.
 */
import * as config from "../../common/config/Types.js";
import * as freshness from "../../common/freshness/Types.js";
import * as types from "../../common/Types.js";

/** Writes `configuration` and `freshness` on the blackboard. */
export interface ConfigurationController extends types.Disposable {
    /**
     * Takes note of a committed head, and fetches and adopts it if it is newer than the one in use.
     *
     * @param head - the head
     * @param fromControlAddress - control address of a peer that has its sections, if one is known
     */
    observeHead(head: config.ConfigHead, fromControlAddress: types.Address | undefined): void;
    /**
     * Takes note of a confirmation.
     *
     * @param revision - the revision that was current
     * @param atMs - local monotonic time at which it was current
     */
    observeConfirmation(revision: types.Revision, atMs: number): void;
    /** Head of the configuration in use; undefined before the first adoption. */
    getHead(): config.ConfigHead | undefined;
    /** Newest confirmation of the configuration in use; undefined while unsynced. */
    getConfirmation(): freshness.Confirmation | undefined;
}

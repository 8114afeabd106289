/**
 * Types of the configuration controller, which keeps the daemon's configuration up to date.
 */
import * as config from "../../common/config/Types.js";
import * as freshness from "../../common/freshness/Types.js";
import * as types from "../../common/Types.js";

/** Writes `configuration` and `freshness` on the blackboard. */
export interface ConfigurationController extends types.Disposable {
    /**
     * Handles a committed head: fetches and adopts it if it is newer than the one in use.
     *
     * @param head - the committed head
     * @param sourceAddress - control address of a peer that has its sections, if one is known
     */
    observeHead(head: config.ConfigHead, sourceAddress: types.Address | undefined): void;
    /**
     * Handles a confirmation that a revision is current.
     *
     * @param revision - the revision that was current
     * @param atMs - local monotonic time at which it was current
     */
    observeConfirmation(revision: types.Revision, atMs: number): void;
    /** Returns the head of the configuration in use; undefined before the first adoption. */
    getHead(): config.ConfigHead | undefined;
    /** Returns the newest confirmation of the configuration in use; undefined while unsynced. */
    getConfirmation(): freshness.Confirmation | undefined;
}

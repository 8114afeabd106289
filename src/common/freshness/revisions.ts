/**
 * State transitions of one incarnation by the adoption and confirmation of revisions.
 */
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as types from "./Types.js";

/**
 * Maximum number of confirmations that wait for their revision; more than a few mean that the section stores are down.
 */
const maxPending = 8;

/**
 * Creates the initial state of an incarnation.
 *
 * @param startedAtMs - a time at or after the start of the incarnation
 * @returns the state, with revision 0 in use and unsynced
 */
export const createRevisionState = (startedAtMs: number): types.RevisionState => ({
    startedAtMs,
    inUse: { revision: ids.toRevision(0), confirmedAtMs: undefined },
    pending: [],
});

/**
 * Checks whether a revision may replace the one in use.
 *
 * @param state - the state of the incarnation
 * @param revision - a committed revision whose sections are all present and valid
 * @returns true only for a greater revision, so that a configuration never reverts
 */
export const mayAdopt = (state: types.RevisionState, revision: shared.Revision): boolean =>
    revision > state.inUse.revision;

/** Drops confirmations made redundant by one with a lower or equal revision and a later or equal time. */
const mergePending = (
    pending: readonly types.Confirmation[],
    added: types.Confirmation,
): readonly types.Confirmation[] => {
    if (pending.some(entry => entry.revision <= added.revision && entry.atMs >= added.atMs)) {
        return pending;
    }
    const kept = pending.filter(entry => entry.revision < added.revision || entry.atMs > added.atMs);
    return [...kept, added].sort((a, b) => b.atMs - a.atMs).slice(0, maxPending);
};

/**
 * Applies a confirmation. One of a greater revision than that in use takes effect when its revision is adopted.
 *
 * A confirmation that is not dated after the start of the incarnation is ignored. Otherwise a restarted VM could be
 * synced by an outdated confirmation, count towards a majority, and outvote the VMs that still use a revision that it
 * had helped to accept. The model check in `revisionModel.test.ts` shows the trace.
 *
 * @param state - the state of the incarnation
 * @param confirmation - the confirmation, with a local time
 * @returns the next state, the same object if nothing has changed
 */
export const applyConfirmation = (
    state: types.RevisionState,
    confirmation: types.Confirmation,
): types.RevisionState => {
    if (confirmation.atMs <= state.startedAtMs) {
        return state;
    }
    const { revision, confirmedAtMs } = state.inUse;
    if (confirmedAtMs !== undefined && confirmation.atMs <= confirmedAtMs) {
        return state;
    }
    if (confirmation.revision > revision) {
        const pending = mergePending(state.pending, confirmation);
        return pending === state.pending ? state : { ...state, pending };
    }
    return { ...state, inUse: { revision, confirmedAtMs: confirmation.atMs } };
};

/**
 * Applies the adoption of a revision. A confirmation of a lower revision also holds for a greater one.
 *
 * @param state - the state of the incarnation
 * @param revision - a committed revision whose sections are all present and valid
 * @returns the next state, the same object if the revision may not be adopted
 */
export const applyAdoption = (state: types.RevisionState, revision: shared.Revision): types.RevisionState => {
    if (!mayAdopt(state, revision)) {
        return state;
    }
    const adopted: types.RevisionState = { ...state, inUse: { ...state.inUse, revision }, pending: [] };
    return state.pending.reduce(applyConfirmation, adopted);
};

/**
 * Creates the confirmation for a read of `config/head`.
 *
 * @param revision - the revision that was read; 0 for an absent row
 * @param requestedAtMs - local time at which the read was started
 * @returns the confirmation, dated at the start, because the row may have changed after the table read it
 */
export const toReadConfirmation = (revision: shared.Revision, requestedAtMs: number): types.Confirmation => ({
    revision,
    atMs: requestedAtMs,
});

/**
 * Converts a peer's confirmation to local time.
 *
 * @param revision - the revision that the peer confirms
 * @param ageMs - age of the confirmation when the peer created its response
 * @param requestedAtMs - local time at which the request was started
 * @returns the confirmation, dated no later than the peer's own
 */
export const toPeerConfirmation = (
    revision: shared.Revision,
    ageMs: number,
    requestedAtMs: number,
): types.Confirmation => ({ revision, atMs: requestedAtMs - ageMs });

/**
 * Derives a confirmation from the revisions that a majority of the entry VMs has in use.
 *
 * @param listed - all entry VMs that the platform lists, live or leaving
 * @param digests - the newest known digest of each VM, including this one
 * @returns the greatest revision of the most recently seen majority, dated by the oldest of its digests; undefined
 * without a majority of listed VMs that are synced
 */
export const computeMajorityConfirmation = (
    listed: readonly shared.VmId[],
    digests: ReadonlyMap<shared.VmId, types.VmDigest>,
): types.Confirmation | undefined => {
    const needed = Math.floor(listed.length / 2) + 1;
    const synced = [...new Set(listed)].map(vm => digests.get(vm)).filter(digest => digest?.synced === true);
    const freshest = (synced as types.VmDigest[]).sort((a, b) => b.seenAtMs - a.seenAtMs).slice(0, needed);
    const oldest = freshest[needed - 1];
    if (oldest === undefined) {
        return undefined;
    }
    const revision = Math.max(...freshest.map(digest => digest.revision));
    return { revision: ids.toRevision(revision), atMs: oldest.seenAtMs };
};

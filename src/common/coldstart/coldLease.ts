/**
 * Decision functions for the cold lease of one target.
 *
 * The lease is safe without synchronized clocks: the holder measures it from before it sent its write, a contender from
 * after it first read the row. Every write is conditional on the version of the row. Rows are never deleted, so a
 * version never reappears with different content.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

export const defaultSettings: types.LeaseSettings = {
    leaseMs: 10_000,
    marginMs: 1_000,
    renewEveryMs: 3_000,
    pollMs: 500,
};

/** State of a lease that was never requested. */
export const initialLease: types.LeaseState = {
    wantedUntilMs: -Infinity,
    observed: undefined,
    lastReadAtMs: -Infinity,
    leaseEndMs: undefined,
    token: undefined,
    writtenAtMs: -Infinity,
    isReleasing: false,
    pendingWrite: undefined,
    isWriteUnknown: false,
    retryAtMs: -Infinity,
};

const applyCommit = (
    state: types.LeaseState,
    write: types.LeaseWrite,
    settings: types.LeaseSettings,
): types.LeaseState => {
    // The new version is unknown, so the row has to be read before the next write.
    const written = {
        ...state,
        pendingWrite: undefined,
        isWriteUnknown: false,
        observed: undefined,
        lastReadAtMs: -Infinity,
    };
    if (write.kind === "release") {
        return { ...written, isReleasing: false, token: undefined };
    }
    const held = { ...written, token: write.row.token, writtenAtMs: write.sentAtMs };
    return state.isReleasing ? held : { ...held, leaseEndMs: write.sentAtMs + settings.leaseMs };
};

const applyRead = (
    state: types.LeaseState,
    read: types.ReadRow,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseState => {
    const isUnchanged = state.observed?.version === read.version && state.observed.row?.token === read.row?.token;
    const observed = { ...read, sinceMs: isUnchanged && state.observed !== undefined ? state.observed.sinceMs : nowMs };
    const write = state.pendingWrite;
    if (write !== undefined && state.isWriteUnknown) {
        const next = { ...state, pendingWrite: undefined, isWriteUnknown: false, observed, lastReadAtMs: nowMs };
        if (read.row?.token !== write.row.token) {
            // Not applied, at least not yet. If it is applied late, the next write conflicts and the row is read again.
            return next;
        }
        return { ...applyCommit(next, write, settings), observed, lastReadAtMs: nowMs };
    }
    return { ...state, observed, lastReadAtMs: nowMs };
};

/**
 * Applies an event to the state of a lease.
 *
 * @param state - the state before the event
 * @param event - what happened
 * @param settings - durations
 * @param nowMs - local monotonic time
 * @returns the state after the event
 */
export const applyLeaseEvent = (
    state: types.LeaseState,
    event: types.LeaseEvent,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseState => {
    switch (event.kind) {
        case "wanted":
            return { ...state, wantedUntilMs: Math.max(state.wantedUntilMs, event.untilMs), isReleasing: false };
        case "released":
            return { ...state, wantedUntilMs: -Infinity, leaseEndMs: undefined, isReleasing: true };
        case "read":
            return applyRead(state, event.read, settings, nowMs);
        case "readFailed":
            return { ...state, retryAtMs: nowMs + settings.pollMs };
        case "writeSent":
            return { ...state, pendingWrite: event.write, isWriteUnknown: false };
        case "committed":
            return state.pendingWrite === undefined ? state : applyCommit(state, state.pendingWrite, settings);
        case "conflicted":
            return { ...state, pendingWrite: undefined, isWriteUnknown: false, lastReadAtMs: -Infinity };
        case "unavailable":
            return { ...state, pendingWrite: undefined, isWriteUnknown: false, retryAtMs: nowMs + settings.pollMs };
        case "unknown":
            return { ...state, isWriteUnknown: true, lastReadAtMs: -Infinity };
    }
};

const computeReleaseStep = (
    state: types.LeaseState,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    // After this time a contender may take the lease without a release.
    const isExpired = nowMs >= state.writtenAtMs + settings.leaseMs + settings.marginMs;
    if (state.token === undefined || isExpired) {
        return { kind: "done" };
    }
    if (state.observed === undefined || state.lastReadAtMs === -Infinity) {
        return { kind: "read" };
    }
    const isOwnRow = state.observed.row?.holder === self;
    return isOwnRow ? { kind: "write", write: "release", version: state.observed.version } : { kind: "done" };
};

const computeHolderStep = (
    state: types.LeaseState,
    endMs: number,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    const renewAtMs = state.writtenAtMs + settings.renewEveryMs;
    if (nowMs < renewAtMs) {
        return { kind: "wait", untilMs: renewAtMs };
    }
    if (state.observed === undefined || state.lastReadAtMs < renewAtMs) {
        return { kind: "read" };
    }
    // Compares the holder, not the token: an own write that was applied late has a different token.
    if (state.observed.row?.holder === self) {
        return { kind: "write", write: "renew", version: state.observed.version };
    }
    // Another incarnation holds the row, so the lease cannot be renewed.
    return { kind: "wait", untilMs: endMs };
};

const computeContenderStep = (
    state: types.LeaseState,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    const observed = state.observed;
    if (observed === undefined || state.lastReadAtMs === -Infinity) {
        return { kind: "read" };
    }
    const isFree = observed.row?.holder === undefined || observed.row.holder === self;
    const freeAtMs = observed.sinceMs + settings.leaseMs + settings.marginMs;
    if (isFree || nowMs >= freeAtMs) {
        return { kind: "write", write: "take", version: observed.version };
    }
    const pollAtMs = state.lastReadAtMs + settings.pollMs;
    return nowMs >= pollAtMs ? { kind: "read" } : { kind: "wait", untilMs: Math.min(pollAtMs, freeAtMs) };
};

/**
 * Computes the next step for a lease.
 *
 * @param state - the state of the lease
 * @param self - this incarnation
 * @param settings - durations
 * @param nowMs - local monotonic time
 * @returns the step; `wait` until infinity while the response to a write is pending
 */
export const computeLeaseStep = (
    state: types.LeaseState,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    if (state.pendingWrite !== undefined && !state.isWriteUnknown) {
        return { kind: "wait", untilMs: Infinity };
    }
    if (nowMs < state.retryAtMs) {
        return { kind: "wait", untilMs: state.retryAtMs };
    }
    if (state.pendingWrite !== undefined) {
        return { kind: "read" };
    }
    if (state.isReleasing) {
        return computeReleaseStep(state, self, settings, nowMs);
    }
    const isHeld = state.leaseEndMs !== undefined && nowMs < state.leaseEndMs;
    if (nowMs >= state.wantedUntilMs) {
        return isHeld ? { kind: "wait", untilMs: state.leaseEndMs } : { kind: "done" };
    }
    if (state.leaseEndMs !== undefined && isHeld) {
        return computeHolderStep(state, state.leaseEndMs, self, settings, nowMs);
    }
    return computeContenderStep(state, self, settings, nowMs);
};

/**
 * Computes the latest end of a call that needs the lease.
 *
 * @param leaseEndMs - expiry of the lease; undefined if it is not held
 * @param neededMs - minimum time that the call needs
 * @param cancelMs - time that a cancelled call takes to end at the target
 * @param nowMs - local monotonic time
 * @returns the latest end of the call, or undefined if no call may be sent
 */
export const computeCallEndMs = (
    leaseEndMs: number | undefined,
    neededMs: number,
    cancelMs: number,
    nowMs: number,
): number | undefined => {
    if (leaseEndMs === undefined) {
        return undefined;
    }
    const endMs = leaseEndMs - cancelMs;
    return nowMs + neededMs <= endMs ? endMs : undefined;
};

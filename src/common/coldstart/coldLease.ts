/**
 * Decisions on the cold lease of one target.
 *
 * The lease is safe without synchronized clocks: the holder counts it from before its write was sent, and a contender
 * counts from after it first read the row. Every write is conditioned on the row's version. Rows are never deleted, so a
 * version that was read once never comes back with another content.
 */
import * as shared from "../Types.js";
import * as types from "./Types.js";

export const defaultSettings: types.LeaseSettings = {
    leaseMs: 10_000,
    marginMs: 1_000,
    renewEveryMs: 3_000,
    pollMs: 500,
};

/** State of a lease that was never asked for. */
export const initialLease: types.LeaseState = {
    wantedUntilMs: -Infinity,
    seen: undefined,
    readAtMs: -Infinity,
    endMs: undefined,
    token: undefined,
    writtenAtMs: -Infinity,
    isReleasing: false,
    write: undefined,
    isUnknown: false,
    retryAtMs: -Infinity,
};

const applyCommit = (
    state: types.LeaseState,
    write: types.LeaseWrite,
    settings: types.LeaseSettings,
): types.LeaseState => {
    // The new version is not known, so the row has to be read before the next write.
    const written = { ...state, write: undefined, isUnknown: false, seen: undefined, readAtMs: -Infinity };
    if (write.kind === "release") {
        return { ...written, isReleasing: false, token: undefined };
    }
    const held = { ...written, token: write.row.token, writtenAtMs: write.sentAtMs };
    return state.isReleasing ? held : { ...held, endMs: write.sentAtMs + settings.leaseMs };
};

const applyRead = (
    state: types.LeaseState,
    read: types.ReadRow,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseState => {
    const isSame = state.seen?.version === read.version && state.seen.row?.token === read.row?.token;
    const seen = { ...read, sinceMs: isSame && state.seen !== undefined ? state.seen.sinceMs : nowMs };
    const write = state.write;
    if (write !== undefined && state.isUnknown) {
        const next = { ...state, write: undefined, isUnknown: false, seen, readAtMs: nowMs };
        if (read.row?.token !== write.row.token) {
            // Not applied, or not yet. If it is applied late, the next write conflicts and the row is read again.
            return next;
        }
        return { ...applyCommit(next, write, settings), seen, readAtMs: nowMs };
    }
    return { ...state, seen, readAtMs: nowMs };
};

/**
 * Computes the state of a lease after an event.
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
        case "givenUp":
            return { ...state, wantedUntilMs: -Infinity, endMs: undefined, isReleasing: true };
        case "read":
            return applyRead(state, event.read, settings, nowMs);
        case "readFailed":
            return { ...state, retryAtMs: nowMs + settings.pollMs };
        case "writeSent":
            return { ...state, write: event.write, isUnknown: false };
        case "committed":
            return state.write === undefined ? state : applyCommit(state, state.write, settings);
        case "conflicted":
            return { ...state, write: undefined, isUnknown: false, readAtMs: -Infinity };
        case "unavailable":
            return { ...state, write: undefined, isUnknown: false, retryAtMs: nowMs + settings.pollMs };
        case "unknown":
            return { ...state, isUnknown: true, readAtMs: -Infinity };
    }
};

const computeReleaseStep = (
    state: types.LeaseState,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    // By then a contender takes the row anyway.
    const isExpired = nowMs >= state.writtenAtMs + settings.leaseMs + settings.marginMs;
    if (state.token === undefined || isExpired) {
        return { kind: "done" };
    }
    if (state.seen === undefined || state.readAtMs === -Infinity) {
        return { kind: "read" };
    }
    const isOwn = state.seen.row?.holder === self;
    return isOwn ? { kind: "write", write: "release", version: state.seen.version } : { kind: "done" };
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
    if (state.seen === undefined || state.readAtMs < renewAtMs) {
        return { kind: "read" };
    }
    // An own write that was applied late has another token, so the holder is compared.
    if (state.seen.row?.holder === self) {
        return { kind: "write", write: "renew", version: state.seen.version };
    }
    // Another holder has the row; nothing can be renewed.
    return { kind: "wait", untilMs: endMs };
};

const computeContenderStep = (
    state: types.LeaseState,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    const seen = state.seen;
    if (seen === undefined || state.readAtMs === -Infinity) {
        return { kind: "read" };
    }
    const isFree = seen.row?.holder === undefined || seen.row.holder === self;
    const freeAtMs = seen.sinceMs + settings.leaseMs + settings.marginMs;
    if (isFree || nowMs >= freeAtMs) {
        return { kind: "write", write: "take", version: seen.version };
    }
    const pollAtMs = state.readAtMs + settings.pollMs;
    return nowMs >= pollAtMs ? { kind: "read" } : { kind: "wait", untilMs: Math.min(pollAtMs, freeAtMs) };
};

/**
 * Computes what to do next about a lease.
 *
 * @param state - the state of the lease
 * @param self - this incarnation
 * @param settings - durations
 * @param nowMs - local monotonic time
 * @returns the step; `wait` until infinity while an answer is awaited
 */
export const computeLeaseStep = (
    state: types.LeaseState,
    self: shared.IncarnationId,
    settings: types.LeaseSettings,
    nowMs: number,
): types.LeaseStep => {
    if (state.write !== undefined && !state.isUnknown) {
        return { kind: "wait", untilMs: Infinity };
    }
    if (nowMs < state.retryAtMs) {
        return { kind: "wait", untilMs: state.retryAtMs };
    }
    if (state.write !== undefined) {
        return { kind: "read" };
    }
    if (state.isReleasing) {
        return computeReleaseStep(state, self, settings, nowMs);
    }
    const isHeld = state.endMs !== undefined && nowMs < state.endMs;
    if (nowMs >= state.wantedUntilMs) {
        return isHeld ? { kind: "wait", untilMs: state.endMs } : { kind: "done" };
    }
    if (state.endMs !== undefined && isHeld) {
        return computeHolderStep(state, state.endMs, self, settings, nowMs);
    }
    return computeContenderStep(state, self, settings, nowMs);
};

/**
 * Computes until when a call that needs the lease may run.
 *
 * @param leaseEndMs - end of the lease; undefined if it is not held
 * @param neededMs - time that the call must be given
 * @param cancelMs - time for a cancelled call to end at the target
 * @param nowMs - local monotonic time
 * @returns the end of the call at the latest, or undefined if none may be sent
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

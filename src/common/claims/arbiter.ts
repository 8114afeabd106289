/**
 * Decision functions of the arbiter for one key, shared by the daemon and the model checker.
 */
import * as errorTable from "../errors/errorTable.js";
import * as errors from "../errors/Types.js";
import * as types from "./Types.js";

/** Length of an epoch of issued keys. */
export const epochMs = 60_000;

/** State of a key that is absent from the table. */
export const notRunState: types.KeyState = { kind: "notRun" };

/**
 * Computes the oldest epoch whose keys are retained.
 *
 * @param currentEpoch - the current epoch by the arbiter's clock
 * @param keyRetentionMs - how long keys are retained, in milliseconds
 * @returns the epoch; all earlier epochs are expired
 */
export const computeOldestEpoch = (currentEpoch: number, keyRetentionMs: number): number =>
    currentEpoch - Math.ceil(keyRetentionMs / epochMs);

/**
 * Computes whether the arbiter can decide on keys of an epoch.
 *
 * @param epoch - the epoch named in the key
 * @param currentEpoch - the current epoch by the arbiter's clock
 * @param oldestEpoch - the oldest epoch whose keys are retained
 * @returns the status; `unissued` for a future epoch, which no lookup response can have named
 */
export const computeEpochStatus = (epoch: number, currentEpoch: number, oldestEpoch: number): types.EpochStatus => {
    if (epoch > currentEpoch) {
        return "unissued";
    }
    return epoch < oldestEpoch ? "expired" : "live";
};

/**
 * Applies a request or the end of an attempt to the state of its key.
 *
 * @param state - the state of the key
 * @param event - the request or the end of an attempt
 * @returns the new state and the decision
 */
export const applyKeyEvent = (state: types.KeyState, event: types.KeyEvent): types.KeyTransition => {
    switch (event.kind) {
        case "begin":
            return beginKey(state, event);
        case "finish":
            return finishKey(state, event);
    }
};

type BeginEvent = Extract<types.KeyEvent, { kind: "begin" }>;
type FinishEvent = Extract<types.KeyEvent, { kind: "finish" }>;

const createRefusal = (state: types.KeyState, error: errors.ErrorKind, message: string): types.KeyTransition => ({
    state,
    decision: { kind: "refuse", error, message },
});

const beginKey = (state: types.KeyState, event: BeginEvent): types.KeyTransition => {
    // The epoch is checked first, because the table may have dropped a key of an expired epoch whose call ran.
    if (event.epoch === "expired") {
        return createRefusal(state, "key_expired", "The key is older than the retention period.");
    }
    if (event.epoch === "unissued") {
        return createRefusal(state, "bad_request", "The key names an epoch that was not issued yet.");
    }
    if (state.kind === "notRun") {
        return beginNewKey(state, event);
    }
    if (state.signature !== event.signature) {
        return createRefusal(state, "idempotency_key_reused", "The key belongs to a different request.");
    }
    switch (state.kind) {
        case "running":
            return { state, decision: { kind: "wait", attempt: state.attempt } };
        case "done":
            return { state, decision: { kind: "replay", status: state.status } };
        case "mayHaveRun":
            return createRefusal(state, "outcome_unknown", `The first request ended as ${state.error}.`);
    }
};

const beginNewKey = (state: types.KeyState, event: BeginEvent): types.KeyTransition => {
    if (!event.hasRoom) {
        return createRefusal(state, "arbiter_full", "The table of idempotency keys is full.");
    }
    return {
        state: { kind: "running", signature: event.signature, attempt: event.attempt },
        decision: { kind: "run", attempt: event.attempt },
    };
};

const finishKey = (state: types.KeyState, event: FinishEvent): types.KeyTransition => {
    if (state.kind !== "running" || state.attempt !== event.attempt) {
        return { state, decision: { kind: "ignored" } };
    }
    return { state: toEndState(state.signature, event.end), decision: { kind: "recorded" } };
};

const toEndState = (signature: types.RequestSignature, end: types.KeyEnd): types.KeyState => {
    switch (end.kind) {
        case "done":
            return { kind: "done", signature, status: end.status };
        case "notRun":
            return notRunState;
        case "mayHaveRun":
            return { kind: "mayHaveRun", signature, error: end.error };
    }
};

/**
 * Picks the error for a call that may have run, so that its response never reports "not run".
 *
 * @param error - the error that the attempt ended with
 * @returns the same error, or `outcome_unknown` if its outcome in the error table is not "may-have-run"
 */
export const pickMayHaveRunError = (error: errors.ErrorKind): errors.ErrorKind =>
    errorTable.errorTable[error].outcome === "may-have-run" ? error : "outcome_unknown";

/**
 * Model of foreign keys: two entry VMs, the row of one key in the table service, one caller and one target.
 */
import * as errors from "../../errors/Types.js";
import * as arbiter from "../arbiter.js";
import * as rowClaim from "../rowClaim.js";
import * as types from "../Types.js";
import * as attempts from "./attempts.js";
import * as explorer from "./explorer.js";
import * as row from "./row.js";

// Expired deadlines are not modelled: they only close a call as "may have run", and the caller may resend at any time.

/** Decision functions of the daemon that the model runs. Tests replace one of them with a faulty one. */
export interface ForeignRules {
    readonly applyKeyEvent: typeof arbiter.applyKeyEvent;
    readonly applyRowObservation: typeof rowClaim.applyRowObservation;
    readonly pickSettleStep: typeof rowClaim.pickSettleStep;
    /** If false, the removal of a row ignores its version. */
    readonly isRemovalConditional: boolean;
    /** If false, a retried claim write may overwrite another claim. */
    readonly isRetryConditional: boolean;
    /** If true, the table service restarts the versions of a removed row at 1. */
    readonly areVersionsReused: boolean;
}

export const foreignRules: ForeignRules = {
    applyKeyEvent: arbiter.applyKeyEvent,
    applyRowObservation: rowClaim.applyRowObservation,
    pickSettleStep: rowClaim.pickSettleStep,
    isRemovalConditional: true,
    isRetryConditional: true,
    areVersionsReused: false,
};

export interface ForeignBounds {
    readonly calls: number;
    readonly crashes: number;
    /** Number of writes that are lost, late or have a lost response, and of reads and writes that the store refuses. */
    readonly faults: number;
}

/** The attempt of one call; it has the same number as the call. */
interface ForeignAttempt extends attempts.Attempt {
    readonly vm: number;
    /** Next step of the claim, or an observation that the entry VM has not handled yet. */
    readonly claim: types.RowClaim | undefined;
    readonly pending: { readonly kind: "write" } | { readonly kind: "read" } | types.RowObservation | undefined;
    /** End of the attempt, to be recorded in the row; `read` is the row as the entry VM read it. */
    readonly settle: { readonly end: types.KeyEnd; readonly read: row.StoredRow | "absent" | undefined } | undefined;
}

export interface ForeignState {
    readonly calls: readonly attempts.Call[];
    /** Indexed like the calls. */
    readonly attempts: readonly (ForeignAttempt | undefined)[];
    /** State of the key in the memory of each entry VM. */
    readonly keys: readonly types.KeyState[];
    readonly store: row.RowStore;
    readonly crashesLeft: number;
    readonly faultsLeft: number;
}

type Step = explorer.Step<ForeignState>;

const vmCount = 2;
const signature = "s" as types.RequestSignature;

/**
 * Creates the model.
 *
 * @param rules - the decisions to check
 * @param bounds - limits on calls, crashes and faults
 * @returns the model
 */
export const createForeignModel = (rules: ForeignRules, bounds: ForeignBounds): explorer.Model<ForeignState> => {
    const setAttempt = (state: ForeignState, index: number, change: Partial<ForeignAttempt>): ForeignState => ({
        ...state,
        attempts: attempts.setItem(state.attempts, index, { ...state.attempts[index]!, ...change }),
    });

    /** Ends an attempt in the memory of its entry VM: stores `end` and reports `outcome` to the waiting calls. */
    const finishKey = (
        state: ForeignState,
        index: number,
        end: types.KeyEnd,
        outcome: errors.Outcome,
    ): ForeignState => {
        const { vm } = state.attempts[index]!;
        const { state: key } = rules.applyKeyEvent(state.keys[vm]!, { kind: "finish", attempt: index, end });
        return {
            ...state,
            keys: attempts.setItem(state.keys, vm, key),
            calls: state.calls.map(call => (call.attempt === index ? attempts.toClosedCall(call, outcome) : call)),
        };
    };

    const beginCall = (state: ForeignState, index: number, vm: number): ForeignState => {
        const event = { kind: "begin", signature, attempt: index, epoch: "live", hasRoom: true } as const;
        const result = rules.applyKeyEvent(state.keys[vm]!, event);
        const open: attempts.Call = { phase: "open", via: vm, attempt: undefined, outcome: undefined };
        const setCall = (call: attempts.Call): ForeignState => ({
            ...state,
            calls: attempts.setItem(state.calls, index, call),
            keys: attempts.setItem(state.keys, vm, result.state),
        });
        switch (result.decision.kind) {
            case "run": {
                const attempt: ForeignAttempt = {
                    phase: "claiming",
                    isAwaited: true,
                    hasStarted: false,
                    vm,
                    claim: rowClaim.createRowClaim(`t${index}`, signature),
                    pending: { kind: "write" },
                    settle: undefined,
                };
                return setAttempt(setCall({ ...open, attempt: index }), index, attempt);
            }
            case "wait":
                return setCall({ ...open, attempt: result.decision.attempt });
            case "replay":
                return setCall(attempts.toClosedCall(open, "ran"));
            case "refuse":
                return setCall(attempts.toClosedCall(open, attempts.toOutcome(result.decision.error)));
            case "recorded":
            case "ignored":
                throw new Error("unexpected decision on a request");
        }
    };

    const listCallSteps = (state: ForeignState, index: number): Step[] => {
        const call = state.calls[index]!;
        // Calls are interchangeable, so they are sent in numerical order.
        if (call.phase !== "unsent" || (index > 0 && state.calls[index - 1]!.phase === "unsent")) {
            return [];
        }
        // The entry VMs are interchangeable, so the first call goes to the first one.
        return Array.from({ length: index === 0 ? 1 : vmCount }, (_, vm) => ({
            label: `call ${index} arrives at VM ${vm}`,
            next: beginCall(state, index, vm),
        }));
    };

    const listWriteSteps = (state: ForeignState, write: row.RowWrite, label: string): row.WriteResult<ForeignState>[] =>
        row.listWriteResults(state.store, write, state.faultsLeft).map(({ store, observation, fault }) => ({
            label: `${label} ${observation.kind}${fault === "" ? "" : ` (${fault})`}`,
            state: { ...state, store, faultsLeft: state.faultsLeft - (fault === "" ? 0 : 1) },
            observation,
        }));

    const applyObservation = (state: ForeignState, index: number, observation: types.RowObservation): ForeignState => {
        const attempt = state.attempts[index]!;
        const { claim, step } = rules.applyRowObservation(attempt.claim!, observation);
        switch (step.kind) {
            case "write":
            case "read":
                return setAttempt(state, index, { claim, pending: step });
            case "granted":
                return setAttempt(state, index, { claim: undefined, pending: undefined, phase: "granted" });
            case "taken":
                return applyTakenClaim(state, index, step.decision);
            case "failed":
                return applyFailedClaim(state, index, step.mayExist);
        }
    };

    const dropAttempt = (state: ForeignState, index: number): ForeignState =>
        setAttempt(state, index, { claim: undefined, pending: undefined, phase: "gone", isAwaited: false });

    const applyTakenClaim = (state: ForeignState, index: number, decision: types.TakenDecision): ForeignState => {
        const dropped = dropAttempt(state, index);
        if (decision.kind === "replay") {
            return finishKey(dropped, index, { kind: "done", status: decision.status }, "ran");
        }
        return finishKey(dropped, index, { kind: "notRun" }, attempts.toOutcome(decision.error));
    };

    const applyFailedClaim = (state: ForeignState, index: number, mayExist: boolean): ForeignState => {
        const end = { kind: "notRun" } as const;
        const dropped = finishKey(dropAttempt(state, index), index, end, attempts.toOutcome("claim_store_unavailable"));
        return mayExist ? setAttempt(dropped, index, { settle: { end, read: undefined } }) : dropped;
    };

    const listClaimSteps = (state: ForeignState, index: number): Step[] => {
        const { pending, claim } = state.attempts[index]!;
        const name = `claim ${index}`;
        if (pending === undefined || claim === undefined) {
            return [];
        }
        if (pending.kind === "write") {
            const value = rowClaim.createClaimRow(claim, "");
            const isFirstWrite = !claim.mayExist;
            const version = isFirstWrite || rules.isRetryConditional ? 0 : undefined;
            return listWriteSteps(state, { version, value }, `${name} is written:`).map(result => ({
                label: result.label,
                next: setAttempt(result.state, index, { pending: result.observation }),
            }));
        }
        if (pending.kind === "read") {
            const read = { kind: "row", row: state.store.row?.value } as const;
            return [
                { label: `${name} is read back`, next: setAttempt(state, index, { pending: read }) },
                ...listFailedReads(state, name, failed =>
                    setAttempt(failed, index, { pending: { kind: "unavailable" } }),
                ),
            ];
        }
        return [{ label: `${name} proceeds`, next: applyObservation(state, index, pending) }];
    };

    const listFailedReads = (
        state: ForeignState,
        name: string,
        apply: (state: ForeignState) => ForeignState,
    ): Step[] =>
        state.faultsLeft === 0
            ? []
            : [{ label: `${name}: read fails`, next: apply({ ...state, faultsLeft: state.faultsLeft - 1 }) }];

    const listSettleSteps = (state: ForeignState, index: number): Step[] => {
        const { settle } = state.attempts[index]!;
        if (settle === undefined) {
            return [];
        }
        const name = `the end of attempt ${index}`;
        if (settle.read === undefined) {
            const read = state.store.row ?? "absent";
            return [{ label: `${name}: row is read`, next: setAttempt(state, index, { settle: { ...settle, read } }) }];
        }
        const stored = settle.read === "absent" ? undefined : settle.read;
        const step = rules.pickSettleStep(`t${index}`, settle.end, stored?.value);
        const finished = { settle: undefined };
        if (step.kind === "finished") {
            return [{ label: `${name} is settled`, next: setAttempt(state, index, finished) }];
        }
        const version = rules.isRemovalConditional || step.value !== undefined ? (stored?.version ?? 0) : undefined;
        return listWriteSteps(state, { version, value: step.value }, `${name} is written:`).map(result => {
            const isSettled = result.observation.kind === "committed";
            const retry = { settle: { ...settle, read: undefined } };
            return { label: result.label, next: setAttempt(result.state, index, isSettled ? finished : retry) };
        });
    };

    const listAttemptSteps = (state: ForeignState, index: number): Step[] =>
        attempts.listAttemptSteps(state.attempts[index]!).map(({ label, attempt, end }) => {
            const moved = setAttempt(state, index, attempt);
            const settleChange = end === undefined ? {} : { settle: { end, read: undefined } };
            const next =
                end === undefined
                    ? moved
                    : setAttempt(finishKey(moved, index, end, attempts.toEndOutcome(end)), index, settleChange);
            return { label: `attempt ${index} ${label}`, next };
        });

    const crashVm = (state: ForeignState, vm: number): ForeignState => ({
        ...state,
        crashesLeft: state.crashesLeft - 1,
        keys: attempts.setItem(state.keys, vm, arbiter.notRunState),
        calls: state.calls.map(call => (call.via === vm ? attempts.toClosedCall(call, "none") : call)),
        attempts: state.attempts.map(attempt =>
            attempt?.vm !== vm
                ? attempt
                : {
                      ...attempt,
                      ...attempts.toOrphaned(attempt),
                      claim: undefined,
                      pending: undefined,
                      settle: undefined,
                  },
        ),
    });

    const listLateWrites = (state: ForeignState): Step[] =>
        state.store.lateWrites.map((write, index) => {
            const lateWrites = state.store.lateWrites.filter((_, other) => other !== index);
            const store = row.applyWrite({ ...state.store, lateWrites }, write).store;
            return { label: "a late write is applied", next: { ...state, store } };
        });

    const listStepsForAttempt = (state: ForeignState, index: number): Step[] => {
        if (state.attempts[index] === undefined) {
            return [];
        }
        return [...listClaimSteps(state, index), ...listAttemptSteps(state, index), ...listSettleSteps(state, index)];
    };

    return {
        initial: {
            calls: Array.from({ length: bounds.calls }, () => attempts.unsentCall),
            attempts: Array.from({ length: bounds.calls }, () => undefined),
            keys: Array.from({ length: vmCount }, () => arbiter.notRunState),
            store: row.createStore(rules.areVersionsReused),
            crashesLeft: bounds.crashes,
            faultsLeft: bounds.faults,
        },
        listSteps: state => [
            ...state.calls.flatMap((_, index) => listCallSteps(state, index)),
            ...state.calls.flatMap((_, index) => listStepsForAttempt(state, index)),
            ...listLateWrites(state),
            ...(state.crashesLeft === 0
                ? []
                : state.keys.map((_, vm) => ({ label: `VM ${vm} crashes`, next: crashVm(state, vm) }))),
        ],
        checkState: state => attempts.checkGuarantees(state.calls, state.attempts),
    };
};

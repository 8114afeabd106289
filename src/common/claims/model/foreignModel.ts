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

// A deadline that passes is left out: it only closes a call with "may have run", and the caller resends at any time.

/** What the model takes from the daemon; a test replaces one rule by a broken one. */
export interface ForeignRules {
    readonly applyKeyEvent: typeof arbiter.applyKeyEvent;
    readonly applyRowObservation: typeof rowClaim.applyRowObservation;
    readonly pickSettleStep: typeof rowClaim.pickSettleStep;
    /** False lets the removal of a row ignore its version. */
    readonly isRemovalConditional: boolean;
    /** False lets a claim that is written again overwrite another one. */
    readonly isRepeatConditional: boolean;
    /** True stands for a table service that counts the versions of a removed row from 1 again. */
    readonly areVersionsReused: boolean;
}

export const foreignRules: ForeignRules = {
    applyKeyEvent: arbiter.applyKeyEvent,
    applyRowObservation: rowClaim.applyRowObservation,
    pickSettleStep: rowClaim.pickSettleStep,
    isRemovalConditional: true,
    isRepeatConditional: true,
    areVersionsReused: false,
};

export interface ForeignBounds {
    readonly calls: number;
    readonly crashes: number;
    /** Writes with a lost answer, and reads and writes that the store refuses. */
    readonly faults: number;
}

/** Progress of the attempt of one call; the call's number is the attempt's. */
interface ForeignAttempt extends attempts.Attempt {
    readonly vm: number;
    /** Next step of the claim, or the observation that the entry VM has not handled yet. */
    readonly claim: types.RowClaim | undefined;
    readonly pending: { readonly kind: "write" } | { readonly kind: "read" } | types.RowObservation | undefined;
    /** How the row has to be settled; `read` is what the entry VM has read of it. */
    readonly settle: { readonly end: types.KeyEnd; readonly read: row.StoredRow | "absent" | undefined } | undefined;
}

export interface ForeignState {
    readonly calls: readonly attempts.Call[];
    /** Parallel to the calls. */
    readonly attempts: readonly (ForeignAttempt | undefined)[];
    /** What each entry VM remembers of the key. */
    readonly keys: readonly types.KeyState[];
    readonly store: row.Store;
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
 * @param bounds - bounds of the model
 * @returns the model
 */
export const createForeignModel = (rules: ForeignRules, bounds: ForeignBounds): explorer.Model<ForeignState> => {
    const setAttempt = (state: ForeignState, index: number, change: Partial<ForeignAttempt>): ForeignState => ({
        ...state,
        attempts: attempts.setItem(state.attempts, index, { ...state.attempts[index]!, ...change }),
    });

    /** Ends an attempt in the memory of its entry VM; `end` is remembered, `outcome` is told to those who wait. */
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
            calls: state.calls.map(call => (call.attempt === index ? attempts.toClosed(call, outcome) : call)),
        };
    };

    const beginCall = (state: ForeignState, index: number, vm: number): ForeignState => {
        const event = { kind: "begin", signature, attempt: index, epoch: "live", hasRoom: true } as const;
        const result = rules.applyKeyEvent(state.keys[vm]!, event);
        const open: attempts.Call = { phase: "open", via: vm, attempt: undefined, answer: undefined };
        const setCall = (call: attempts.Call): ForeignState => ({
            ...state,
            calls: attempts.setItem(state.calls, index, call),
            keys: attempts.setItem(state.keys, vm, result.state),
        });
        switch (result.decision.kind) {
            case "run": {
                const attempt: ForeignAttempt = {
                    phase: "claiming",
                    isLive: true,
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
                return setCall(attempts.toClosed(open, "ran"));
            case "refuse":
                return setCall(attempts.toClosed(open, attempts.toOutcome(result.decision.error)));
            case "recorded":
            case "ignored":
                throw new Error("not an answer to a request");
        }
    };

    const listCallSteps = (state: ForeignState, index: number): Step[] => {
        const call = state.calls[index]!;
        // Calls differ only by their number, so they are sent in order.
        if (call.phase !== "unsent" || (index > 0 && state.calls[index - 1]!.phase === "unsent")) {
            return [];
        }
        // The entry VMs are alike, so the first call goes to the first one.
        return Array.from({ length: index === 0 ? 1 : vmCount }, (_, vm) => ({
            label: `call ${index} arrives at VM ${vm}`,
            next: beginCall(state, index, vm),
        }));
    };

    const listWriteSteps = (state: ForeignState, write: row.RowWrite, label: string): row.Written<ForeignState>[] =>
        row.listWrites(state.store, write, state.faultsLeft).map(({ store, observation, fault }) => ({
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
                return applyTaken(state, index, step.decision);
            case "failed":
                return applyFailed(state, index, step.mayExist);
        }
    };

    const dropAttempt = (state: ForeignState, index: number): ForeignState =>
        setAttempt(state, index, { claim: undefined, pending: undefined, phase: "gone", isLive: false });

    const applyTaken = (state: ForeignState, index: number, decision: types.TakenDecision): ForeignState => {
        const dropped = dropAttempt(state, index);
        if (decision.kind === "replay") {
            return finishKey(dropped, index, { kind: "done", status: decision.status }, "ran");
        }
        return finishKey(dropped, index, { kind: "notRun" }, attempts.toOutcome(decision.error));
    };

    const applyFailed = (state: ForeignState, index: number, mayExist: boolean): ForeignState => {
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
            const isFirst = !claim.mayExist;
            const version = isFirst || rules.isRepeatConditional ? 0 : undefined;
            return listWriteSteps(state, { version, value }, `${name} is written:`).map(written => ({
                label: written.label,
                next: setAttempt(written.state, index, { pending: written.observation }),
            }));
        }
        if (pending.kind === "read") {
            const read = { kind: "row", row: state.store.row?.value } as const;
            return [
                { label: `${name} is read back`, next: setAttempt(state, index, { pending: read }) },
                ...listUnavailable(state, name, failed =>
                    setAttempt(failed, index, { pending: { kind: "unavailable" } }),
                ),
            ];
        }
        return [{ label: `${name} goes on`, next: applyObservation(state, index, pending) }];
    };

    const listUnavailable = (
        state: ForeignState,
        name: string,
        apply: (state: ForeignState) => ForeignState,
    ): Step[] =>
        state.faultsLeft === 0
            ? []
            : [{ label: `${name} is not read`, next: apply({ ...state, faultsLeft: state.faultsLeft - 1 }) }];

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
        return listWriteSteps(state, { version, value: step.value }, `${name} is written:`).map(written => {
            const isSettled = written.observation.kind === "committed";
            const again = { settle: { ...settle, read: undefined } };
            return { label: written.label, next: setAttempt(written.state, index, isSettled ? finished : again) };
        });
    };

    const listAttemptSteps = (state: ForeignState, index: number): Step[] =>
        attempts.listAttemptSteps(state.attempts[index]!).map(({ label, attempt, end }) => {
            const moved = setAttempt(state, index, attempt);
            const settled = end === undefined ? {} : { settle: { end, read: undefined } };
            const next =
                end === undefined
                    ? moved
                    : setAttempt(finishKey(moved, index, end, attempts.toEndOutcome(end)), index, settled);
            return { label: `attempt ${index} ${label}`, next };
        });

    const crash = (state: ForeignState, vm: number): ForeignState => ({
        ...state,
        crashesLeft: state.crashesLeft - 1,
        keys: attempts.setItem(state.keys, vm, arbiter.notRunState),
        calls: state.calls.map(call => (call.via === vm ? attempts.toClosed(call, "none") : call)),
        attempts: state.attempts.map(attempt =>
            attempt?.vm !== vm
                ? attempt
                : {
                      ...attempt,
                      ...attempts.toOrphan(attempt),
                      claim: undefined,
                      pending: undefined,
                      settle: undefined,
                  },
        ),
    });

    const listLateWrites = (state: ForeignState): Step[] =>
        state.store.late.map((write, index) => {
            const late = state.store.late.filter((_, other) => other !== index);
            const store = row.applyWrite({ ...state.store, late }, write).store;
            return { label: "a late write reaches the store", next: { ...state, store } };
        });

    const listForAttempt = (state: ForeignState, index: number): Step[] => {
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
            ...state.calls.flatMap((_, index) => listForAttempt(state, index)),
            ...listLateWrites(state),
            ...(state.crashesLeft === 0
                ? []
                : state.keys.map((_, vm) => ({ label: `VM ${vm} crashes`, next: crash(state, vm) }))),
        ],
        checkState: state => attempts.checkPromises(state.calls, state.attempts),
    };
};

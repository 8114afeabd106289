/**
 * The part shared by both models: calls with their outcomes, and attempts at the target.
 */
import * as errorTable from "../../errors/errorTable.js";
import * as errors from "../../errors/Types.js";
import * as types from "../Types.js";

/** One attempt to send the call with the key to the target. */
export interface Attempt {
    /** `gone`: never sent or lost in transit, so it can no longer start. */
    readonly phase: "claiming" | "granted" | "inFlight" | "started" | "refused" | "gone";
    /** True while the entry VM that began the attempt still waits for its end. */
    readonly isAwaited: boolean;
    readonly hasStarted: boolean;
}

/** One request of the caller. All requests carry the same key. */
export interface Call {
    readonly phase: "unsent" | "open" | "closed";
    readonly via: number | undefined;
    /** Number of the attempt that the call runs or waits for. */
    readonly attempt: number | undefined;
    /** The outcome reported to the caller; `none` if the connection broke. */
    readonly outcome: errors.Outcome | "none" | undefined;
}

export interface AttemptStep {
    readonly label: string;
    readonly attempt: Attempt;
    /** Present if the entry VM observes or decides how the attempt ended. */
    readonly end?: types.KeyEnd;
}

export const unsentCall: Call = { phase: "unsent", via: undefined, attempt: undefined, outcome: undefined };

const done: types.KeyEnd = { kind: "done", status: 200 };
const notRun: types.KeyEnd = { kind: "notRun" };
const mayHaveRun: types.KeyEnd = { kind: "mayHaveRun", error: "outcome_unknown" };

/**
 * Lists the possible next steps of an attempt at the target, in the network and in its entry VM.
 *
 * @param attempt - the attempt
 * @returns the steps
 */
export const listAttemptSteps = (attempt: Attempt): readonly AttemptStep[] => [
    ...listNetworkSteps(attempt),
    ...(attempt.isAwaited ? listEntryVmSteps(attempt) : []),
];

const listNetworkSteps = (attempt: Attempt): readonly AttemptStep[] => {
    if (attempt.phase !== "inFlight") {
        return [];
    }
    return [
        { label: "starts at the target", attempt: { ...attempt, phase: "started", hasStarted: true } },
        { label: "is lost in transit", attempt: { ...attempt, phase: "gone" } },
        { label: "is refused by the target", attempt: { ...attempt, phase: "refused" } },
    ];
};

const listEntryVmSteps = (attempt: Attempt): readonly AttemptStep[] => {
    const ended = { ...attempt, isAwaited: false };
    const abandonStep = { label: "is abandoned", attempt: ended, end: mayHaveRun };
    switch (attempt.phase) {
        case "claiming":
            return [];
        case "granted":
            return [
                { label: "is not sent", attempt: { ...ended, phase: "gone" }, end: notRun },
                { label: "is sent", attempt: { ...attempt, phase: "inFlight" } },
            ];
        case "inFlight":
        case "gone":
            return [abandonStep];
        case "started":
            return [abandonStep, { label: "receives the response of the target", attempt: ended, end: done }];
        case "refused":
            return [abandonStep, { label: "is reported as refused", attempt: ended, end: notRun }];
    }
};

/**
 * Detaches an attempt from its crashed entry VM; if it was already sent, it may still start.
 *
 * @param attempt - the attempt
 * @returns the attempt, which no entry VM waits for any more
 */
export const toOrphaned = (attempt: Attempt): Attempt => ({
    ...attempt,
    isAwaited: false,
    phase: attempt.phase === "granted" || attempt.phase === "claiming" ? "gone" : attempt.phase,
});

/**
 * Closes a call that is still open.
 *
 * @param call - the call
 * @param outcome - the outcome reported to the caller
 * @returns the closed call, or the same call if it was already closed
 */
export const toClosedCall = (call: Call, outcome: errors.Outcome | "none"): Call =>
    call.phase === "closed" ? call : { ...call, phase: "closed", outcome };

export const toOutcome = (error: errors.ErrorKind): errors.Outcome => errorTable.errorTable[error].outcome;

/**
 * Computes the outcome that is reported to callers when an attempt ends.
 *
 * @param end - how the attempt ended
 * @returns the outcome
 */
export const toEndOutcome = (end: types.KeyEnd): errors.Outcome => {
    switch (end.kind) {
        case "done":
            return "ran";
        case "notRun":
            return "not-run";
        case "mayHaveRun":
            return toOutcome(end.error);
    }
};

/**
 * Checks the guarantees given to the caller.
 *
 * @param calls - the calls with one key
 * @param attempts - the attempts with that key; undefined if not begun yet
 * @returns the violated guarantee, or undefined if all hold
 */
export const checkGuarantees = (
    calls: readonly Call[],
    attempts: readonly (Attempt | undefined)[],
): string | undefined => {
    const startCount = attempts.filter(attempt => attempt?.hasStarted === true).length;
    if (startCount > 1) {
        return "the key started twice";
    }
    for (const { outcome, attempt } of calls) {
        // All later states are checked as well, so this also ensures that the attempt never starts.
        if (outcome === "not-run" && attempt !== undefined && attempts[attempt]?.hasStarted === true) {
            return "a call that was reported not-run has started";
        }
        if (outcome === "ran" && startCount === 0) {
            return "a call was reported as run, but the key has not started";
        }
    }
    return undefined;
};

/**
 * Replaces one element of an array.
 *
 * @param items - the elements
 * @param index - the index of the element to replace
 * @param item - the new element
 * @returns a copy
 */
export const setItem = <T>(items: readonly T[], index: number, item: T): readonly T[] => items.with(index, item);

/**
 * The part of both models that is the same: attempts at the target, calls and their answers.
 */
import * as errorTable from "../../errors/errorTable.js";
import * as errors from "../../errors/Types.js";
import * as types from "../Types.js";

/** One sending of the key to the target. */
export interface Attempt {
    /** `gone`: it was never sent or was lost on the way, so it cannot start. */
    readonly phase: "claiming" | "granted" | "inFlight" | "started" | "refused" | "gone";
    /** True while the entry VM that began it still waits for its end. */
    readonly isLive: boolean;
    readonly hasStarted: boolean;
}

/** One request of the caller; all carry the same key. */
export interface Call {
    readonly phase: "unsent" | "open" | "closed";
    readonly via: number | undefined;
    /** The attempt that it runs or waits for. */
    readonly attempt: number | undefined;
    /** `none` if the connection broke. */
    readonly answer: errors.Outcome | "none" | undefined;
}

export interface AttemptStep {
    readonly label: string;
    readonly attempt: Attempt;
    /** Present if the entry VM learns or decides how the attempt ended. */
    readonly end?: types.KeyEnd;
}

export const unsentCall: Call = { phase: "unsent", via: undefined, attempt: undefined, answer: undefined };

const done: types.KeyEnd = { kind: "done", status: 200 };
const notRun: types.KeyEnd = { kind: "notRun" };
const mayHaveRun: types.KeyEnd = { kind: "mayHaveRun", error: "outcome_unknown" };

/**
 * Lists what can happen next to an attempt, at the target, on the way and in its entry VM.
 *
 * @param attempt - the attempt
 * @returns the steps
 */
export const listAttemptSteps = (attempt: Attempt): readonly AttemptStep[] => [
    ...listNetworkSteps(attempt),
    ...(attempt.isLive ? listOwnerSteps(attempt) : []),
];

const listNetworkSteps = (attempt: Attempt): readonly AttemptStep[] => {
    if (attempt.phase !== "inFlight") {
        return [];
    }
    return [
        { label: "starts at the target", attempt: { ...attempt, phase: "started", hasStarted: true } },
        { label: "is lost on the way", attempt: { ...attempt, phase: "gone" } },
        { label: "is refused by the target", attempt: { ...attempt, phase: "refused" } },
    ];
};

const listOwnerSteps = (attempt: Attempt): readonly AttemptStep[] => {
    const ended = { ...attempt, isLive: false };
    const giveUp = { label: "is given up", attempt: ended, end: mayHaveRun };
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
            return [giveUp];
        case "started":
            return [giveUp, { label: "is answered by the target", attempt: ended, end: done }];
        case "refused":
            return [giveUp, { label: "is known to be refused", attempt: ended, end: notRun }];
    }
};

/**
 * Ends the attempts of an entry VM that has crashed; what was sent may still start.
 *
 * @param attempt - the attempt
 * @returns the attempt without its owner
 */
export const toOrphan = (attempt: Attempt): Attempt => ({
    ...attempt,
    isLive: false,
    phase: attempt.phase === "granted" || attempt.phase === "claiming" ? "gone" : attempt.phase,
});

/**
 * Closes a call that is still open.
 *
 * @param call - the call
 * @param answer - the outcome that the caller is told
 * @returns the closed call, or the same call if it was closed already
 */
export const toClosed = (call: Call, answer: errors.Outcome | "none"): Call =>
    call.phase === "closed" ? call : { ...call, phase: "closed", answer };

export const toOutcome = (error: errors.ErrorKind): errors.Outcome => errorTable.errorTable[error].outcome;

/**
 * Computes the outcome that callers are told when an attempt ends.
 *
 * @param end - the end
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
 * Checks the promises to the caller.
 *
 * @param calls - the calls with one key
 * @param attempts - the attempts with that key, as far as they have begun
 * @returns the broken promise, or undefined
 */
export const checkPromises = (
    calls: readonly Call[],
    attempts: readonly (Attempt | undefined)[],
): string | undefined => {
    const starts = attempts.filter(attempt => attempt?.hasStarted === true).length;
    if (starts > 1) {
        return "the key started twice";
    }
    for (const { answer, attempt } of calls) {
        // Since all later states are checked as well, this also says that the attempt will not start.
        if (answer === "not-run" && attempt !== undefined && attempts[attempt]?.hasStarted === true) {
            return "a call that was answered not-run has started";
        }
        if (answer === "ran" && starts === 0) {
            return "a call was answered ran, but the key has not started";
        }
    }
    return undefined;
};

/**
 * Replaces one element.
 *
 * @param items - the elements
 * @param index - position of the element to replace
 * @param item - the new element
 * @returns a copy
 */
export const setItem = <T>(items: readonly T[], index: number, item: T): readonly T[] => items.with(index, item);

/**
 * Model of issued keys: the arbiter A, an entry VM B that forwards calls to A, one caller and one target.
 */
import * as errors from "../../errors/Types.js";
import * as arbiter from "../arbiter.js";
import * as types from "../Types.js";
import * as attempts from "./attempts.js";
import * as explorer from "./explorer.js";

/** Decision functions of the daemon that the model runs. Tests replace one of them with a faulty one. */
export interface IssuedRules {
    readonly applyKeyEvent: typeof arbiter.applyKeyEvent;
    readonly computeEpochStatus: typeof arbiter.computeEpochStatus;
    /** Error that an entry VM returns if it cannot reach the arbiter. */
    readonly arbiterGoneError: errors.ErrorKind;
}

export const issuedRules: IssuedRules = {
    applyKeyEvent: arbiter.applyKeyEvent,
    computeEpochStatus: arbiter.computeEpochStatus,
    arbiterGoneError: "arbiter_gone",
};

interface IssuedCall extends attempts.Call {
    /** True while the forwarded call is in transit from B to A. */
    readonly isForwarded: boolean;
}

export interface IssuedState {
    readonly calls: readonly IssuedCall[];
    readonly attempts: readonly attempts.Attempt[];
    /** True after A has crashed; after a restart it is another incarnation. */
    readonly isArbiterGone: boolean;
    readonly epoch: number;
    readonly key: types.KeyState;
}

const vmA = 0;
const vmB = 1;
const keyEpoch = 0;
// With a retention of one epoch, the key expires in epoch 2.
const lastEpoch = 2;
const signature = "s" as types.RequestSignature;

/**
 * Creates the model.
 *
 * @param rules - the decisions to check
 * @param callCount - how many times the caller sends the key
 * @returns the model
 */
export const createIssuedModel = (rules: IssuedRules, callCount: number): explorer.Model<IssuedState> => {
    const setCall = (state: IssuedState, index: number, change: Partial<IssuedCall>): IssuedState => ({
        ...state,
        calls: attempts.setItem(state.calls, index, { ...state.calls[index]!, ...change }),
    });

    const closeCall = (state: IssuedState, index: number, outcome: errors.Outcome | "none"): IssuedState =>
        setCall(state, index, attempts.toClosedCall(state.calls[index]!, outcome));

    const beginCall = (state: IssuedState, index: number, hasRoom: boolean): IssuedState => {
        const oldest = arbiter.computeOldestEpoch(state.epoch, arbiter.epochMs);
        const epoch = rules.computeEpochStatus(keyEpoch, state.epoch, oldest);
        const attempt = state.attempts.length;
        const result = rules.applyKeyEvent(state.key, { kind: "begin", signature, attempt, epoch, hasRoom });
        const next = { ...state, key: result.state };
        switch (result.decision.kind) {
            case "run": {
                const grantedAttempt = { phase: "granted", isAwaited: true, hasStarted: false } as const;
                return setCall({ ...next, attempts: [...next.attempts, grantedAttempt] }, index, { attempt });
            }
            case "wait":
                return setCall(next, index, { attempt: result.decision.attempt });
            case "replay":
                return closeCall(next, index, "ran");
            case "refuse":
                return closeCall(next, index, attempts.toOutcome(result.decision.error));
            case "recorded":
            case "ignored":
                throw new Error("unexpected decision on a request");
        }
    };

    const listArrivals = (state: IssuedState, index: number): IssuedState[] => {
        if (state.isArbiterGone) {
            return [closeCall(state, index, attempts.toOutcome(rules.arbiterGoneError))];
        }
        // The table may be full of other keys.
        return [true, false].map(hasRoom => beginCall(state, index, hasRoom));
    };

    const listCallSteps = (state: IssuedState, index: number): explorer.Step<IssuedState>[] => {
        const call = state.calls[index]!;
        const name = `call ${index}`;
        const steps: explorer.Step<IssuedState>[] = [];
        // Calls are interchangeable, so they are sent in numerical order.
        if (call.phase === "unsent" && (index === 0 || state.calls[index - 1]!.phase !== "unsent")) {
            const viaA = setCall(state, index, { phase: "open", via: vmA });
            const viaB = setCall(state, index, { phase: "open", via: vmB, isForwarded: true });
            steps.push(...listArrivals(viaA, index).map(next => ({ label: `${name} arrives at A`, next })));
            steps.push({ label: `${name} is sent through B`, next: viaB });
        }
        if (call.isForwarded) {
            const arrived = setCall(state, index, { isForwarded: false });
            const unreachable = closeCall(arrived, index, attempts.toOutcome(rules.arbiterGoneError));
            steps.push(...listArrivals(arrived, index).map(next => ({ label: `${name} arrives from B`, next })));
            steps.push({ label: `${name} is lost after B`, next: unreachable });
        }
        if (call.phase === "open") {
            const expired = closeCall(state, index, attempts.toOutcome("deadline_exceeded"));
            steps.push({ label: `deadline of ${name} passes`, next: expired });
        }
        return steps;
    };

    const finishAttempt = (state: IssuedState, attempt: number, end: types.KeyEnd): IssuedState => {
        const { state: key } = rules.applyKeyEvent(state.key, { kind: "finish", attempt, end });
        const calls = state.calls.map(call =>
            call.attempt === attempt ? { ...call, ...attempts.toClosedCall(call, attempts.toEndOutcome(end)) } : call,
        );
        return { ...state, key, calls };
    };

    const listAttemptSteps = (state: IssuedState, index: number): explorer.Step<IssuedState>[] =>
        attempts.listAttemptSteps(state.attempts[index]!).map(({ label, attempt, end }) => {
            const moved = { ...state, attempts: attempts.setItem(state.attempts, index, attempt) };
            const next = end === undefined ? moved : finishAttempt(moved, index, end);
            return { label: `attempt ${index} ${label}`, next };
        });

    const crashArbiter = (state: IssuedState): IssuedState => ({
        ...state,
        isArbiterGone: true,
        key: arbiter.notRunState,
        attempts: state.attempts.map(attempts.toOrphaned),
        calls: state.calls.map(call => {
            if (call.phase !== "open" || call.isForwarded) {
                return call;
            }
            // B sees its connection to A break and responds; a caller connected to A only loses its connection.
            const outcome = call.via === vmA ? "none" : attempts.toOutcome(rules.arbiterGoneError);
            return { ...call, ...attempts.toClosedCall(call, outcome) };
        }),
    });

    const crashForwarder = (state: IssuedState): IssuedState => ({
        ...state,
        calls: state.calls.map(call =>
            call.phase === "open" && call.via === vmB ? { ...call, ...attempts.toClosedCall(call, "none") } : call,
        ),
    });

    const advanceEpoch = (state: IssuedState): IssuedState => {
        const epoch = state.epoch + 1;
        const isExpired = keyEpoch < arbiter.computeOldestEpoch(epoch, arbiter.epochMs);
        return { ...state, epoch, key: isExpired ? arbiter.notRunState : state.key };
    };

    return {
        initial: {
            calls: Array.from({ length: callCount }, () => ({ ...attempts.unsentCall, isForwarded: false })),
            attempts: [],
            isArbiterGone: false,
            epoch: 0,
            key: arbiter.notRunState,
        },
        listSteps: state => [
            ...state.calls.flatMap((_, index) => listCallSteps(state, index)),
            ...state.attempts.flatMap((_, index) => listAttemptSteps(state, index)),
            ...(state.isArbiterGone ? [] : [{ label: "A crashes", next: crashArbiter(state) }]),
            ...(state.epoch < lastEpoch ? [{ label: "an epoch passes", next: advanceEpoch(state) }] : []),
            { label: "B crashes", next: crashForwarder(state) },
        ],
        checkState: state => attempts.checkGuarantees(state.calls, state.attempts),
    };
};

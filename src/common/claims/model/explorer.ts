/**
 * Breadth-first search over all states of a model. xstate's `getAdjacencyMap` keeps every transition in memory and
 * continues after a violation; this search keeps one predecessor per state and returns the shortest trace.
 */

/** A transition of a model, with a label for the trace. */
export interface Step<State> {
    readonly label: string;
    readonly next: State;
}

export interface Model<State> {
    readonly initial: State;
    listSteps(state: State): readonly Step<State>[];
    /** Returns the invariant that a state violates, or undefined if all hold. */
    checkState(state: State): string | undefined;
}

export type Exploration =
    | { readonly kind: "holds"; readonly states: number; readonly steps: number; readonly depth: number }
    | {
          readonly kind: "refuted";
          readonly violation: string;
          readonly trace: readonly string[];
          readonly states: number;
      }
    /** The search reached its state limit, so nothing is proved. */
    | { readonly kind: "incomplete"; readonly states: number };

interface VisitedState<State> {
    readonly state: State;
    readonly depth: number;
    readonly label: string;
    readonly previous: VisitedState<State> | undefined;
}

/**
 * Explores all reachable states breadth-first.
 *
 * @param model - the model; equal states must have equal JSON
 * @param maxStates - limit on the number of states
 * @returns the size of the state space, or the shortest trace to a violation
 */
export const runExploration = <State>(model: Model<State>, maxStates: number): Exploration => {
    const seen = new Set([JSON.stringify(model.initial)]);
    const queue: VisitedState<State>[] = [{ state: model.initial, depth: 0, label: "", previous: undefined }];
    let steps = 0;
    let depth = 0;
    for (let index = 0; index < queue.length; index++) {
        const visit = queue[index]!;
        depth = visit.depth;
        const violation = model.checkState(visit.state);
        if (violation !== undefined) {
            return { kind: "refuted", violation, trace: listLabels(visit), states: seen.size };
        }
        for (const { label, next } of model.listSteps(visit.state)) {
            steps++;
            const text = JSON.stringify(next);
            if (!seen.has(text)) {
                seen.add(text);
                queue.push({ state: next, depth: depth + 1, label, previous: visit });
            }
        }
        if (seen.size > maxStates) {
            return { kind: "incomplete", states: seen.size };
        }
    }
    return { kind: "holds", states: seen.size, steps, depth };
};

const listLabels = <State>(last: VisitedState<State>): readonly string[] => {
    const labels: string[] = [];
    for (let visit = last; visit.previous !== undefined; visit = visit.previous) {
        labels.push(visit.label);
    }
    return labels.reverse();
};

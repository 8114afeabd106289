/**
 * Model of two entry VMs that both take themselves for the owner of a cold target. It runs the decision functions of the
 * daemon against a table whose requests and answers may be delayed, lost or refused. A VM that takes no step while time
 * passes is a paused one, or one whose reads fail.
 */
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as coldLease from "./coldLease.js";
import * as types from "./Types.js";

/** One tick is the unit of time. */
export interface ModelSettings {
    readonly lease: types.LeaseSettings;
    readonly coldSlots: number;
    /** Writes of one VM that may be on their way at a time, lost ones included. */
    readonly maxWrites: number;
    readonly fault: ModelFault;
}

/**
 * Deliberate faults that the explorer has to find: the lease counted from the answer, a contender that does not wait,
 * a release while a call is in flight, a call that may outlive the lease, and a lost answer taken for a success.
 */
export type ModelFault = "none" | "countFromAnswer" | "noWait" | "releaseInFlight" | "longCall" | "assumeCommitted";

interface SentWrite {
    readonly write: types.LeaseWrite;
    readonly outcome: "pending" | "committed" | "conflicted";
    /** False after its answer was lost; it may still be applied. */
    readonly isAwaited: boolean;
}

export interface ModelVm {
    readonly lease: types.LeaseState;
    /** A read that the table has answered and that has not arrived. */
    readonly reading: types.ReadRow | undefined;
    readonly sent: readonly SentWrite[];
    /** Ends of the calls in flight. */
    readonly calls: readonly number[];
}

export interface ModelState {
    readonly nowMs: number;
    readonly table: types.ReadRow;
    readonly vms: readonly ModelVm[];
    readonly tokens: number;
    /** The way to this state, newest first; not part of its identity. */
    readonly trace: Trace | undefined;
}

export interface Trace {
    readonly event: string;
    readonly before: Trace | undefined;
}

export interface ModelEvent {
    readonly type: "tick" | "step" | "arrive" | "apply" | "answer" | "refuse" | "lose" | "drop" | CallEvent;
    readonly vm: number;
    /** Index of the write. */
    readonly write: number;
}

type CallEvent = "begin" | "end" | "giveUp" | "ask";

export const firstIncarnation = ids.toIncarnationId("a");
export const incarnations: readonly shared.IncarnationId[] = [firstIncarnation, ids.toIncarnationId("b")];

/**
 * Creates the state before any step; both VMs want the lease.
 *
 * @param settings - durations and fault
 * @returns the state
 */
export const createInitialState = (settings: ModelSettings): ModelState => {
    const lease = coldLease.applyLeaseEvent(
        coldLease.initialLease,
        { kind: "wanted", untilMs: Infinity },
        settings.lease,
        0,
    );
    const vm: ModelVm = { lease, reading: undefined, sent: [], calls: [] };
    return { nowMs: 0, table: { version: 0, row: undefined }, vms: [vm, vm], tokens: 0, trace: undefined };
};

/**
 * Counts the calls in flight at the target.
 *
 * @param state - the state
 * @returns calls of both VMs
 */
export const countCalls = (state: ModelState): number => state.vms.reduce((sum, vm) => sum + vm.calls.length, 0);

const computeStep = (state: ModelState, index: number, settings: ModelSettings): types.LeaseStep => {
    const vm = getVm(state, index);
    const self = getIncarnation(index);
    const step = coldLease.computeLeaseStep(vm.lease, self, settings.lease, state.nowMs);
    const isImpatient = settings.fault === "noWait" && step.kind === "wait" && vm.lease.write === undefined;
    return isImpatient && getHeldUntilMs(vm, state.nowMs) === undefined && vm.lease.seen !== undefined
        ? { kind: "write", write: "take", version: vm.lease.seen.version }
        : step;
};

const getHeldUntilMs = (vm: ModelVm, nowMs: number): number | undefined =>
    vm.lease.endMs !== undefined && nowMs < vm.lease.endMs ? vm.lease.endMs : undefined;

const computeCallEndMs = (vm: ModelVm, nowMs: number, settings: ModelSettings): number | undefined => {
    const callEndMs = coldLease.computeCallEndMs(getHeldUntilMs(vm, nowMs), 1, 0, nowMs);
    return callEndMs !== undefined && settings.fault === "longCall" ? callEndMs + 2 : callEndMs;
};

const getVm = (state: ModelState, index: number): ModelVm => {
    const vm = state.vms[index];
    if (vm === undefined) {
        throw new Error("no such VM");
    }
    return vm;
};

const getIncarnation = (index: number): shared.IncarnationId => incarnations[index] ?? firstIncarnation;

const listWriteEvents = (vm: ModelVm, index: number): readonly ModelEvent[] =>
    vm.sent.flatMap((sent, write) => {
        const kinds: ModelEvent["type"][] = [];
        if (sent.outcome === "pending") {
            kinds.push("apply", sent.isAwaited ? "refuse" : "drop");
        } else {
            kinds.push("answer");
        }
        if (sent.isAwaited) {
            kinds.push("lose");
        }
        return kinds.map(type => ({ type, vm: index, write }));
    });

/**
 * Lists what can happen next.
 *
 * @param state - the state
 * @param settings - durations and fault
 * @returns the events
 */
export const listEvents = (state: ModelState, settings: ModelSettings): readonly ModelEvent[] => {
    const events: ModelEvent[] = [{ type: "tick", vm: 0, write: 0 }];
    state.vms.forEach((vm, index) => {
        const add = (type: ModelEvent["type"]): number => events.push({ type, vm: index, write: 0 });
        const step = computeStep(state, index, settings);
        if (vm.reading !== undefined) {
            add("arrive");
        } else if (step.kind === "read") {
            add("step");
        } else if (step.kind === "write" && vm.sent.length < settings.maxWrites) {
            add("step");
        }
        events.push(...listWriteEvents(vm, index));
        if (computeCallEndMs(vm, state.nowMs, settings) !== undefined && vm.calls.length < settings.coldSlots) {
            add("begin");
        }
        if (vm.calls.length > 0) {
            add("end");
        }
        const mayGiveUp = vm.calls.length === 0 || settings.fault === "releaseInFlight";
        if (getHeldUntilMs(vm, state.nowMs) !== undefined && mayGiveUp) {
            add("giveUp");
        }
        if (vm.lease.wantedUntilMs === -Infinity) {
            add("ask");
        }
    });
    return events;
};

const setVm = (state: ModelState, index: number, vm: ModelVm): ModelState => ({
    ...state,
    vms: state.vms.map((other, at) => (at === index ? vm : other)),
});

const applyLease = (state: ModelState, vm: ModelVm, event: types.LeaseEvent, settings: ModelSettings): ModelVm => ({
    ...vm,
    lease: coldLease.applyLeaseEvent(vm.lease, event, settings.lease, state.nowMs),
});

const runStep = (state: ModelState, index: number, settings: ModelSettings): ModelState => {
    const vm = getVm(state, index);
    const step = computeStep(state, index, settings);
    if (step.kind === "read") {
        return setVm(state, index, { ...vm, reading: state.table });
    }
    if (step.kind !== "write") {
        return state;
    }
    const holder = step.write === "release" ? undefined : getIncarnation(index);
    const write: types.LeaseWrite = {
        kind: step.write,
        version: step.version,
        row: { holder, token: String(state.tokens) },
        sentAtMs: state.nowMs,
    };
    const next = applyLease(state, vm, { kind: "writeSent", write }, settings);
    const sent: SentWrite = { write, outcome: "pending", isAwaited: true };
    return setVm({ ...state, tokens: state.tokens + 1 }, index, { ...next, sent: [...vm.sent, sent] });
};

const removeWrite = (vm: ModelVm, at: number): ModelVm => ({ ...vm, sent: vm.sent.filter((_, other) => other !== at) });

const applyWrite = (state: ModelState, index: number, at: number): ModelState => {
    const vm = getVm(state, index);
    const target = vm.sent[at];
    if (target === undefined) {
        return state;
    }
    const isMatch = target.write.version === state.table.version;
    const outcome = isMatch ? "committed" : "conflicted";
    const table = isMatch ? { version: state.table.version + 1, row: target.write.row } : state.table;
    const sent = vm.sent.map((other, position) => (position === at ? ({ ...other, outcome } as const) : other));
    const next = setVm({ ...state, table }, index, { ...vm, sent });
    // Nobody waits for the outcome of a write whose answer was lost.
    return target.isAwaited ? next : setVm(next, index, removeWrite({ ...vm, sent }, at));
};

const runAnswer = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => {
    const vm = getVm(state, event.vm);
    const sent = vm.sent[event.write];
    if (sent === undefined || sent.outcome === "pending") {
        return state;
    }
    const isLate = settings.fault === "countFromAnswer" && vm.lease.write !== undefined;
    const lease = isLate ? { ...vm.lease, write: { ...sent.write, sentAtMs: state.nowMs } } : vm.lease;
    const next = applyLease(state, { ...vm, lease }, { kind: sent.outcome }, settings);
    return setVm(state, event.vm, removeWrite(next, event.write));
};

const runLoss = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => {
    const vm = getVm(state, event.vm);
    const isTrusting = settings.fault === "assumeCommitted";
    const next = applyLease(state, vm, { kind: isTrusting ? "committed" : "unknown" }, settings);
    const sent = vm.sent.map((other, at) => (at === event.write ? { ...other, isAwaited: false } : other));
    const isPending = vm.sent[event.write]?.outcome === "pending";
    const lost = { ...next, sent };
    return setVm(state, event.vm, isPending ? lost : removeWrite(lost, event.write));
};

const runTick = (state: ModelState): ModelState => {
    const nowMs = state.nowMs + 1;
    // The target ends a call at its deadline even if the sender is paused.
    const vms = state.vms.map(vm => ({ ...vm, calls: vm.calls.filter(endMs => endMs > nowMs) }));
    return { ...state, nowMs, vms };
};

const runEvent = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => {
    const vm = getVm(state, event.vm);
    const set = (next: ModelVm): ModelState => setVm(state, event.vm, next);
    const apply = (lease: types.LeaseEvent): ModelVm => applyLease(state, vm, lease, settings);
    switch (event.type) {
        case "tick":
            return runTick(state);
        case "step":
            return runStep(state, event.vm, settings);
        case "arrive":
            return vm.reading === undefined
                ? state
                : set({ ...apply({ kind: "read", read: vm.reading }), reading: undefined });
        case "apply":
            return applyWrite(state, event.vm, event.write);
        case "answer":
            return runAnswer(state, event, settings);
        case "refuse":
            return set(removeWrite(apply({ kind: "unavailable" }), event.write));
        case "lose":
            return runLoss(state, event, settings);
        case "drop":
            return set(removeWrite(vm, event.write));
        case "begin":
            return set({ ...vm, calls: [...vm.calls, computeCallEndMs(vm, state.nowMs, settings) ?? state.nowMs] });
        case "end":
            return set({ ...vm, calls: vm.calls.slice(1) });
        case "giveUp":
            return set(apply({ kind: "givenUp" }));
        case "ask":
            return set(apply({ kind: "wanted", untilMs: Infinity }));
    }
};

/** Versions only grow, so a write that waits for a former one can have no effect any more. */
const removeDeadWrites = (state: ModelState): ModelState => ({
    ...state,
    vms: state.vms.map(vm => {
        const isAlive = (sent: SentWrite): boolean => sent.isAwaited || sent.write.version === state.table.version;
        return vm.sent.every(isAlive) ? vm : { ...vm, sent: vm.sent.filter(isAlive) };
    }),
});

/**
 * Formats an event for a trace.
 *
 * @param event - the event
 * @returns the text, as in `a:apply`
 */
export const formatEvent = (event: ModelEvent): string =>
    event.type === "tick"
        ? "tick"
        : `${getIncarnation(event.vm)}:${event.type}${event.write > 0 ? String(event.write) : ""}`;

/**
 * Computes the state after an event.
 *
 * @param state - the state before it
 * @param event - one of those that {@link listEvents} lists
 * @param settings - durations and fault
 * @returns the state after it
 */
export const applyModelEvent = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => ({
    ...removeDeadWrites(runEvent(state, event, settings)),
    trace: { event: formatEvent(event), before: state.trace },
});

/**
 * Lists the events that led to a state.
 *
 * @param state - the state
 * @returns the events, oldest first
 */
export const listTrace = (state: ModelState): readonly string[] => {
    const list: string[] = [];
    for (let step = state.trace; step !== undefined; step = step.before) {
        list.unshift(step.event);
    }
    return list;
};

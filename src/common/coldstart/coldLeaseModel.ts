/**
 * Model of two entry VMs that both consider themselves the owner of a cold target. It runs the decision functions of
 * the daemon against a table whose requests and responses may be delayed, lost or refused. A VM that takes no step
 * while time passes models a paused VM or one whose reads fail.
 */
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as coldLease from "./coldLease.js";
import * as types from "./Types.js";

/** Settings of the model; all durations are in ticks. */
export interface ModelSettings {
    readonly lease: types.LeaseSettings;
    readonly coldSlots: number;
    /** Maximum number of writes of one VM in transit at a time, lost ones included. */
    readonly maxWrites: number;
    readonly fault: ModelFault;
}

/**
 * Injected faults that the model check must detect: a lease counted from the response, a contender that does not wait,
 * a release while a call is in flight, a call that may outlive the lease, and a lost response treated as a success.
 */
export type ModelFault = "none" | "countFromResponse" | "noWait" | "releaseInFlight" | "longCall" | "assumeCommitted";

interface SentWrite {
    readonly write: types.LeaseWrite;
    readonly outcome: "pending" | "committed" | "conflicted";
    /** False after its response was lost; the write may still be applied. */
    readonly isAwaited: boolean;
}

export interface ModelVm {
    readonly lease: types.LeaseState;
    /** Result of a read whose response has not arrived yet. */
    readonly pendingRead: types.ReadRow | undefined;
    readonly sentWrites: readonly SentWrite[];
    /** Latest end of each call in flight. */
    readonly callEndsMs: readonly number[];
}

export interface ModelState {
    readonly nowMs: number;
    readonly table: types.ReadRow;
    readonly vms: readonly ModelVm[];
    readonly tokenCount: number;
    /** Events that led to this state, newest first; not part of the state's identity. */
    readonly trace: Trace | undefined;
}

export interface Trace {
    readonly event: string;
    readonly previous: Trace | undefined;
}

export interface ModelEvent {
    readonly type: "tick" | "step" | "arrive" | "apply" | "respond" | "refuse" | "lose" | "drop" | CallEvent;
    readonly vm: number;
    /** Index of the write in `sentWrites`; 0 if the event concerns no write. */
    readonly write: number;
}

type CallEvent = "begin" | "end" | "release" | "request";

export const firstIncarnation = ids.toIncarnationId("a");
export const incarnations: readonly shared.IncarnationId[] = [firstIncarnation, ids.toIncarnationId("b")];

/**
 * Creates the initial state, in which both VMs want the lease.
 *
 * @param settings - durations and injected fault
 * @returns the state
 */
export const createInitialState = (settings: ModelSettings): ModelState => {
    const lease = coldLease.applyLeaseEvent(
        coldLease.initialLease,
        { kind: "wanted", untilMs: Infinity },
        settings.lease,
        0,
    );
    const vm: ModelVm = { lease, pendingRead: undefined, sentWrites: [], callEndsMs: [] };
    return { nowMs: 0, table: { version: 0, row: undefined }, vms: [vm, vm], tokenCount: 0, trace: undefined };
};

/**
 * Counts the calls in flight at the target.
 *
 * @param state - the state
 * @returns the number of calls of both VMs
 */
export const countCalls = (state: ModelState): number => state.vms.reduce((sum, vm) => sum + vm.callEndsMs.length, 0);

const computeStep = (state: ModelState, index: number, settings: ModelSettings): types.LeaseStep => {
    const vm = getVm(state, index);
    const self = getIncarnation(index);
    const step = coldLease.computeLeaseStep(vm.lease, self, settings.lease, state.nowMs);
    const skipsWait = settings.fault === "noWait" && step.kind === "wait" && vm.lease.pendingWrite === undefined;
    return skipsWait && getHeldUntilMs(vm, state.nowMs) === undefined && vm.lease.observed !== undefined
        ? { kind: "write", write: "take", version: vm.lease.observed.version }
        : step;
};

const getHeldUntilMs = (vm: ModelVm, nowMs: number): number | undefined =>
    vm.lease.leaseEndMs !== undefined && nowMs < vm.lease.leaseEndMs ? vm.lease.leaseEndMs : undefined;

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
    vm.sentWrites.flatMap((sent, write) => {
        const kinds: ModelEvent["type"][] = [];
        if (sent.outcome === "pending") {
            kinds.push("apply", sent.isAwaited ? "refuse" : "drop");
        } else {
            kinds.push("respond");
        }
        if (sent.isAwaited) {
            kinds.push("lose");
        }
        return kinds.map(type => ({ type, vm: index, write }));
    });

/**
 * Lists the events that can happen next.
 *
 * @param state - the state
 * @param settings - durations and injected fault
 * @returns the events
 */
export const listEvents = (state: ModelState, settings: ModelSettings): readonly ModelEvent[] => {
    const events: ModelEvent[] = [{ type: "tick", vm: 0, write: 0 }];
    state.vms.forEach((vm, index) => {
        const add = (type: ModelEvent["type"]): number => events.push({ type, vm: index, write: 0 });
        const step = computeStep(state, index, settings);
        if (vm.pendingRead !== undefined) {
            add("arrive");
        } else if (step.kind === "read") {
            add("step");
        } else if (step.kind === "write" && vm.sentWrites.length < settings.maxWrites) {
            add("step");
        }
        events.push(...listWriteEvents(vm, index));
        if (computeCallEndMs(vm, state.nowMs, settings) !== undefined && vm.callEndsMs.length < settings.coldSlots) {
            add("begin");
        }
        if (vm.callEndsMs.length > 0) {
            add("end");
        }
        const mayRelease = vm.callEndsMs.length === 0 || settings.fault === "releaseInFlight";
        if (getHeldUntilMs(vm, state.nowMs) !== undefined && mayRelease) {
            add("release");
        }
        if (vm.lease.wantedUntilMs === -Infinity) {
            add("request");
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
        return setVm(state, index, { ...vm, pendingRead: state.table });
    }
    if (step.kind !== "write") {
        return state;
    }
    const holder = step.write === "release" ? undefined : getIncarnation(index);
    const write: types.LeaseWrite = {
        kind: step.write,
        version: step.version,
        row: { holder, token: String(state.tokenCount) },
        sentAtMs: state.nowMs,
    };
    const next = applyLease(state, vm, { kind: "writeSent", write }, settings);
    const sent: SentWrite = { write, outcome: "pending", isAwaited: true };
    return setVm({ ...state, tokenCount: state.tokenCount + 1 }, index, {
        ...next,
        sentWrites: [...vm.sentWrites, sent],
    });
};

const removeWrite = (vm: ModelVm, at: number): ModelVm => ({
    ...vm,
    sentWrites: vm.sentWrites.filter((_, other) => other !== at),
});

const applyWrite = (state: ModelState, index: number, at: number): ModelState => {
    const vm = getVm(state, index);
    const sentWrite = vm.sentWrites[at];
    if (sentWrite === undefined) {
        return state;
    }
    const isVersionMatch = sentWrite.write.version === state.table.version;
    const outcome = isVersionMatch ? "committed" : "conflicted";
    const table = isVersionMatch ? { version: state.table.version + 1, row: sentWrite.write.row } : state.table;
    const sentWrites = vm.sentWrites.map((other, position) =>
        position === at ? ({ ...other, outcome } as const) : other,
    );
    const next = setVm({ ...state, table }, index, { ...vm, sentWrites });
    // The VM does not wait for the outcome of a write whose response was lost.
    return sentWrite.isAwaited ? next : setVm(next, index, removeWrite({ ...vm, sentWrites }, at));
};

const runResponse = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => {
    const vm = getVm(state, event.vm);
    const sent = vm.sentWrites[event.write];
    if (sent === undefined || sent.outcome === "pending") {
        return state;
    }
    const isCountedFromResponse = settings.fault === "countFromResponse" && vm.lease.pendingWrite !== undefined;
    const lease = isCountedFromResponse
        ? { ...vm.lease, pendingWrite: { ...sent.write, sentAtMs: state.nowMs } }
        : vm.lease;
    const next = applyLease(state, { ...vm, lease }, { kind: sent.outcome }, settings);
    return setVm(state, event.vm, removeWrite(next, event.write));
};

const loseResponse = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => {
    const vm = getVm(state, event.vm);
    const isAssumedCommitted = settings.fault === "assumeCommitted";
    const next = applyLease(state, vm, { kind: isAssumedCommitted ? "committed" : "unknown" }, settings);
    const sentWrites = vm.sentWrites.map((other, at) => (at === event.write ? { ...other, isAwaited: false } : other));
    const isPending = vm.sentWrites[event.write]?.outcome === "pending";
    const lost = { ...next, sentWrites };
    return setVm(state, event.vm, isPending ? lost : removeWrite(lost, event.write));
};

const runTick = (state: ModelState): ModelState => {
    const nowMs = state.nowMs + 1;
    // The target ends a call at its deadline, even if the sender is paused.
    const vms = state.vms.map(vm => ({ ...vm, callEndsMs: vm.callEndsMs.filter(endMs => endMs > nowMs) }));
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
            return vm.pendingRead === undefined
                ? state
                : set({ ...apply({ kind: "read", read: vm.pendingRead }), pendingRead: undefined });
        case "apply":
            return applyWrite(state, event.vm, event.write);
        case "respond":
            return runResponse(state, event, settings);
        case "refuse":
            return set(removeWrite(apply({ kind: "unavailable" }), event.write));
        case "lose":
            return loseResponse(state, event, settings);
        case "drop":
            return set(removeWrite(vm, event.write));
        case "begin":
            return set({
                ...vm,
                callEndsMs: [...vm.callEndsMs, computeCallEndMs(vm, state.nowMs, settings) ?? state.nowMs],
            });
        case "end":
            return set({ ...vm, callEndsMs: vm.callEndsMs.slice(1) });
        case "release":
            return set(apply({ kind: "released" }));
        case "request":
            return set(apply({ kind: "wanted", untilMs: Infinity }));
    }
};

/**
 * Removes writes that can no longer apply: versions only increase, so an older expected version never matches again.
 */
const removeObsoleteWrites = (state: ModelState): ModelState => ({
    ...state,
    vms: state.vms.map(vm => {
        const canTakeEffect = (sent: SentWrite): boolean =>
            sent.isAwaited || sent.write.version === state.table.version;
        return vm.sentWrites.every(canTakeEffect) ? vm : { ...vm, sentWrites: vm.sentWrites.filter(canTakeEffect) };
    }),
});

/**
 * Formats an event for a trace.
 *
 * @param event - the event
 * @returns the text, such as `a:apply`
 */
export const formatEvent = (event: ModelEvent): string =>
    event.type === "tick"
        ? "tick"
        : `${getIncarnation(event.vm)}:${event.type}${event.write > 0 ? String(event.write) : ""}`;

/**
 * Computes the state after an event.
 *
 * @param state - the state before the event
 * @param event - one of the events that {@link listEvents} returns
 * @param settings - durations and injected fault
 * @returns the state after the event
 */
export const applyModelEvent = (state: ModelState, event: ModelEvent, settings: ModelSettings): ModelState => ({
    ...removeObsoleteWrites(runEvent(state, event, settings)),
    trace: { event: formatEvent(event), previous: state.trace },
});

/**
 * Lists the events that led to a state.
 *
 * @param state - the state
 * @returns the events, oldest first
 */
export const listTrace = (state: ModelState): readonly string[] => {
    const events: string[] = [];
    for (let step = state.trace; step !== undefined; step = step.previous) {
        events.unshift(step.event);
    }
    return events;
};

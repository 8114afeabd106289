/**
 * Model of three entry VMs and one publication of a revision, for an exhaustive check of the rules in `revisions.ts`.
 *
 * Time is discrete. Any step may be omitted, which covers partitions, lost messages, an unavailable table, and pauses
 * (a paused VM takes no step while time passes). All VMs start synced on revision 1. Revision 2 is committed once, in
 * the first tick; with a later commit, the events before it would only be older.
 */
import * as ids from "../ids.js";
import * as shared from "../Types.js";
import * as freshness from "./freshness.js";
import * as revisions from "./revisions.js";
import * as types from "./Types.js";

/** Switches that each replace a rule with a broken version; the model check must detect each of them. */
export interface ModelRules {
    /** Counts VMs that have had no confirmation since they started towards the majority. */
    readonly countsUnsynced: boolean;
    /** Dates a confirmation at the arrival of the response instead of the start of the request. */
    readonly datesAtResponse: boolean;
    /** Adopts any revision contained in a message, even a lower one. */
    readonly adoptsLower: boolean;
    /** Syncs a VM by confirmations from before its start. */
    readonly syncsByOldConfirmation: boolean;
    /** Accepts a revision when a majority has adopted it at any time, even if some have restarted since. */
    readonly acceptsPastAdoption: boolean;
}

export const soundRules: ModelRules = {
    countsUnsynced: false,
    datesAtResponse: false,
    adoptsLower: false,
    syncsByOldConfirmation: false,
    acceptsPastAdoption: false,
};

export interface ModelBounds {
    readonly ticks: number;
    readonly restarts: number;
    /** Reads of the table after the start. */
    readonly tableReads: number;
    /** Requests between VMs. */
    readonly pulls: number;
    /** 0: an exchange takes no time, so more exchanges can be explored. 1: its three steps may lie apart in time. */
    readonly delays: number;
}

/** A response that a VM has not received yet; a VM has at most one. */
interface Message {
    readonly from: number | "table";
    readonly requestedAt: number;
    readonly content: Content;
}

/** Content of a response; the age of the confirmation is relative to the creation of the response. */
interface Content {
    readonly revision: number;
    readonly synced: boolean;
    readonly confirmation: { readonly revision: number; readonly age: number } | undefined;
}

export interface ModelVm {
    readonly state: types.RevisionState;
    readonly digests: readonly (types.VmDigest | undefined)[];
    readonly message: Message | undefined;
    readonly hasEverAdopted: boolean;
    readonly hasReverted: boolean;
}

export interface ModelState {
    readonly now: number;
    readonly committed: number;
    readonly acceptedAt: number | undefined;
    readonly vms: readonly ModelVm[];
    readonly remaining: ModelBounds;
}

export type ModelEvent =
    | { readonly type: "tick" }
    | { readonly type: "commit" }
    | { readonly type: "announce"; readonly vm: number }
    | { readonly type: "restart"; readonly vm: number }
    /** The response to a request that was started at `requestedAt` is created now. */
    | { readonly type: "respond"; readonly vm: number; readonly from: number | "table"; readonly requestedAt: number }
    | { readonly type: "receive"; readonly vm: number };

/** Freshness deadline in ticks; with fewer than 2, the time at which a request was started would hardly matter. */
export const freshnessTicks = 2;

const vmCount = 3;
const vmIndexes = [0, 1, 2];
const vmIds = vmIndexes.map(index => ids.toVmId(`v${index}`));

const noDigests: readonly undefined[] = [undefined, undefined, undefined];

const createVm = (): ModelVm => {
    const unsynced = revisions.applyAdoption(revisions.createRevisionState(-1), ids.toRevision(1));
    const state = revisions.applyConfirmation(unsynced, { revision: ids.toRevision(1), atMs: 0 });
    return { state, digests: noDigests, message: undefined, hasEverAdopted: false, hasReverted: false };
};

/**
 * Creates the initial state.
 *
 * @param bounds - how often the events that enlarge the state space may occur
 * @returns all VMs synced on revision 1 at time 0
 */
export const createModelState = (bounds: ModelBounds): ModelState => ({
    now: 0,
    committed: 1,
    acceptedAt: undefined,
    vms: vmIndexes.map(createVm),
    remaining: bounds,
});

const updateVm = (state: ModelState, index: number, change: (vm: ModelVm) => ModelVm): ModelState => ({
    ...state,
    vms: state.vms.map((vm, other) => (other === index ? change(vm) : vm)),
});

const takeOne = (state: ModelState, bound: keyof ModelBounds): ModelState => ({
    ...state,
    remaining: { ...state.remaining, [bound]: state.remaining[bound] - 1 },
});

const adopt = (vm: ModelVm, revision: number, rules: ModelRules): ModelVm => {
    const before = vm.state.inUse.revision;
    const state =
        rules.adoptsLower && revision > 0
            ? { ...vm.state, inUse: { ...vm.state.inUse, revision: ids.toRevision(revision) } }
            : revisions.applyAdoption(vm.state, ids.toRevision(revision));
    const after = state.inUse.revision;
    return {
        ...vm,
        state,
        hasEverAdopted: vm.hasEverAdopted || after >= 2,
        hasReverted: vm.hasReverted || after < before,
    };
};

const confirm = (vm: ModelVm, confirmation: types.Confirmation, rules: ModelRules): ModelVm => {
    const startedAtMs = rules.syncsByOldConfirmation ? -Infinity : vm.state.startedAtMs;
    const next = revisions.applyConfirmation({ ...vm.state, startedAtMs }, confirmation);
    return { ...vm, state: { ...next, startedAtMs: vm.state.startedAtMs } };
};

const confirmByMajority = (vm: ModelVm, index: number, now: number, rules: ModelRules): ModelVm => {
    const { revision, confirmedAtMs } = vm.state.inUse;
    const self = { vm: vmIds[index] as shared.VmId, revision, synced: confirmedAtMs !== undefined, seenAtMs: now };
    const known = vm.digests.map((digest, other) => (other === index ? self : digest));
    const counted = known
        .filter(digest => digest !== undefined)
        .map(digest => (rules.countsUnsynced ? { ...digest, synced: true } : digest));
    const byVm = new Map(counted.map(digest => [digest.vm, digest]));
    const majority = revisions.computeMajorityConfirmation(vmIds, byVm);
    return majority === undefined ? vm : confirm(vm, majority, rules);
};

/** Handles a response like the daemon: adopt, merge the digest, then confirm by the peer and by majority. */
const receive = (vm: ModelVm, index: number, now: number, rules: ModelRules): ModelVm => {
    if (vm.message === undefined) {
        return vm;
    }
    const { from, content, requestedAt } = vm.message;
    const observedAt = rules.datesAtResponse ? now : requestedAt;
    const revision = ids.toRevision(content.revision);
    let next = adopt({ ...vm, message: undefined }, content.revision, rules);
    if (from === "table") {
        return confirm(next, revisions.toReadConfirmation(revision, observedAt), rules);
    }
    const digest = { vm: vmIds[from] as shared.VmId, revision, synced: content.synced, seenAtMs: observedAt };
    next = { ...next, digests: next.digests.map((old, other) => (other === from ? digest : old)) };
    if (content.confirmation !== undefined) {
        const { revision: confirmed, age } = content.confirmation;
        next = confirm(next, revisions.toPeerConfirmation(ids.toRevision(confirmed), age, observedAt), rules);
    }
    return confirmByMajority(next, index, now, rules);
};

const createContent = (state: ModelState, from: number | "table"): Content => {
    const vm = from === "table" ? undefined : state.vms[from];
    if (vm === undefined) {
        return { revision: state.committed, synced: true, confirmation: undefined };
    }
    const { revision, confirmedAtMs } = vm.state.inUse;
    const confirmation = confirmedAtMs === undefined ? undefined : { revision, age: state.now - confirmedAtMs };
    return { revision, synced: confirmedAtMs !== undefined, confirmation };
};

/**
 * Accepts a revision if a majority has adopted it at the same time; the publisher verifies this by polling the VMs
 * twice.
 */
const accept = (state: ModelState, rules: ModelRules): ModelState => {
    if (state.acceptedAt !== undefined) {
        return state;
    }
    const adopters = state.vms.filter(vm =>
        rules.acceptsPastAdoption ? vm.hasEverAdopted : vm.state.inUse.revision >= 2,
    );
    return adopters.length * 2 > vmCount ? { ...state, acceptedAt: state.now } : state;
};

const restart = (state: ModelState, index: number): ModelState =>
    updateVm(takeOne(state, "restarts"), index, vm => ({
        state: revisions.createRevisionState(state.now),
        digests: noDigests,
        message: undefined,
        hasEverAdopted: vm.hasEverAdopted,
        hasReverted: vm.hasReverted,
    }));

const applyEvent = (state: ModelState, event: ModelEvent, rules: ModelRules): ModelState => {
    switch (event.type) {
        case "tick":
            return { ...takeOne(state, "ticks"), now: state.now + 1 };
        case "commit":
            return { ...state, committed: 2 };
        case "announce":
            return updateVm(state, event.vm, vm => adopt(vm, state.committed, rules));
        case "restart":
            return restart(state, event.vm);
        case "respond": {
            const { from, requestedAt } = event;
            const message: Message = { from, requestedAt, content: createContent(state, from) };
            const next = takeOne(state, from === "table" ? "tableReads" : "pulls");
            return updateVm(next, event.vm, vm => ({ ...vm, message }));
        }
        case "receive":
            return updateVm(state, event.vm, vm => receive(vm, event.vm, state.now, rules));
    }
};

/**
 * Applies an event.
 *
 * @param state - the state
 * @param event - one of {@link listEvents}
 * @param rules - the rules, sound or broken
 * @returns the next state
 */
export const computeNextState = (state: ModelState, event: ModelEvent, rules: ModelRules): ModelState =>
    accept(applyEvent(state, event, rules), rules);

/** A response may be created up to one tick after the request was started, and received at any later time. */
const listResponses = (state: ModelState, vm: number, from: number | "table"): readonly ModelEvent[] => {
    const startedAt = state.vms[vm]?.state.startedAtMs ?? 0;
    return (state.remaining.delays > 0 ? [state.now, state.now - 1] : [state.now])
        .filter(requestedAt => requestedAt >= startedAt)
        .map(requestedAt => ({ type: "respond", vm, from, requestedAt }));
};

const listVmEvents = (state: ModelState, vm: number): readonly ModelEvent[] => {
    const { message, state: known } = state.vms[vm] as ModelVm;
    const list: ModelEvent[] = [];
    if (message !== undefined) {
        list.push({ type: "receive", vm });
    }
    if (state.committed === 2 && known.inUse.revision < 2) {
        list.push({ type: "announce", vm });
    }
    if (state.remaining.restarts > 0) {
        list.push({ type: "restart", vm });
    }
    if (state.remaining.tableReads > 0) {
        list.push(...listResponses(state, vm, "table"));
    }
    if (state.remaining.pulls > 0) {
        const peers = vmIndexes.filter(other => other !== vm);
        list.push(...peers.flatMap(from => listResponses(state, vm, from)));
    }
    return list;
};

const listAllEvents = (state: ModelState): readonly ModelEvent[] => [
    ...(state.committed === 2 && state.remaining.ticks > 0 ? [{ type: "tick" } as const] : []),
    ...(state.committed === 1 ? [{ type: "commit" } as const] : []),
    ...vmIndexes.flatMap(vm => listVmEvents(state, vm)),
];

/**
 * Lists the possible next events. A new response replaces one that has not been received, which is then lost.
 *
 * @param state - the state
 * @returns the events
 */
export const listEvents = (state: ModelState): readonly ModelEvent[] => {
    const receiver = state.vms.findIndex(vm => vm.message !== undefined);
    return state.remaining.delays === 0 && receiver >= 0 ? [{ type: "receive", vm: receiver }] : listAllEvents(state);
};

/**
 * Checks the invariants for a state.
 *
 * @param state - the state
 * @returns the violated invariant, or undefined
 */
export const findViolation = (state: ModelState): string | undefined => {
    if (state.vms.some(vm => vm.hasReverted)) {
        return "the revision in use of an incarnation decreased";
    }
    const { acceptedAt, now } = state;
    if (acceptedAt === undefined || now - acceptedAt <= freshnessTicks) {
        return undefined;
    }
    const isOutdated = state.vms.some(
        ({ state: { inUse } }) =>
            inUse.revision < 2 && freshness.computeVerdict(inUse, now, freshnessTicks).kind === "fresh",
    );
    return isOutdated ? "a VM may dispatch on a revision older than one accepted before the deadline" : undefined;
};

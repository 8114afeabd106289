/**
 * Events of the quota model, and the canonical text of its states.
 */
import * as quotas from "./quota.js";
import * as quotaAccount from "./quotaAccount.js";
import * as quotaLedger from "./quotaLedger.js";
import * as model from "./quotaModel.js";

type Index = 0 | 1;
const indices: readonly Index[] = [0, 1];

type VmEventKind = "serve" | "takeBack" | "restart" | "pause" | "resume" | "learn";

export interface ModelEvent {
    readonly type: VmEventKind | "tick" | "deliverReport" | "deliverAcknowledgement" | "leave" | "drop" | "join";
    readonly vm: Index;
}

/**
 * Creates the state in which nothing was charged for long.
 *
 * @param settings - whether the second VM follows the first one
 * @returns the state
 */
export const createInitialState = ({ fault, disturbances, isParted }: model.ModelSettings): model.ModelState => {
    const own = disturbances.includes("quota") ? model.formerQuota : model.quota;
    const vm = model.createVm({ nowMs: 0 }, own, "none");
    const share = isParted ? 0.5 : 1;
    const tokens = own.burst * (fault === "whole burst for each ledger" ? 1 : share);
    const partedAtMs = -model.joinDelay;
    const history = { share, former: isParted ? [{ share: 0, untilMs: partedAtMs }] : [] };
    const hub: model.ModelVm = { ...vm, isConnected: !isParted, ledger: { ...vm.ledger, tokens }, history };
    // Credit that outlives the parting has to be longer than the delay of the rate.
    const leaseMs = isParted ? 5 : model.settings.leaseMs;
    const creditUntilMs = partedAtMs + leaseMs;
    const follower: model.ModelVm = isParted
        ? { ...hub, account: { ...vm.account, creditShare: 1, creditUntilMs } }
        : { ...vm, isConnected: true };
    return {
        nowMs: 0,
        leaseMs,
        vms: [hub, follower],
        reports: [],
        acknowledgements: [],
        runs: [],
        rank: 0,
        differSinceMs: undefined,
        pausedSinceMs: undefined,
        quotaFellAtMs: undefined,
        trace: [],
    };
};

/**
 * Order of the events of a tick, which keeps the number of states small: any other order is one in which some happen in
 * the next tick. Serving happens once in a tick.
 */
const ranks: Readonly<Record<ModelEvent["type"], number>> = {
    pause: 0,
    resume: 0,
    restart: 0,
    learn: 0,
    leave: 0,
    drop: 0,
    join: 0,
    deliverReport: 1,
    deliverAcknowledgement: 2,
    takeBack: 3,
    serve: 4,
    tick: 6,
};

const computeRank = ({ type, vm }: ModelEvent): number => ranks[type] + (type === "serve" ? vm : 0);

const toEvent = (type: ModelEvent["type"], vm: Index = 0): ModelEvent => ({ type, vm });

/** Bounds that the model keeps: how long the VMs disagree, and how long a message is on its way. */
const mayTick = (state: model.ModelState): boolean => {
    const [hub, follower] = state.vms;
    const isOld = (sinceMs: number | undefined): boolean =>
        sinceMs !== undefined && state.nowMs - sinceMs >= model.maxDifference;
    const isLost = hub.isPaused ? follower.isConnected : follower.isPaused && hub.isConnected;
    const noticing = hub.isConnected ? hub : follower;
    const isDelayed = (sent: { readonly sentAtMs: number } | undefined): boolean =>
        sent !== undefined && state.nowMs - sent.sentAtMs >= model.maxMessageDelay;
    const learned = state.vms.filter(vm => vm.quota === model.quota).length;
    return (
        !(isOld(state.pausedSinceMs) && isLost) &&
        !(isOld(state.differSinceMs) && !noticing.isPaused) &&
        !(isDelayed(state.reports[0]) && !hub.isPaused) &&
        !(isDelayed(state.acknowledgements[0]) && !follower.isPaused) &&
        !(learned === 1)
    );
};

/** A VM that was paused notices that it has lost the other one before it does anything else. */
const isOverdue = (state: model.ModelState, event: ModelEvent): boolean => {
    const isOld = state.differSinceMs !== undefined && state.nowMs - state.differSinceMs >= model.maxDifference;
    const noticing: Index = state.vms[0].isConnected ? 0 : 1;
    const isNotice = event.type === "leave" || event.type === "drop" || event.type === "resume";
    return isOld && event.vm === noticing && !state.vms[noticing].isPaused && !isNotice && event.type !== "tick";
};

const listVmEvents = (state: model.ModelState, index: Index, settings: model.ModelSettings): readonly ModelEvent[] => {
    const vm = state.vms[index];
    const mayHave = (disturbance: model.Disturbance): boolean => settings.disturbances.includes(disturbance);
    if (vm.isPaused) {
        return [toEvent("resume", index)];
    }
    const types: ModelEvent["type"][] = ["serve"];
    if (mayHave("takeBack") && vm.running.length > 0) {
        types.push("takeBack");
    }
    if (mayHave("restart")) {
        types.push("restart");
    }
    if (mayHave("pause") && state.pausedSinceMs === undefined) {
        types.push("pause");
    }
    if (mayHave("quota") && vm.quota !== model.quota) {
        types.push("learn");
    }
    return types.map(type => toEvent(type, index));
};

/**
 * Lists the events that can happen next.
 *
 * @param state - the state
 * @param settings - disturbances and horizon
 * @returns the events
 */
export const listEvents = (state: model.ModelState, settings: model.ModelSettings): readonly ModelEvent[] => {
    const [hub, follower] = state.vms;
    const events = indices.flatMap(index => listVmEvents(state, index, settings));
    const mayPart = settings.disturbances.includes("leave");
    const mayMove = settings.disturbances.some(kind => kind === "leave" || kind === "pause" || kind === "restart");
    if (state.nowMs < settings.horizon && mayTick(state)) {
        events.push(toEvent("tick"));
    }
    if (state.reports.length > 0 && hub.isConnected && !hub.isPaused) {
        events.push(toEvent("deliverReport"));
    }
    if (state.acknowledgements.length > 0 && follower.isConnected && !follower.isPaused) {
        events.push(toEvent("deliverAcknowledgement", 1));
    }
    if (follower.isConnected && !follower.isPaused && (mayPart || !hub.isConnected || hub.isPaused)) {
        events.push(toEvent("leave", 1));
    }
    if (hub.isConnected && !hub.isPaused && (mayPart || !follower.isConnected || follower.isPaused)) {
        events.push(toEvent("drop"));
    }
    if (mayMove && !follower.isConnected && !hub.isPaused && !follower.isPaused) {
        events.push(toEvent("join"));
    }
    return events.filter(event => computeRank(event) >= state.rank && !isOverdue(state, event));
};

const learnQuota = (state: model.ModelState, index: Index, fault: model.ModelFault): model.ModelState => {
    const vm = state.vms[index];
    const ledger = quotaLedger.refreshLedger(vm.ledger, model.toLedgerTerms(state, vm, fault));
    const changed = { ...vm, ledger, quota: model.quota };
    const cut = quotaLedger.refreshLedger(ledger, model.toLedgerTerms(state, changed, fault));
    const next = model.setVm(state, index, { ...changed, ledger: cut });
    const isLast = next.vms.every(other => other.quota === model.quota);
    return isLast ? { ...next, quotaFellAtMs: state.nowMs } : next;
};

const resumeVm = (state: model.ModelState, index: Index, fault: model.ModelFault): model.ModelState => {
    const vm = { ...state.vms[index], isPaused: false };
    const isLong = state.nowMs - (state.pausedSinceMs ?? state.nowMs) > model.maxDifference;
    const restarts = isLong && !model.isFollowing(state, index) && fault !== "no restart after a pause";
    const next = model.setVm(state, index, restarts ? model.restartLedger(state, vm, fault) : vm);
    // Messages that arrived during a long pause make the other VM seem connected for as long again.
    return { ...next, pausedSinceMs: undefined, differSinceMs: isLong ? undefined : next.differSinceMs };
};

const runEvent = (state: model.ModelState, event: ModelEvent, fault: model.ModelFault): model.ModelState => {
    const { vm: index } = event;
    switch (event.type) {
        case "tick":
            return model.runTick(state, fault);
        case "serve":
            return model.serveRequests(state, index, fault);
        case "takeBack":
            return model.takeBack(state, index, fault);
        case "restart":
            return model.restartVm(state, index, fault);
        case "pause": {
            const paused = { ...state.vms[index], isPaused: true };
            return { ...model.setVm(state, index, paused), pausedSinceMs: state.nowMs };
        }
        case "resume":
            return resumeVm(state, index, fault);
        case "learn":
            return learnQuota(state, index, fault);
        case "deliverReport": {
            const [sent, ...reports] = state.reports;
            return sent === undefined ? state : model.receiveReport({ ...state, reports }, 0, "other", sent, fault);
        }
        case "deliverAcknowledgement": {
            const [sent, ...acknowledgements] = state.acknowledgements;
            return sent === undefined
                ? state
                : model.applyAcknowledgement({ ...state, acknowledgements }, 1, sent.message, fault);
        }
        case "leave":
            return model.leaveHub(state, fault);
        case "drop":
            return model.dropFollower(state);
        case "join":
            return model.joinHub(state, fault);
    }
};

/**
 * Computes the state after an event.
 *
 * @param state - the state before the event
 * @param event - one of the events that {@link listEvents} returns
 * @param settings - injected fault
 * @returns the state after the event
 */
export const applyModelEvent = (
    state: model.ModelState,
    event: ModelEvent,
    settings: model.ModelSettings,
): model.ModelState => {
    const next = runEvent(state, event, settings.fault);
    const differs = next.vms[0].isConnected !== next.vms[1].isConnected;
    const name = event.type === "tick" ? "tick" : `${String(event.vm)}:${event.type}`;
    return {
        ...next,
        rank: event.type === "tick" ? 0 : computeRank(event) + (event.type === "serve" ? 1 : 0),
        differSinceMs: differs ? (next.differSinceMs ?? next.nowMs) : undefined,
        trace: [...state.trace, name],
    };
};

/**
 * Checks whether more requests were charged within a window than the quota and its tolerance allow.
 *
 * @param state - the state
 * @returns true if so; a quota that has fallen counts once a window has passed
 */
export const isExceeded = (state: model.ModelState): boolean => {
    const { quotaFellAtMs, nowMs } = state;
    const hasFormer = state.vms.some(vm => vm.quota === model.formerQuota);
    const isFormer = hasFormer || (quotaFellAtMs !== undefined && nowMs - quotaFellAtMs <= model.settings.windowMs);
    const inForce = isFormer ? model.formerQuota : model.quota;
    return state.runs.length > quotas.computeWindowBound(inForce, model.settings);
};

const formatAccount = (account: quotaAccount.Account, nowMs: number): readonly unknown[] => [
    account.charged - account.expired,
    account.debt.map(entry => [account.charged - entry.sequence, nowMs - entry.atMs, entry.isTakenBack]),
    account.settlements.map(({ sequence, takenAtMs }) => [account.charged - sequence, nowMs - takenAtMs]),
    account.returned.map(({ takenAtMs, count }) => [nowMs - takenAtMs, count]),
    account.spareGrants,
    account.creditUntilMs > nowMs ? [account.creditShare, account.creditUntilMs - nowMs] : [],
];

const formatLedger = (state: model.ModelState, vm: model.ModelVm, own: Index): readonly unknown[] => [
    vm.ledger.tokens,
    [...vm.ledger.sessions].map(([id, session]) => {
        const { account } = state.vms[id === "own" ? own : 1];
        const leases = session.leases
            .filter(lease => lease.untilMs > state.nowMs)
            .map(lease => [lease.share, lease.untilMs - state.nowMs]);
        return session.isOpen
            ? [
                  id,
                  account.charged - session.charged,
                  account.charged - session.settled,
                  account.granted - session.granted,
                  leases,
              ]
            : leases;
    }),
    vm.history.share,
    vm.history.former.map(({ share, untilMs }) => [share, Math.min(6, state.nowMs - untilMs)]),
    state.nowMs - vm.reportedAtMs.other,
];

/**
 * Formats a state; states with equal texts behave alike.
 *
 * @param state - the state
 * @returns the text
 */
export const formatState = (state: model.ModelState): string => {
    const { nowMs } = state;
    const { account } = state.vms[1];
    const vms = state.vms.map((vm, index) => [
        vm.isConnected,
        vm.isPaused,
        vm.quota.burst,
        formatAccount(vm.account, nowMs),
        vm.running.map(({ charge, atMs }) => {
            const { source } = charge;
            const origin = source.kind === "grant" ? source.takenAtMs - nowMs : vm.account.charged - source.sequence;
            return [nowMs - atMs, charge.session === vm.account.session, source.kind, origin];
        }),
        model.isFollowing(state, index === 0 ? 0 : 1) ? [] : formatLedger(state, vm, index === 0 ? 0 : 1),
    ]);
    const reports = state.reports.map(({ sentAtMs, message }) => [
        nowMs - sentAtMs,
        account.charged - message.charged,
        account.charged - message.expired,
        account.granted - message.wanted,
        message.returned.map(({ takenAtMs, count }) => [nowMs - takenAtMs, count]),
    ]);
    const acknowledgements = state.acknowledgements.map(({ sentAtMs, message }) => [
        nowMs - sentAtMs,
        nowMs - message.reportedAtMs,
        nowMs - message.takenAtMs,
        account.charged - message.acknowledgement.settled,
        account.granted - message.acknowledgement.granted,
        message.acknowledgement.creditShare,
    ]);
    const times = [state.differSinceMs, state.pausedSinceMs, state.quotaFellAtMs].map(atMs =>
        atMs === undefined ? -1 : Math.min(10, nowMs - atMs),
    );
    const ages = state.runs.map(atMs => nowMs - atMs).sort((left, right) => left - right);
    return JSON.stringify([nowMs, state.rank, vms, reports, acknowledgements, ages, times]);
};
